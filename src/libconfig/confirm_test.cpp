#include "control_test_support.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::testing;

namespace {

const std::string retriesKey = "config/retries";
const std::string leavingKey = "config/leaving";
const std::string emptyLeaving = R"({"generation":1,"nodes":[]})";
const std::string leaveK1 = R"({"kind":"leaving","add":["k1"]})";

auto surroundingsOf(const PlanWorld& world, WallClock::time_point now = noon) -> ConfirmSurroundings
{
    return { world, std::nullopt, now };
}

auto allowanceIntent(int allowance) -> std::string
{
    return R"({"kind":"retries","document":{"allowance":)" + std::to_string(allowance) + "}}";
}

auto storeWithPlan(const std::string& intent, const std::string& id = "1") -> MemoryStore
{
    MemoryStore store;
    store.put(leavingKey, emptyLeaving);
    store.put(retriesKey, R"({"generation":1})");
    keepPlan(store, intent, id, worldOf(smallMesh()));
    return store;
}

auto confirm(MemoryStore& store, const std::string& id, const ConfirmSurroundings& surroundings,
    bool force = false, const OperatorTeam& team = teamOf("*")) -> ConfirmStep
{
    return runConfirm(ConfirmProcess(id, team, force), store, surroundings);
}

struct ChangedWorld {
    const char* name_;
    std::function<void(std::map<NodeId, Member>&)> change_;
    bool force_;
    std::string code_;
    const char* note_; ///< Part of a note of the accepted confirm.
};

} // namespace

/// Guards against an accepted change without the next generation, the intent or its place in the history.
Test(confirm, writes_generation_intent_and_history)
{
    auto store = storeWithPlan(leaveK1);
    const auto step = confirm(store, "1", surroundingsOf(worldOf(smallMesh())));
    const auto* done = std::get_if<ConfirmDone>(&step);
    cr_assert(done && done->generation_ == 2 && !done->repeated_);
    const auto record = valueOf(parseDocumentRecord(store.value(leavingKey)));
    cr_assert_eq(record.generation_, 2);
    cr_assert(record.intent_ == "1");
    cr_assert(record.history_
        == (std::vector<HistoryEntry> { { 2, "1", "ops", noon, "leaving: nodes[k1] added" } }));
    cr_assert(isOk(checkConfigDocument(ConfigKind::Leaving, store.value(leavingKey))));
    cr_assert(done->mark_ && valueOf(parsePlan(done->mark_->value_)).confirmedGeneration_ == 2);
}

/// Guards against a history that grows without bound or forgets the latest changes.
Test(confirm, history_keeps_the_last_50_changes)
{
    MemoryStore store;
    store.put(retriesKey, R"({"generation":1})");
    for (int i = 0; i < 60; ++i) {
        const auto id = std::to_string(i);
        keepPlan(store, allowanceIntent(i % 2), id, worldOf(smallMesh()));
        cr_assert(codeOf(confirm(store, id, surroundingsOf(worldOf(smallMesh())))) == "done");
    }
    const auto record = valueOf(parseDocumentRecord(store.value(retriesKey)));
    cr_assert_eq(record.history_.size(), historyLength);
    cr_assert_eq(record.history_.back().generation_, 61);
    cr_assert_eq(record.history_.front().generation_, 12);
}

/// Guards against a second effect, or a refusal, when an operator repeats a confirm whose answer was lost.
Test(confirm, repeat_after_a_lost_answer_finds_its_own_write)
{
    auto store = storeWithPlan(leaveK1);
    store.loseAnswers_ = 1;
    const auto first = confirm(store, "1", surroundingsOf(worldOf(smallMesh())));
    const auto* done = std::get_if<ConfirmDone>(&first);
    cr_assert(done && done->generation_ == 2 && done->repeated_);
    const auto written = store.value(leavingKey);
    // Another change follows; the repeat still finds its own.
    keepPlan(store, R"({"kind":"leaving","add":["k2"]})", "2", worldOf(smallMesh()));
    cr_assert(codeOf(confirm(store, "2", surroundingsOf(worldOf(smallMesh())))) == "done");
    const auto after = store.value(leavingKey);
    const auto again = confirm(store, "1", surroundingsOf(worldOf(smallMesh())));
    const auto* repeated = std::get_if<ConfirmDone>(&again);
    cr_assert(repeated && repeated->generation_ == 2 && repeated->repeated_);
    cr_assert_eq(repeated->documentGeneration_, 3);
    cr_assert(store.value(leavingKey) == after && after != written);
}

