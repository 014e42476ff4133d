/// Which nodes of a zone watch the store for the others.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/directory.h"

#include <string>
#include <vector>

namespace wagtailhead {

/// Returns the nodes of a zone that are to watch the store: the first ones in the order of a hash of their
/// names, which is the same on all nodes that know the same ones. At most `count` nodes.
auto storeWatchersOf(const std::vector<NodeEntry>& nodes, const std::string& zone, std::size_t count)
    -> std::vector<NodeEntry>;

/// Decides whether this node watches the store itself. A few nodes of each zone do, and tell the others at
/// intervals whether they reach it. While none does, more nodes watch, a few at a time, so that an outage of
/// the store does not cost a failed call of every node. Not thread safe.
class WatchRoles {
public:
    WatchRoles(std::string node, std::string zone, TimePoint now);

    /// A node of the zone has said whether it reaches the store.
    auto onHeartbeat(const std::string& node, bool storeReachable, TimePoint now) -> void;

    /// Returns whether this node is to watch. `nodes` are those that can be reached and accept requests, this
    /// one among them. Call it every 100 ms or so.
    auto shouldWatch(const std::vector<NodeEntry>& nodes, TimePoint now) -> bool;

private:
    std::string node_;
    std::string zone_;
    TimePoint lastCovered_; ///< When a node that reaches the store was heard last.
};

/// How often the nodes that watch the store tell the others of their zone.
constexpr Duration watchHeartbeatInterval = seconds(1);
/// The nodes of each zone that watch: one may be lost or cut off from the store without a gap.
constexpr std::size_t watchersPerZone = 2;

} // namespace wagtailhead
