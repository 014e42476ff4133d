#include "control_test_support.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace wagtailhead;
using namespace wagtailhead::testing;

namespace {

const std::string classes = R"({"generation":3,"rules":[
    {"service":"katalogs","method":"GET","priority":"interactive"},
    {"service":"krajums","method":"POST","path":"/r","priority":"critical","once":true}]})";

auto planOf(const std::string& intent, const std::string& base, const PlanWorld& world)
    -> OperatorResult<Plan>
{
    return makePlan(valueOf(parseIntent(intent)), baseOf(base), world, "id", "ops", noon);
}

auto goodPlan(
    const std::string& intent, const std::string& base, const PlanWorld& world = worldOf(smallMesh())) -> Plan
{
    const auto plan = planOf(intent, base, world);
    cr_assert(plan.index() == 0, "%s: %s", intent.c_str(), std::get<OperatorError>(plan).detail_.c_str());
    return std::get<Plan>(plan);
}

auto contains(const std::vector<std::string>& texts, const std::string& part) -> bool
{
    return std::any_of(texts.begin(), texts.end(), [&](const std::string& text) {
        return text.find(part) != std::string::npos;
    });
}

struct RefusedIntent {
    const char* intent_;
    const char* base_;
    const char* code_;
};

struct Permission {
    const char* intent_;
    std::string base_;
    const char* services_;
    bool allowed_;
};

} // namespace

/// Guards against plans that could not be carried out, and against overwriting an edit of someone else.
Test(plan, intents_that_do_not_fit_are_refused)
{
    const RefusedIntent cases[] = {
        { R"({"kind":"retries","document":{"allowance":3}})", R"({"generation":1})", "no-change" },
        { R"({"kind":"retries","document":{"allowance":4,"generation":1}})", R"({"generation":2})",
            "base-changed" },
        { R"({"kind":"leaving","add":["nobody"]})", R"({"generation":1,"nodes":[]})", "unknown-node" },
        { R"({"kind":"leaving","document":{"nodes":["nobody"]}})", R"({"generation":1,"nodes":[]})",
            "unknown-node" },
        { R"({"kind":"leaving","remove":["k1"]})", R"({"generation":1,"nodes":[]})", "invalid-intent" },
        { R"({"kind":"declare-lost","nodes":["k1"]})", R"({"generation":1,"nodes":[]})", "node-alive" },
        { R"({"kind":"declare-lost","nodes":["nobody"]})", R"({"generation":1,"nodes":[]})", "unknown-node" },
        { R"({"kind":"declare-lost","zone":"riga-b"})", R"({"generation":1,"nodes":[]})", "node-alive" },
        { R"({"kind":"declare-lost","zone":"nowhere"})", R"({"generation":1,"nodes":[]})", "unknown-node" },
    };
    for (const auto& refused : cases) {
        const auto plan = planOf(refused.intent_, refused.base_, worldOf(smallMesh()));
        const auto* error = std::get_if<OperatorError>(&plan);
        cr_assert(error, "%s was accepted", refused.intent_);
        cr_assert(error->code_ == refused.code_, "%s", refused.intent_);
    }
}

/// Guards against an operator taking away capacity that the plan does not show.
Test(plan, leaving_shows_remaining_capacity_by_zone)
{
    auto world = worldOf(smallMesh());
    world.loads_[{ "katalogs", "riga-a" }] = { 9, 20, 0, milliseconds(100) };
    world.loads_[{ "katalogs", "riga-b" }] = { 0, 10, 0, milliseconds(100) };
    const auto plan
        = goodPlan(R"({"kind":"leaving","add":["k1","k3"]})", R"({"generation":1,"nodes":[]})", world);
    cr_assert_eq(plan.capacity_.size(), 2);
    cr_assert_eq(plan.capacity_[0].slotsBefore_, 20);
    cr_assert_eq(plan.capacity_[0].slotsAfter_, 10);
    cr_assert_eq(plan.capacity_[1].slotsAfter_, 0);
    cr_assert(plan.services_ == std::vector<std::string> { "katalogs" });
    cr_assert(plan.zones_ == (std::vector<std::string> { "riga-a", "riga-b" }));
    cr_assert_eq(plan.serverCount_, 2);
    cr_assert(plan.emptied_.empty());
    cr_assert(contains(plan.warnings_, "no usable backend server in zone riga-b"));
    cr_assert(contains(plan.warnings_, "9 calls in flight"));
    cr_assert(contains(plan.effects_, "10 of 30 slots remain"));
}