/// Guards against "nothing was changed" being told when a write without an answer may take effect later.
Test(confirm, an_unanswered_write_is_never_reported_as_refused)
{
    auto store = storeWithPlan(leaveK1);
    const auto surroundings = surroundingsOf(worldOf(smallMesh()));
    ConfirmProcess process("1", teamOf("*"), false);
    auto step = advance(process, process.start(), store, surroundings);
    step = advance(process, step, store, surroundings);
    cr_assert(std::holds_alternative<ConfirmWrite>(step));
    step = process.onWrite(ConfigStoreUnanswered {});
    auto emptied = smallMesh();
    emptied.erase("k2");
    emptied.erase("k3");
    while (isOpen(step)) {
        // The store is out now, and the world has changed meanwhile.
        step = std::holds_alternative<ConfirmRead>(step)
            ? process.onRead(ConfigStoreUnavailable {}, surroundingsOf(worldOf(emptied)))
            : process.onWrite(ConfigStoreUnavailable {});
    }
    cr_assert(codeOf(step) == operator_code::outcomeUnknown);
}

/// Guards against two operators overwriting each other, and against a refusal that does not say why.
Test(confirm, changed_base_is_refused_with_what_changed_and_by_whom)
{
    auto store = storeWithPlan(leaveK1);
    keepPlan(store, R"({"kind":"leaving","add":["k2"]})", "2", worldOf(smallMesh()));
    const auto surroundings = surroundingsOf(worldOf(smallMesh()));
    cr_assert(codeOf(confirm(store, "2", surroundings, false, teamOf("*", "night"))) == "done");
    const auto before = store.value(leavingKey);
    const auto step = confirm(store, "1", surroundings);
    const auto* error = std::get_if<OperatorError>(&step);
    cr_assert(error && error->code_ == operator_code::baseChanged);
    cr_assert_eq(error->changedSince_.size(), 1);
    cr_assert(error->changedSince_[0].team_ == "night");
    cr_assert(error->detail_.find("night") != std::string::npos);
    cr_assert(error->detail_.find("nodes[k2] added") != std::string::npos);
    cr_assert(store.value(leavingKey) == before);
}

/// Guards against a plan taking effect in a world that its author has not seen.
Test(confirm, changed_world_is_refused_or_told)
{
    const ChangedWorld cases[] = {
        { "same", [](auto&) {}, false, "done", "" },
        { "server gone",
            [](auto& members) {
                members["k1"].state_ = MemberState::Dead;
            },
            false, "done", "k1', which the plan lists, is gone" },
        { "server replaced",
            [](auto& members) {
                members["k1"].ref_.incarnation_ = 2000;
            },
            false, "done", "replaced by a new process" },
        { "server forgotten",
            [](auto& members) {
                members.erase("k1");
            },
            false, operator_code::unknownNode, "" },
        { "less capacity",
            [](auto& members) {
                members["k2"].backendUp_ = false;
            },
            false, "done", "0 slots left in zone riga-a, the plan said 10" },
        { "empty",
            [](auto& members) {
                members["k2"].backendUp_ = false;
                members["k3"].state_ = MemberState::Dead;
            },
            false, operator_code::serviceEmpty, "" },
        { "empty, forced",
            [](auto& members) {
                members["k2"].backendUp_ = false;
                members["k3"].state_ = MemberState::Dead;
            },
            true, "done", "no usable backend server left" },
    };
    for (const auto& [name, change, force, code, note] : cases) {
        auto store = storeWithPlan(leaveK1);
        auto members = smallMesh();
        change(members);
        const auto step = confirm(store, "1", surroundingsOf(worldOf(members)), force);
        cr_assert(codeOf(step) == code, "%s", name);
        cr_assert_eq(store.value(leavingKey) == emptyLeaving, code != "done", "%s", name);
        if (const auto* done = std::get_if<ConfirmDone>(&step)) {
            std::string notes;
            for (const auto& text : done->notes_) {
                notes += text + "\n";
            }
            cr_assert(notes.find(note) != std::string::npos, "%s: %s", name, notes.c_str());
            cr_assert(std::string(note).empty() == notes.empty(), "%s: %s", name, notes.c_str());
        }
    }
}

