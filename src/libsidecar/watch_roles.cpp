#include "watch_roles.h"

#include <algorithm>
#include <xxhash.h>

namespace wagtailhead {

namespace {

/// While no node that reaches the store is heard, as many nodes as usual start to watch in each such time.
constexpr Duration escalationStep = milliseconds(1500);

auto placeOf(const std::string& node) -> std::uint64_t
{
    return XXH64(node.data(), node.size(), 0);
}

} // namespace

auto storeWatchersOf(const std::vector<NodeEntry>& nodes, const std::string& zone, std::size_t count)
    -> std::vector<NodeEntry>
{
    std::vector<NodeEntry> found;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(found), [&](const NodeEntry& entry) {
        return entry.zone_ == zone;
    });
    std::sort(found.begin(), found.end(), [](const NodeEntry& left, const NodeEntry& right) {
        return placeOf(left.node_) < placeOf(right.node_);
    });
    found.resize(std::min(found.size(), count));
    return found;
}

WatchRoles::WatchRoles(std::string node, std::string zone, TimePoint now)
    : node_(std::move(node))
    , zone_(std::move(zone))
    , lastCovered_(now)
{
}

auto WatchRoles::onHeartbeat(const std::string& node, bool storeReachable, TimePoint now) -> void
{
    if (storeReachable && node != node_) {
        lastCovered_ = now;
    }
}

auto WatchRoles::shouldWatch(const std::vector<NodeEntry>& nodes, TimePoint now) -> bool
{
    const auto uncovered = std::max(now - lastCovered_ - watchHeartbeatInterval, Duration::zero());
    const auto steps = static_cast<std::size_t>(uncovered / escalationStep);
    const auto watchers = storeWatchersOf(nodes, zone_, watchersPerZone * (1 + steps));
    return std::any_of(watchers.begin(), watchers.end(), [&](const NodeEntry& entry) {
        return entry.node_ == node_;
    });
}

} // namespace wagtailhead
