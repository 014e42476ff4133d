#include "watch_roles.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };

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

/// Returns how many nodes watch when none has heard a heartbeat since `start`.
auto watchersAt(const std::vector<NodeEntry>& nodes, TimePoint now) -> int
{
    int watchers = 0;
    for (const auto& entry : nodes) {
        WatchRoles roles(entry.node_, "a", start);
        watchers += roles.shouldWatch(nodes, now) ? 1 : 0;
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

Test(watch_roles, more_nodes_watch_step_by_step_while_none_reaches_the_store)
{
    const auto nodes = zoneOf(30);
    cr_assert(watchersAt(nodes, start + milliseconds(900)) == 2);
    cr_assert(watchersAt(nodes, start + milliseconds(2600)) == 4);
    cr_assert(watchersAt(nodes, start + milliseconds(9000)) == 12, "not every node pays for failed calls");
}

Test(watch_roles, a_node_that_hears_a_watcher_relies_on_it)
{
    const auto nodes = zoneOf(30);
    const auto ranked = storeWatchersOf(nodes, "a", 30);
    const auto& first = ranked.front().node_;
    WatchRoles roles(ranked.back().node_, "a", start);
    for (int second = 1; second <= 60; ++second) {
        roles.onHeartbeat(first, true, start + seconds(second));
        cr_assert(!roles.shouldWatch(nodes, start + seconds(second)));
    }
    roles.onHeartbeat(first, false, start + seconds(61));
    cr_assert(roles.shouldWatch(nodes, start + seconds(90)), "the watcher is cut off");
    roles.onHeartbeat(first, true, start + seconds(90));
    cr_assert(!roles.shouldWatch(nodes, start + seconds(90)));
}
