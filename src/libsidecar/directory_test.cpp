#include "wagtailhead/directory.h"

#include <cmath>
#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };
const Duration goal = milliseconds(300);

auto node(const std::string& name, const std::string& zone, const std::string& region) -> NodeEntry
{
    NodeEntry entry;
    entry.node_ = name;
    entry.zone_ = zone;
    entry.region_ = region;
    entry.service_ = "stock";
    entry.capacity_ = 10;
    entry.phase_ = BackendPhase::Ready;
    entry.generation_ = 1;
    return entry;
}

auto threeNodes() -> Directory
{
    Directory directory({ "self", "a", "r", 1 });
    directory.apply(node("near", "a", "r"));
    directory.apply(node("region", "b", "r"));
    directory.apply(node("far", "c", "q"));
    return directory;
}

} // namespace

Test(directory, prefers_near_nodes_until_they_are_loaded)
{
    auto directory = threeNodes();
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "near");
    directory.onLoad("near", { .running_ = 5, .queued_ = 0, .limit_ = 10 }, start);
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "near");
    directory.onLoad("near", { .running_ = 9, .queued_ = 0, .limit_ = 10 }, start);
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "region");
    directory.onLoad("near", { .running_ = 10, .queued_ = 8, .limit_ = 10 }, start);
    directory.onLoad("region", { .running_ = 10, .queued_ = 8, .limit_ = 10 }, start);
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "far");
}

Test(directory, counts_requests_sent_since_the_last_report)
{
    auto directory = threeNodes();
    for (int i = 0; i < 9; ++i) {
        directory.started("near");
    }
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "region");
    for (int i = 0; i < 9; ++i) {
        directory.ended("near");
    }
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "near");
}

Test(directory, skips_tried_leaving_and_stopping_nodes)
{
    auto directory = threeNodes();
    cr_assert(directory.pick("stock", goal, { "near" }, start)->entry_.node_ == "region");
    auto leaving = node("region", "b", "r");
    leaving.phase_ = BackendPhase::Draining;
    leaving.generation_ = 2;
    directory.apply(leaving);
    cr_assert(directory.pick("stock", goal, { "near" }, start)->entry_.node_ == "far");
    auto stopping = node("far", "c", "q");
    stopping.accepting_ = false;
    stopping.generation_ = 2;
    directory.apply(stopping);
    cr_assert(!directory.pick("stock", goal, { "near" }, start));
    cr_assert(!directory.pick("files", goal, {}, start));
}

Test(directory, an_older_entry_changes_nothing)
{
    auto directory = threeNodes();
    auto leaving = node("near", "a", "r");
    leaving.phase_ = BackendPhase::Gone;
    leaving.generation_ = 5;
    cr_assert(directory.apply(leaving));
    cr_assert(!directory.apply(node("near", "a", "r")));
    cr_assert(directory.find("near")->phase_ == BackendPhase::Gone);
}

// A restarted node read its entry from a store that had missed the leave of its backend server, and all nodes
// took the new entry for the leave that they knew of (review case 3).
Test(directory, a_leave_is_final_for_one_start_of_the_backend_server)
{
    struct Case {
        const char* name_;
        std::uint64_t generation_; ///< Of the entry without the leave; the one with it has 5.
        const char* backend_;
        std::uint64_t bornMs_;
        bool usable_;
    };
    const Case cases[] = {
        { "a restarted node has forgotten it", 9, "i-1", 100, false },
        { "an earlier entry", 4, "i-1", 100, false },
        { "the next start under the same id", 9, "i-1", 200, true },
        { "another backend server", 9, "i-2", 200, true },
    };
    for (const auto& testCase : cases) {
        auto left = node("near", "a", "r");
        left.backendId_ = "i-1";
        left.backendBornMs_ = 100;
        left.phase_ = BackendPhase::Draining;
        left.generation_ = 5;
        auto ready = node("near", "a", "r");
        ready.backendId_ = testCase.backend_;
        ready.backendBornMs_ = testCase.bornMs_;
        ready.generation_ = testCase.generation_;
        for (const bool leaveFirst : { true, false }) {
            Directory directory({ "self", "a", "r", 1 });
            directory.apply(leaveFirst ? left : ready);
            directory.apply(leaveFirst ? ready : left);
            cr_expect(directory.pick("stock", goal, {}, start).has_value() == testCase.usable_, "%s, %s",
                testCase.name_, leaveFirst ? "leave first" : "leave last");
            cr_expect(directory.find("near")->generation_ == std::max<std::uint64_t>(testCase.generation_, 5),
                "%s", testCase.name_);
        }
    }
}

