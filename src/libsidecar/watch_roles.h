/// Which nodes of a zone watch the store for the others.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/directory.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhead {

/// The nodes of each zone that watch as long as they reach the store. One of them reads the store for the
/// zone; the other one does when that one does not.
constexpr std::size_t watchersPerZone = 2;
/// How often the nodes that watch send heartbeats to the others of their zone, at least.
constexpr Duration watchHeartbeatInterval = seconds(1);

/// Returns the nodes of a zone that are to watch the store: the first ones in the order of a hash of their
/// names, which is the same on all nodes that know the same ones. At most `count` nodes.
auto storeWatchersOf(const std::vector<NodeEntry>& nodes, const std::string& zone, std::size_t count)
    -> std::vector<NodeEntry>;

/// The times of watching the store, as parts of the time in which every node has to follow it.
struct WatchTimes {
    Duration check_ {}; ///< Age of the last read from which on the first watcher reads the store again.
    Duration checkStep_ {}; ///< So much later the others that watch do.
    Duration takeover_ {}; ///< Age of the last read from which on other nodes step in.
    Duration takeoverStep_ {}; ///< Between the groups of nodes that step in.
    Duration slowRead_ {}; ///< Reads that take longer cannot keep the last read younger than `takeover_`.
    Duration relief_ {}; ///< How long a watcher before a node that has stepped in must have been fresh.
    Duration retry_ {}; ///< Between failed reads of a node that has stepped in, at least.
};

/// `applyBound` is the time in which a node has to follow what the store has confirmed. In the last quarter
/// of it no node relies on others any more.
auto watchTimesFor(Duration applyBound) -> WatchTimes;

/// The last heartbeat of a node that watches the store.
struct WatcherStatus {
    TimePoint readAt_; ///< It has all that the store had confirmed before this bootNow() time.
    std::uint64_t version_ = 0; ///< Of its configuration.
};

/// Decides whether this node watches the store itself, and when it reads it. The first nodes of each zone
/// watch. That brings changes at once, but a watch that waits tells nothing of the store, so one of them
/// reads it at intervals and sends the others a heartbeat with each read. A node whose last read, own or from
/// a heartbeat, is too old steps in and reads the store itself: the next nodes of the zone first, then more,
/// and in the end each on its own. So a change is followed in time whichever nodes are cut off, whichever
/// answers are lost, and however long that takes to notice. Those that have stepped in watch until a node
/// before them has reached the store for a while, or as well as they do themselves where the store is slow
/// for all. All times are in bootNow() time. Not thread safe.
class WatchRoles {
public:
    /// The node begins to wait for heartbeats at `since`, as if it had all that the store had confirmed then.
    WatchRoles(std::string node, std::string zone, Duration applyBound, TimePoint since);

    /// Precondition: the bound is positive.
    auto setApplyBound(Duration applyBound) -> void;

    /// Takes the nodes that can be reached and accept requests, this one among them.
    auto setNodes(const std::vector<NodeEntry>& nodes) -> void;

    /// Takes a heartbeat of a node of the zone that watches.
    auto onHeartbeat(const std::string& node, const WatcherStatus& status) -> void;

    /// The store has answered at `now` a call of this node that was sent at `sentAt`.
    auto onStoreRead(TimePoint sentAt, TimePoint now) -> void;

    /// Returns whether this node is to watch. `version` is that of its configuration. Call it every 100 ms or
    /// so.
    auto shouldWatch(std::uint64_t version, TimePoint now) -> bool;

    /// Returns whether this node, which watches, is to read the store now. `now` is that of shouldWatch().
    auto isReadDue(TimePoint now) const -> bool;

    /// Returns whether this node is one of those that watch while all is calm.
    auto isRegular() const -> bool
    {
        return rank_ < watchersPerZone;
    }

    /// Returns the longest pause between failed reads, and between slow ones of a node that has stepped in
    /// and left. In an outage of the store, or while it is slow, all nodes try to read it, so those that have
    /// stepped in pause for longer the more nodes the zone has.
    auto retryPause() const -> Duration;

    /// Returns when this node has last read the store, or nothing.
    auto lastRead() const -> const std::optional<TimePoint>&
    {
        return lastRead_;
    }

    /// Returns the time up to which this node knows what the store has confirmed, by its own reads or by
    /// those of others.
    auto knownUntil() const -> TimePoint
    {
        return knownUntil_;
    }

private:
    auto isFresh(TimePoint readAt, TimePoint now) const -> bool;
    auto hasReadSinceTakeover() const -> bool;
    /// Returns whether a node before this one has read the store since then.
    auto earlierNodeHasRead(TimePoint since, std::uint64_t version) const -> bool;
    auto takeoverDelay() const -> Duration;

    std::string node_;
    std::string zone_;
    WatchTimes times_;
    std::vector<std::string> earlier_; ///< Nodes of the zone before this one, in order.
    std::size_t rank_ = 0; ///< Number of those.
    std::size_t zoneSize_ = 1;
    std::map<std::string, WatcherStatus> heard_; ///< By node.
    TimePoint knownUntil_;
    std::optional<TimePoint> lastRead_;
    Duration readTime_ {}; ///< How long the last read took.
    TimePoint nextTakeover_; ///< This node does not step in before.
    TimePoint steppedIn_; ///< Or the last moment at which this node did not watch.
    std::optional<TimePoint> relievedSince_;
    bool watching_ = false;
};

} // namespace wagtailhead