/// Guards against force overriding anything but the check for an empty service.
Test(confirm, other_refusals_hold_even_with_force)
{
    const auto surroundings = surroundingsOf(worldOf(smallMesh()));
    auto store = storeWithPlan(leaveK1);
    cr_assert(codeOf(confirm(store, "2", surroundings, true)) == operator_code::notFound);
    cr_assert(codeOf(confirm(store, "1", surroundings, true, teamOf("krajums"))) == operator_code::forbidden);
    cr_assert(codeOf(confirm(store, "1", surroundingsOf(worldOf(smallMesh()), noon + planLife), true))
        == operator_code::planExpired);
    store.down_ = true;
    cr_assert(codeOf(confirm(store, "1", surroundings, true)) == operator_code::storeUnavailable);
    store.down_ = false;
    store.put(intentKey("1"), R"({"id":"1"})");
    cr_assert(codeOf(confirm(store, "1", surroundings, true)) == operator_code::planUnreadable);
    cr_assert(store.value(leavingKey) == emptyLeaving);
}

/// Guards against the declaration of a node that has come back since the plan was made.
Test(confirm, declared_node_must_still_be_dead)
{
    auto members = smallMesh();
    members["k3"].state_ = MemberState::Dead;
    MemoryStore store;
    keepPlan(store, R"({"kind":"declare-lost","nodes":["k3"]})", "1", worldOf(members));
    cr_assert(
        codeOf(confirm(store, "1", surroundingsOf(worldOf(smallMesh())), true)) == operator_code::nodeAlive);
    cr_assert(store.value("config/lost").empty());
    const auto later = noon + seconds(90);
    cr_assert(codeOf(confirm(store, "1", surroundingsOf(worldOf(members), later))) == "done");
    // The time of the declaration is that of the confirm: keys from before it do not run.
    const auto lost = valueOf(parseLostConfig(store.value("config/lost")));
    cr_assert(lost.byNode().at({ "k3", 1000 }) == later);
}

/// Guards against a rolled-back store taking accepted changes out of force: the nodes ignore generations
/// that they have seen, so the next change must count on from the higher one.
Test(confirm, counts_on_from_the_generation_in_force_after_a_rollback)
{
    MemoryStore store;
    store.put(retriesKey, R"({"generation":3,"allowance":1})");
    const std::string inForce = R"({"generation":5,"intent":"abc","allowance":2})";
    const auto world = worldOf(smallMesh());
    const auto plan = makePlan(valueOf(parseIntent(allowanceIntent(7))),
        planBase(store.value(retriesKey), inForce), world, "1", "ops", noon);
    store.put(intentKey("1"), formatPlan({ std::get<Plan>(plan), 0, {} }));
    const auto step = confirm(store, "1", { world, inForce, noon });
    cr_assert(codeOf(step) == "done");
    cr_assert_eq(valueOf(parseDocumentRecord(store.value(retriesKey))).generation_, 6);
}

/// Guards against two winners, no winner, or an effect of a refused plan, in any order of the operators'
/// steps and with lost answers. Every seed runs three operators with random interleaving.
Test(confirm, exactly_one_of_racing_operators_wins_in_every_schedule)
{
    constexpr int operators = 3;
    const auto surroundings = surroundingsOf(worldOf(smallMesh()));
    for (unsigned seed = 0; seed < 2000; ++seed) {
        std::mt19937 random(seed);
        MemoryStore store;
        store.put(retriesKey, R"({"generation":1})");
        std::vector<ConfirmProcess> processes;
        std::vector<ConfirmStep> steps;
        for (int i = 0; i < operators; ++i) {
            const auto id = keepPlan(store, allowanceIntent(10 + i), std::to_string(i), worldOf(smallMesh()));
            processes.emplace_back(id, teamOf("*"), false);
            steps.push_back(processes.back().start());
        }
        // Below the attempts of one process, so that none ends as unknown.
        store.loseAnswers_ = static_cast<int>(random() % 2);
        while (std::any_of(steps.begin(), steps.end(), isOpen)) {
            const auto i = random() % operators;
            if (isOpen(steps[i])) {
                steps[i] = advance(processes[i], steps[i], store, surroundings);
            }
        }
        int winners = 0;
        for (int i = 0; i < operators; ++i) {
            const auto code = codeOf(steps[i]);
            const auto allowance = valueOf(parseRetriesConfig(store.value(retriesKey))).allowance_;
            cr_assert_eq(code == "done", allowance == 10 + i, "seed %u: %s", seed, code.c_str());
            cr_assert(
                code == "done" || code == operator_code::baseChanged, "seed %u: %s", seed, code.c_str());
            winners += static_cast<int>(code == "done");
        }
        cr_assert_eq(winners, 1, "seed %u: %d winners", seed, winners);
        cr_assert_eq(valueOf(parseGeneration(store.value(retriesKey))), 2, "seed %u", seed);
    }
}