Test(directory, an_unavailable_node_is_avoided_for_a_growing_time)
{
    auto directory = threeNodes();
    directory.onUnavailable("near", start);
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "region");
    cr_assert(directory.pick("stock", goal, {}, start + milliseconds(250))->entry_.node_ == "near");
    directory.onUnavailable("near", start + milliseconds(250));
    cr_assert(directory.pick("stock", goal, {}, start + milliseconds(500))->entry_.node_ == "region");
    directory.onSuccess("near");
    cr_assert(directory.pick("stock", goal, {}, start + milliseconds(500))->entry_.node_ == "near");
}

Test(directory, an_avoided_node_is_better_than_none)
{
    Directory directory({ "self", "a", "r", 1 });
    directory.apply(node("only", "a", "r"));
    directory.onUnavailable("only", start);
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "only");
}

Test(directory, a_failing_backend_server_gets_less_until_it_is_replaced)
{
    auto directory = threeNodes();
    for (int i = 0; i < 20; ++i) {
        directory.onFailure("near", start);
    }
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "region");
    auto replaced = node("near", "a", "r");
    replaced.backendId_ = "i-2";
    replaced.generation_ = 2;
    directory.apply(replaced);
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "near");
}

Test(directory, an_unreachable_node_waits_for_its_link)
{
    auto directory = threeNodes();
    directory.onUnreachable("near", start);
    cr_assert(directory.pick("stock", goal, {}, start + std::chrono::minutes(1))->entry_.node_ == "region");
    cr_assert(directory.unreachableSince("near") == start);
    directory.onReachable("near");
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "near");
    cr_assert(!directory.unreachableSince("near"));
}

// Perlu, incident 9fc0: a node that was stopped and started again found the store down, and no node that had
// its configuration opened a link to it, since its entry said that it took no requests.
Test(directory, a_node_that_has_stopped_is_soon_tried_again)
{
    auto directory = threeNodes();
    auto stopped = node("near", "a", "r");
    stopped.accepting_ = false;
    stopped.generation_ = 2;
    directory.apply(stopped);
    directory.onUnreachable("near", start);
    cr_assert(directory.takeDueProbes(start + milliseconds(100)).empty());
    cr_assert(directory.takeDueProbes(start + milliseconds(300)).size() == 1);
    cr_assert(directory.takeDueProbes(start + milliseconds(400)).empty());
    int probes = 0;
    for (int second = 10; second < 30; ++second) {
        probes += static_cast<int>(directory.takeDueProbes(start + seconds(second)).size());
    }
    cr_assert(probes >= 8 && probes <= 11, "%d", probes);
    auto left = node("near", "a", "r");
    left.phase_ = BackendPhase::Gone;
    left.generation_ = 3;
    directory.apply(left);
    cr_assert(directory.takeDueProbes(start + seconds(60)).empty(), "its backend server has left");
}

Test(directory, the_level_is_that_of_the_region_with_most_room)
{
    auto directory = threeNodes();
    directory.onLoad(
        "near", { .running_ = 9, .queued_ = 0, .limit_ = 10, .serviceTime_ = {}, .level_ = 1.0 }, start);
    directory.onLoad(
        "region", { .running_ = 9, .queued_ = 0, .limit_ = 10, .serviceTime_ = {}, .level_ = 0.6 }, start);
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "far");
    cr_assert(std::abs(directory.level("stock", start).level_) < 1e-9, "of the other region");
    directory.onLoad(
        "far", { .running_ = 9, .queued_ = 0, .limit_ = 10, .serviceTime_ = {}, .level_ = 2.0 }, start);
    cr_assert(std::abs(directory.level("stock", start).level_ - 0.8) < 1e-9, "mean of the own region");
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "region");
    cr_assert(directory.level("stock", start + seconds(5)).level_ == 0, "reports are forgotten");
    cr_assert(directory.level("files", start).level_ == 0);
}