/// Guards against a backend server that cannot work counting as remaining capacity.
Test(plan, service_without_usable_server_is_reported_as_emptied)
{
    const std::pair<const char*, std::function<void(Member&)>> cases[] = {
        { "down",
            [](Member& member) {
                member.backendUp_ = false;
            } },
        { "dead",
            [](Member& member) {
                member.state_ = MemberState::Dead;
            } },
        { "suspect",
            [](Member& member) {
                member.state_ = MemberState::Suspect;
            } },
        { "leaving",
            [](Member& member) {
                member.state_ = MemberState::Leaving;
            } },
    };
    for (const auto& [name, change] : cases) {
        auto members = smallMesh();
        change(members["k3"]);
        const auto plan = goodPlan(
            R"({"kind":"leaving","add":["k2"]})", R"({"generation":1,"nodes":["k1"]})", worldOf(members));
        cr_assert(plan.emptied_ == std::vector<std::string> { "katalogs" }, "%s", name);
    }
    const auto whole = goodPlan(
        R"({"kind":"leaving","add":["s1"]})", R"({"generation":1,"nodes":[]})", worldOf(smallMesh()));
    cr_assert(whole.emptied_ == std::vector<std::string> { "krajums" });
    cr_assert(goodPlan(R"({"kind":"leaving","remove":["s1"]})", R"({"generation":1,"nodes":["s1"]})")
                  .emptied_.empty());
}

/// Guards against changes that the plan hides, above all of rules that protect orders.
Test(plan, changed_rules_are_listed_with_old_and_new_value)
{
    const auto plan = goodPlan(R"({"kind":"classes","document":{"rules":[
        {"service":"katalogs","method":"GET","priority":"bulk"},
        {"service":"krajums","method":"POST","path":"/r","priority":"critical"}]}})",
        classes);
    cr_assert_eq(plan.changes_.size(), 2);
    cr_assert(plan.changes_[0].field_ == "classes.rules[katalogs GET *]");
    cr_assert(plan.changes_[0].oldValue_ == R"({"once":false,"priority":"interactive"})");
    cr_assert(plan.changes_[0].newValue_ == R"({"once":false,"priority":"bulk"})");
    cr_assert(contains(plan.warnings_, "no longer protected from running twice"));
    const auto swapped = goodPlan(R"({"kind":"classes","document":{"rules":[
        {"service":"krajums","priority":"bulk"},{"service":"krajums","method":"GET","priority":"internal"}]}})",
        R"({"generation":3,"rules":[{"service":"krajums","method":"GET","priority":"internal"},
        {"service":"krajums","priority":"bulk"}]})");
    cr_assert_eq(swapped.changes_.size(), 1);
    cr_assert(swapped.changes_[0].field_.ends_with(".order"));
}

/// Guards against the move of keys to other shards, after which repeats could run twice, going unnoticed.
Test(plan, changed_zones_warn_about_keys)
{
    const auto plan = goodPlan(R"({"kind":"links","document":{"regions":[
        {"name":"riga","zones":["riga-a"]}]}})",
        R"({"generation":1,"regions":[{"name":"riga","zones":["riga-a","riga-b"]}]})");
    cr_assert(contains(plan.warnings_, "riga-b:<rest>"));
    cr_assert(!contains(plan.warnings_, "riga-a:<rest>"));
}

