#include "watch_roles.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };
constexpr Duration bound = milliseconds(2500);

auto zoneOf(int count, const std::string& zone = "a") -> std::vector<NodeEntry>
{
    std::vector<NodeEntry> nodes;
    for (int i = 0; i < count; ++i) {
        NodeEntry entry;
        entry.node_ = zone + std::to_string(i);
        entry.zone_ = zone;
        nodes.push_back(entry);
    }
    return nodes;
}

/// Returns the roles of a node that knows these nodes.
auto rolesOf(const std::string& node, const std::vector<NodeEntry>& nodes, Duration applyBound = bound)
    -> WatchRoles
{
    WatchRoles roles(node, "a", applyBound, start);
    roles.setNodes(nodes);
    return roles;
}

/// Returns how many nodes watch when none has heard of a read since `start`.
auto watchersAt(const std::vector<NodeEntry>& nodes, TimePoint now, Duration applyBound = bound) -> int
{
    int watchers = 0;
    for (const auto& entry : nodes) {
        watchers += rolesOf(entry.node_, nodes, applyBound).shouldWatch(1, now) ? 1 : 0;
    }
    return watchers;
}

} // namespace

Test(watch_roles, two_nodes_of_each_zone_watch)
{
    auto nodes = zoneOf(30);
    const auto other = zoneOf(5, "b");
    nodes.insert(nodes.end(), other.begin(), other.end());
    cr_assert(watchersAt(nodes, start) == 2);
    cr_assert(storeWatchersOf(nodes, "b", watchersPerZone).size() == 2);
    cr_assert(watchersAt(zoneOf(1), start) == 1);
}

Test(watch_roles, the_order_does_not_depend_on_what_else_is_known)
{
    const auto all = zoneOf(20);
    const auto first = storeWatchersOf(all, "a", 1).front();
    const std::vector<NodeEntry> some { all[3], first, all[7] };
    cr_assert(storeWatchersOf(some, "a", 1).front() == first);
}

// Two nodes stepped in every 1.5 s, so a zone whose first nodes were cut off from the store followed an old
// configuration for long after the bound (review case 13).
Test(watch_roles, more_nodes_step_in_until_each_reads_on_its_own_within_the_bound)
{
    const auto nodes = zoneOf(30);
    for (const Duration applyBound : { Duration(milliseconds(800)), bound, Duration(seconds(8)) }) {
        const auto at = [&](double share) {
            return watchersAt(
                nodes, start + std::chrono::duration_cast<Duration>(applyBound * share), applyBound);
        };
        cr_expect(at(0.59) == 2);
        cr_expect(at(0.61) == 4);
        cr_expect(at(0.66) == 8);
        cr_expect(at(0.71) == 16);
        cr_expect(at(0.76) == 30);
    }
}

Test(watch_roles, a_node_that_hears_a_watcher_relies_on_it)
{
    const auto nodes = zoneOf(30);
    const auto ranked = storeWatchersOf(nodes, "a", 30);
    const auto& first = ranked.front().node_;
    auto roles = rolesOf(ranked.back().node_, nodes);
    for (int second = 1; second <= 60; ++second) {
        roles.onHeartbeat(first, { start + seconds(second), 1 });
        cr_assert(!roles.shouldWatch(1, start + seconds(second)));
    }
    // It goes on to send heartbeats, but has not read the store since.
    roles.onHeartbeat(first, { start + seconds(60), 1 });
    cr_assert(roles.shouldWatch(1, start + seconds(62)), "the watcher is cut off");
    roles.onHeartbeat(first, { start + seconds(62), 1 });
    cr_assert(!roles.shouldWatch(1, start + seconds(62)));
}

// What another node has read is of no use to one that has not got it.
Test(watch_roles, a_watcher_with_another_version_is_not_relied_on)
{
    const auto nodes = zoneOf(3);
    const auto ranked = storeWatchersOf(nodes, "a", 3);
    auto roles = rolesOf(ranked[2].node_, nodes);
    roles.onHeartbeat(ranked[0].node_, { start + seconds(3), 2 });
    cr_assert(roles.knownUntil() == start);
    cr_assert(roles.shouldWatch(1, start + seconds(3)), "the newer version has not arrived");
    cr_assert(!roles.shouldWatch(2, start + seconds(3)), "it has");
    cr_assert(roles.knownUntil() == start + seconds(3));
    roles.onHeartbeat(ranked[0].node_, { start + seconds(6), 1 });
    cr_assert(roles.shouldWatch(2, start + seconds(6)), "the watcher is behind");
}

Test(watch_roles, a_node_that_has_stepped_in_stays_until_the_watchers_before_it_are_steady)
{
    const auto nodes = zoneOf(5);
    const auto ranked = storeWatchersOf(nodes, "a", 5);
    auto roles = rolesOf(ranked[2].node_, nodes);
    auto now = start + seconds(2);
    cr_assert(roles.shouldWatch(1, now));
    roles.onStoreRead(now, now);
    const auto heartbeats = [&](std::size_t count, Duration time) {
        for (const auto end = now + time; now < end; now += milliseconds(100)) {
            for (std::size_t i = 0; i < count; ++i) {
                roles.onHeartbeat(ranked[i].node_, { now, 1 });
            }
            roles.onStoreRead(now, now);
            if (!roles.shouldWatch(1, now)) {
                return false;
            }
        }
        return true;
    };
    cr_assert(heartbeats(0, seconds(20)), "nobody else reads the store");
    cr_assert(heartbeats(1, milliseconds(3500)));
    cr_assert(heartbeats(0, seconds(3)));
    cr_assert(heartbeats(1, milliseconds(4500)), "it has come and gone");
    cr_assert(!heartbeats(1, seconds(1)));
}