Test(directory, a_level_fades_by_the_age_that_it_came_with)
{
    auto directory = threeNodes();
    int steps = 0;
    directory.onLevelStep([&] {
        ++steps;
    });
    directory.retire("far", start);
    const GateLoad load { .running_ = 1,
        .queued_ = 0,
        .limit_ = 10,
        .serviceTime_ = {},
        .level_ = 0,
        .called_ = { 1.0, seconds(1) } };
    directory.onLoad("near", load, start);
    directory.onLoad("near", load, start);
    directory.onLoad("region", load, start);
    cr_assert(steps == 2, "a repeated report is no step");
    const auto fresh = directory.level("stock", start);
    cr_assert(std::abs(fresh.level_ - 1.0) < 1e-9);
    cr_assert(
        fresh.age_ > milliseconds(999) && fresh.age_ < milliseconds(1001), "the age goes on with the level");
    const auto later = directory.level("stock", start + milliseconds(1500));
    cr_assert(std::abs(later.level_ - 0.5) < 1e-9);
}

Test(directory, a_slow_backend_server_counts_little)
{
    auto directory = threeNodes();
    directory.onLoad(
        "near", { .running_ = 1, .queued_ = 0, .limit_ = 10, .serviceTime_ = milliseconds(400) }, start);
    directory.onLoad(
        "region", { .running_ = 1, .queued_ = 0, .limit_ = 10, .serviceTime_ = milliseconds(20) }, start);
    cr_assert(directory.pick("stock", goal, {}, start)->entry_.node_ == "region");
    cr_assert(directory.pick("stock", seconds(10), {}, start)->entry_.node_ == "near",
        "within the objective it is as good");
    cr_assert(
        directory.pick("stock", goal, {}, start + seconds(3))->entry_.node_ == "near", "it is tried again");
    directory.retire("far", start);
    directory.onLoad("near",
        { .running_ = 10, .queued_ = 5, .limit_ = 10, .serviceTime_ = milliseconds(400), .level_ = 2.1 },
        start);
    directory.onLoad(
        "region", { .running_ = 5, .queued_ = 0, .limit_ = 10, .serviceTime_ = milliseconds(20) }, start);
    cr_assert(std::abs(directory.level("stock", start).level_ - 0.1) < 1e-9, "it could do a twentieth");
}

Test(directory, a_node_that_is_gone_is_not_brought_back)
{
    auto directory = threeNodes();
    const auto retired = directory.retire("near", start);
    cr_assert(retired && retired->phase_ == BackendPhase::Gone && retired->generation_ == 2);
    cr_assert(!directory.retire("near", start), "once is enough");
    cr_assert(!directory.apply(node("near", "a", "r")), "a node that has not heard of it");
    auto alive = node("near", "a", "r");
    alive.generation_ = 3;
    cr_assert(directory.apply(alive), "it lives after all");
    directory.retire("near", start);
    directory.purge(start + std::chrono::minutes(9));
    cr_assert(directory.find("near") != nullptr);
    directory.purge(start + std::chrono::minutes(11));
    cr_assert(directory.find("near") == nullptr);
    cr_assert(!directory.retire("unknown", start));
}

Test(directory, digests_are_the_same_for_the_same_entries)
{
    auto one = threeNodes();
    Directory other({ "other", "a", "r", 2 });
    other.apply(node("far", "c", "q"));
    other.apply(node("region", "b", "r"));
    cr_assert(one.digest() != other.digest());
    other.apply(node("near", "a", "r"));
    cr_assert(one.digest() == other.digest(), "in any order");
    auto newer = node("near", "a", "r");
    newer.generation_ = 2;
    one.apply(newer);
    cr_assert(one.digest() != other.digest());
    one.retire("near", start);
    cr_assert(one.digest() != other.digest(), "the other one still uses it");
    other.retire("near", start);
    cr_assert(one.digest() == other.digest());
}
