#include "wagtailhead/routing.h"

#include <criterion/criterion.h>
#include <functional>
#include <random>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };
const WallClock::time_point wall { seconds(1'700'000'000) };

/// A small fleet of service "krajums" around a node in zone a1 of region a.
class Fleet {
public:
    explicit Fleet(std::uint64_t seed = 1, Mechanism mechanism = Mechanism::Adaptive)
    {
        options_.zone_ = "a1";
        options_.region_ = "a";
        options_.mechanism_ = mechanism;
        router_ = Router::create(options_, seed);
        request_.service_ = "krajums";
        request_.priority_ = Priority::Interactive;
    }

    /// Adds a member; the region is the first letter of the zone.
    auto add(const NodeId& id, const std::string& zone) -> Member&
    {
        auto& member = members_[id];
        member.ref_ = { id, 1 };
        member.zone_ = zone;
        member.region_ = zone.substr(0, 1);
        member.service_ = "krajums";
        member.backendUp_ = true;
        member.slots_ = 10;
        return member;
    }

    auto choose() -> Route
    {
        return router_->choose(*table_.replace(members_), request_, now_, wall + (now_ - start));
    }

    /// Chooses and reports the end at once. Returns the id of the member, or an empty text.
    auto call(const AttemptReport& report = { AttemptEnd::Answered }) -> NodeId
    {
        const auto route = choose();
        const auto* member = std::get_if<Member>(&route);
        if (!member) {
            return {};
        }
        router_->ended(member->ref_, report, now_);
        return member->ref_.id_;
    }

    /// Returns how often each member is chosen in `calls` calls.
    auto share(int calls, const std::function<AttemptReport(const NodeId&)>& answer = {})
        -> std::map<NodeId, int>
    {
        std::map<NodeId, int> chosen;
        for (int i = 0; i < calls; ++i) {
            const auto route = choose();
            const auto* member = std::get_if<Member>(&route);
            const auto id = member ? member->ref_.id_ : NodeId();
            ++chosen[id];
            if (member) {
                router_->ended(
                    member->ref_, answer ? answer(id) : AttemptReport { AttemptEnd::Answered }, now_);
            }
            now_ += milliseconds(1);
        }
        return chosen;
    }

    RouterOptions options_;
    std::unique_ptr<Router> router_;
    MemberTable table_;
    std::map<NodeId, Member> members_;
    RouteRequest request_;
    TimePoint now_ = start;
};

auto loaded(int inFlight, AttemptEnd end = AttemptEnd::Answered) -> AttemptReport
{
    return { end, Priority::Interactive, LoadReport { inFlight, 0, 10, {} } };
}

} // namespace

/// Guards against calls that leave the zone or the region without need.
Test(routing, prefers_own_zone_then_own_region_then_others)
{
    Fleet fleet;
    fleet.add("zone", "a1");
    fleet.add("region", "a2");
    fleet.add("far", "b1");
    cr_assert_eq(fleet.share(100)["zone"], 100);
    fleet.members_.erase("zone");
    cr_assert_eq(fleet.share(100)["region"], 100);
    fleet.members_.erase("region");
    cr_assert_eq(fleet.share(100)["far"], 100);
    fleet.members_.clear();
    cr_assert_eq(std::get<RouteFailure>(fleet.choose()), RouteFailure::UnknownService);
}

/// Guards against calls to members that cannot or must not serve them.
Test(routing, never_chooses_unusable_members)
{
    Fleet fleet;
    fleet.add("leaving", "a1").state_ = MemberState::Leaving;
    fleet.add("dead", "a1").state_ = MemberState::Dead;
    fleet.add("down", "a1").backendUp_ = false;
    cr_assert_eq(std::get<RouteFailure>(fleet.choose()), RouteFailure::NoneUsable);
    fleet.add("suspect", "a1").state_ = MemberState::Suspect;
    cr_assert_eq(fleet.share(20)["suspect"], 20);
    fleet.add("far", "b1");
    cr_assert_eq(fleet.share(20)["far"], 20, "a suspect is preferred to a sound member");
    fleet.request_.exclude_ = { { "far", 1 }, { "suspect", 1 } };
    cr_assert_eq(std::get<RouteFailure>(fleet.choose()), RouteFailure::NoneUsable);
}

/// Guards against bulk traffic on the link between regions while the service exists nearby.
Test(routing, bulk_uses_other_regions_only_if_the_service_exists_nowhere_nearer)
{
    Fleet fleet;
    fleet.request_.priority_ = Priority::Bulk;
    fleet.add("far", "b1");
    cr_assert_eq(fleet.call(), "far");
    fleet.add("near", "a2");
    fleet.request_.exclude_ = { { "near", 1 } };
    cr_assert(std::holds_alternative<RouteFailure>(fleet.choose()));
    fleet.request_.exclude_.clear();
    const auto shares = fleet.share(500, [](const NodeId&) {
        auto report = loaded(20, AttemptEnd::Refused);
        report.priority_ = Priority::Bulk;
        return report;
    });
    cr_assert_eq(shares.at("near"), 500);
}

/// Guards against use of another region for load alone, and against none when near members refuse.
Test(routing, other_region_serves_what_near_members_refuse)
{
    Fleet fleet;
    fleet.add("near", "a1");
    fleet.add("far", "b1");
    auto shares = fleet.share(500, [](const NodeId& id) {
        return loaded(id == "near" ? 10 : 1);
    });
    cr_assert_eq(shares["far"], 0);
    shares = fleet.share(500, [](const NodeId& id) {
        return id == "near" ? loaded(10, AttemptEnd::Refused) : loaded(1);
    });
    cr_assert(shares["far"] > 250, "%d", shares["far"]);
    shares = fleet.share(500, [](const NodeId& id) {
        return loaded(id == "near" ? 2 : 1);
    });
    cr_assert(shares["far"] < 50, "%d", shares["far"]);
}

/// Guards against a paid link used beyond its budget.
Test(routing, link_budget_bounds_the_bytes_to_other_regions)
{
    Fleet fleet;
    fleet.add("far", "b1");
    fleet.router_->setLinkBudget(100'000);
    fleet.request_.bytes_ = 2'000;
    auto report = loaded(0);
    report.bytes_ = 8'000;
    const auto shares = fleet.share(10'000, [&report](const NodeId&) {
        return report;
    });
    // 10 s of the rate and the bucket, and one call that goes into debt.
    const auto most = 100'000 * 10 + 200'000 + 10'000;
    cr_assert(fleet.router_->stats().linkBytes_ <= most);
    cr_assert(fleet.router_->stats().linkBytes_ >= 900'000);
    cr_assert(shares.at("") > 8'000);
    cr_assert_eq(std::get<RouteFailure>(fleet.choose()), RouteFailure::LinkBudget);
}

/// Guards against a busy member that gets as much as an idle one.
Test(routing, prefers_the_less_loaded)
{
    Fleet fleet;
    fleet.add("busy", "a1");
    fleet.add("idle", "a1");
    auto shares = fleet.share(200, [](const NodeId& id) {
        return loaded(id == "busy" ? 7 : 1);
    });
    cr_assert(shares["idle"] > 180, "%d", shares["idle"]);
    // Reports fade: after a while without any, both are tried again.
    fleet.now_ += seconds(20);
    cr_assert_neq(fleet.share(20)["busy"], 0);
}

/// Guards against a cold backend server that gets its full share at once.
Test(routing, slow_start_ramps_up)
{
    Fleet fleet;
    for (const auto* id : { "w1", "w2", "w3", "w4", "cold" }) {
        fleet.add(id, "a1").readySinceMs_ = 1;
    }
    fleet.members_["cold"].readySinceMs_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(wall.time_since_epoch()).count());
    const auto coldShare = [&fleet] {
        // Keeps 20 calls outstanding over members with 10 slots each.
        std::vector<NodeRef> open;
        int cold = 0;
        for (int i = 0; i < 500; ++i) {
            const auto member = std::get<Member>(fleet.choose());
            cold += member.ref_.id_ == "cold" ? 1 : 0;
            open.push_back(member.ref_);
            if (open.size() > 20) {
                fleet.router_->ended(open.front(), { AttemptEnd::Answered }, fleet.now_);
                open.erase(open.begin());
            }
        }
        for (const auto& ref : open) {
            fleet.router_->ended(ref, { AttemptEnd::Answered }, fleet.now_);
        }
        return cold;
    };
    const int atStart = coldShare();
    fleet.now_ += seconds(5);
    const int halfway = coldShare();
    fleet.now_ += seconds(6);
    const int warm = coldShare();
    cr_assert(atStart < 40, "%d", atStart);
    cr_assert(atStart < halfway && halfway < warm, "%d %d %d", atStart, halfway, warm);
    cr_assert(warm > 70, "%d", warm);
}

/// Guards against a member that fails all calls and goes on getting its share, and against one that
/// never comes back.
Test(routing, failing_member_is_ejected_for_growing_times)
{
    Fleet fleet;
    for (const auto* id : { "good1", "good2", "bad" }) {
        fleet.add(id, "a1");
    }
    const auto answer = [](const NodeId& id) {
        return AttemptReport { id == "bad" ? AttemptEnd::Failed : AttemptEnd::Answered };
    };
    cr_assert(fleet.share(900, answer)["bad"] <= 5);
    cr_assert_eq(fleet.router_->stats().ejections_, 1);
    // One failure after each return ejects again: after 1 s, then 2 s, then 4 s.
    const auto later = fleet.share(7'000, answer);
    cr_assert_leq(later.at("bad"), 4);
    cr_assert_geq(fleet.router_->stats().ejections_, 3);
    fleet.now_ += seconds(60);
    cr_assert(fleet.share(300)["bad"] > 50);
}

/// Guards against a service ejected as a whole, under random failures of all kinds.
Test(routing, never_ejects_more_than_half_or_the_last)
{
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        Fleet fleet(seed);
        std::mt19937_64 random(seed);
        for (int step = 0; step < 1500; ++step) {
            const auto id = "m" + std::to_string(random() % 6);
            if (random() % 100 == 0 && fleet.members_.size() > 1) {
                fleet.members_.erase(id);
            } else if (random() % 50 == 0 || fleet.members_.empty()) {
                fleet.add(id, random() % 2 ? "a1" : "a2");
            }
            const bool fails = random() % 8 != 0;
            cr_assert_neq(fleet.call({ fails ? AttemptEnd::Failed : AttemptEnd::Answered }), "");
            fleet.now_ += milliseconds(random() % 100);
            std::size_t ejected = 0;
            fleet.choose();
            for (const auto& target : fleet.router_->targets(fleet.now_)) {
                ejected += target.ejected_ ? 1 : 0;
            }
            cr_assert(ejected <= fleet.members_.size() / 2, "seed %lu step %d: %zu of %zu ejected",
                static_cast<unsigned long>(seed), step, ejected, fleet.members_.size());
        }
    }
}

/// Guards against state lost, and dead members chosen, when threads use lists of different age.
Test(routing, older_member_list_does_not_replace_newer_knowledge)
{
    Fleet fleet;
    fleet.add("a", "a1");
    const auto older = fleet.table_.replace(fleet.members_);
    fleet.add("b", "a1");
    fleet.members_["a"].ref_.incarnation_ = 2;
    fleet.choose();
    const auto route = fleet.router_->choose(*older, fleet.request_, fleet.now_, wall);
    cr_assert(std::holds_alternative<RouteFailure>(route), "an old incarnation is chosen");
    int outstanding = 0;
    for (const auto& target : fleet.router_->targets(fleet.now_)) {
        outstanding += target.outstanding_;
    }
    cr_assert_eq(outstanding, 1);
}

/// Guards against a naive reference that avoids bad members.
Test(routing, naive_version_takes_turns_over_all_members)
{
    Fleet fleet(1, Mechanism::Naive);
    fleet.add("leaving", "a1").state_ = MemberState::Leaving;
    fleet.add("far", "b1");
    fleet.add("dead", "a1").state_ = MemberState::Dead;
    fleet.add("down", "a1").backendUp_ = false;
    const auto shares = fleet.share(300);
    cr_assert_eq(shares.at("leaving"), 100);
    cr_assert_eq(shares.at("far"), 100);
    cr_assert_eq(shares.at("down"), 100);
    cr_assert_eq(shares.count("dead"), 0);
}