/// Guards against a declaration of running processes, or of the wrong incarnation.
Test(plan, declared_processes_are_the_dead_ones_and_those_of_shards)
{
    auto members = smallMesh();
    members["k3"].state_ = MemberState::Dead;
    auto world = worldOf(members);
    world.shards_ = { { "krajums", "g/1", { { "k3", 1000 }, { "k1", 900 } } },
        { "katalogs", "g/2", { { "k3", 1000 }, { "k1", 1000 } } } };
    const auto plan
        = goodPlan(R"({"kind":"declare-lost","nodes":["k3","k1"]})", R"({"generation":1,"nodes":[]})", world);
    // k1 runs as incarnation 1000; only its earlier incarnation is lost.
    cr_assert(plan.lost_ == (std::vector<NodeRef> { { "k1", 900 }, { "k3", 1000 } }));
    cr_assert(plan.services_ == (std::vector<std::string> { "katalogs", "krajums" }));
    cr_assert(contains(plan.effects_, "krajums: 1 shards had their owner or a witness on these nodes; 1 of"));
    cr_assert(
        contains(plan.effects_, "katalogs: 1 shards had their owner or a witness on these nodes; 0 of"));
    const auto lost = parseLostConfig(plan.document_);
    cr_assert(valueOf(lost).byNode().at({ "k3", 1000 }) == noon);
    const auto zone
        = goodPlan(R"({"kind":"declare-lost","zone":"riga-b"})", R"({"generation":1,"nodes":[]})", world);
    cr_assert(zone.lost_ == (std::vector<NodeRef> { { "k3", 1000 } }));
}

/// Guards against a team changing what other teams' services depend on.
Test(plan, teams_change_only_their_own_services)
{
    const std::string empty = R"({"generation":1,"nodes":[]})";
    const auto otherDefault = R"({"kind":"classes","document":{"default":"bulk","rules":[
        {"service":"katalogs","method":"GET","priority":"interactive"},
        {"service":"krajums","method":"POST","path":"/r","priority":"critical","once":true}]}})";
    const auto ownRule = R"({"kind":"classes","document":{"rules":[
        {"service":"krajums","method":"POST","path":"/r","priority":"critical","once":true},
        {"service":"katalogs","method":"GET","priority":"bulk"}]}})";
    const auto retries = R"({"kind":"retries","document":{"allowance":1}})";
    const Permission cases[] = {
        { R"({"kind":"leaving","add":["k1"]})", empty, "katalogs", true },
        { R"({"kind":"leaving","add":["k1"]})", empty, "krajums", false },
        { R"({"kind":"leaving","add":["k1","s1"]})", empty, "katalogs", false },
        { R"({"kind":"leaving","add":["k1","s1"]})", empty, "katalogs+krajums", true },
        { R"({"kind":"leaving","document":{"nodes":["k1"]}})", R"({"generation":1,"nodes":["s1"]})",
            "katalogs", false },
        { R"({"kind":"leaving","remove":["forgotten"]})", R"({"generation":1,"nodes":["forgotten"]})",
            "katalogs+krajums", false },
        { ownRule, classes, "katalogs", true },
        { ownRule, classes, "krajums", false },
        { otherDefault, classes, "katalogs+krajums", false },
        { otherDefault, classes, "*", true },
        { retries, R"({"generation":1})", "katalogs+krajums", false },
        { retries, R"({"generation":1})", "*", true },
    };
    for (const auto& [intent, base, services, allowed] : cases) {
        const auto plan = goodPlan(intent, base);
        cr_assert_eq(!missingPermission(plan, teamOf(services)), allowed, "%s by %s", intent, services);
    }
}

/// Guards against a plan that changes on its way through the store.
Test(plan, format_reads_back)
{
    auto world = worldOf(smallMesh());
    world.loads_[{ "katalogs", "riga-a" }] = { 9, 20, 1, milliseconds(100) };
    const auto plan = goodPlan(R"({"kind":"leaving","add":["k1"],"note":"disk"})",
        R"({"generation":5,"nodes":[],"intent":"abc"})", world);
    const auto text = formatPlan({ plan, 6, "ops" });
    const auto parsed = parsePlan(text);
    cr_assert(isOk(parsed), "%s", errorOf(parsed).text_.c_str());
    cr_assert(formatPlan(valueOf(parsed)) == text);
    cr_assert_eq(valueOf(parsed).plan_.capacity_.size(), plan.capacity_.size());
    cr_assert(!isOk(parsePlan("{}")));
    auto broken = nlohmann::json::parse(text);
    broken["servers"] = 7;
    cr_assert(!isOk(parsePlan(broken.dump())));
}