// With each node that waits for the ones before it to be relieved by those behind it, nobody would watch.
Test(watch_roles, only_nodes_before_a_node_relieve_it)
{
    const auto nodes = zoneOf(5);
    const auto ranked = storeWatchersOf(nodes, "a", 5);
    auto roles = rolesOf(ranked[2].node_, nodes);
    auto now = start + seconds(2);
    cr_assert(roles.shouldWatch(1, now));
    for (const auto end = now + seconds(20); now < end; now += milliseconds(100)) {
        roles.onHeartbeat(ranked[3].node_, { now, 1 });
        roles.onStoreRead(now, now);
        cr_assert(roles.shouldWatch(1, now));
    }
}

// Each read that is not stale costs as much as ten that may be, so one node reads the store for its zone.
Test(watch_roles, one_node_reads_the_store_and_another_one_when_it_does_not)
{
    const auto nodes = zoneOf(3);
    const auto ranked = storeWatchersOf(nodes, "a", 3);
    auto first = rolesOf(ranked[0].node_, nodes);
    auto second = rolesOf(ranked[1].node_, nodes);
    const auto isDue = [](WatchRoles& roles, TimePoint now) {
        roles.shouldWatch(1, now);
        return roles.isReadDue(now);
    };
    const auto times = watchTimesFor(bound);
    cr_assert(!isDue(first, start + times.check_ - milliseconds(1)));
    for (auto now = start; now < start + seconds(20); now += times.check_) {
        cr_assert(now == start || isDue(first, now));
        first.onStoreRead(now, now);
        second.onHeartbeat(ranked[0].node_, { now, 1 });
        cr_assert(!isDue(first, now) && !isDue(second, now + times.check_));
    }
    const auto last = first.knownUntil();
    cr_assert(isDue(second, last + times.check_ + times.checkStep_));
    cr_assert(times.check_ + times.checkStep_ < times.takeover_, "before others step in");
    first.onHeartbeat(ranked[1].node_, { last + times.check_, 1 });
    cr_assert(!isDue(first, last + times.check_ + milliseconds(1)), "another one has just read it");
}

// In an outage of the store all nodes of a zone try to read it, and each call is paid for.
Test(watch_roles, nodes_that_have_stepped_in_share_the_failed_reads_of_an_outage)
{
    const auto nodes = zoneOf(20);
    const auto ranked = storeWatchersOf(nodes, "a", 20);
    auto roles = rolesOf(ranked.back().node_, nodes);
    const auto now = start + seconds(2);
    cr_assert(roles.shouldWatch(1, now));
    cr_assert(roles.retryPause() == seconds(10), "two calls a second of all nodes that have stepped in");
    roles.onHeartbeat(ranked[5].node_, { now, 1 });
    cr_assert(!roles.shouldWatch(1, now), "another one has reached it first");
    cr_assert(rolesOf(ranked.front().node_, nodes).retryPause() == seconds(1));
    cr_assert(rolesOf(nodes[2].node_, { nodes[0], nodes[1], nodes[2] }).retryPause() <= bound);
}

// Where the store is slow for all, a node's own reads make it no fresher, and each is paid for.
Test(watch_roles, a_node_whose_own_reads_are_slow_too_relies_on_the_watchers)
{
    const auto nodes = zoneOf(20);
    const auto ranked = storeWatchersOf(nodes, "a", 20);
    auto roles = rolesOf(ranked.back().node_, nodes);
    auto now = start + seconds(2);
    cr_assert(roles.shouldWatch(1, now));
    const auto watchersRead = [&](TimePoint readAt) {
        roles.onHeartbeat(ranked[0].node_, { readAt, 1 });
        roles.onHeartbeat(ranked[1].node_, { readAt, 1 });
    };
    // The first read is not needed any more when it has been answered.
    watchersRead(now - milliseconds(100));
    cr_assert(!roles.shouldWatch(1, now + seconds(1)));
    roles.onStoreRead(now, now + seconds(1));
    now += seconds(1);
    cr_assert(!roles.shouldWatch(1, now + milliseconds(9900)));
    cr_assert(roles.shouldWatch(1, now + milliseconds(10100)), "it tries again after the pause");
    now += milliseconds(10100);
    // The next read is not younger than those of the watchers, all of them old.
    watchersRead(now - seconds(1));
    cr_assert(roles.shouldWatch(1, now + seconds(2)));
    roles.onStoreRead(now, now + seconds(2));
    cr_assert(!roles.shouldWatch(1, now + seconds(2)));
    // It is younger than those of watchers that are cut off.
    now += seconds(13);
    cr_assert(roles.shouldWatch(1, now));
    for (const auto end = now + bound * 3; now < end; now += milliseconds(100)) {
        roles.onStoreRead(now - seconds(2), now);
        cr_assert(roles.shouldWatch(1, now));
    }
}
