#include "watch_roles.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <xxhash.h>

namespace wagtailhead {

namespace {

/// Parts of the bound. Other nodes may step in until three quarters of it; the last quarter is for their
/// reads.
constexpr double checkShare = 0.3;
constexpr double checkStepShare = 0.15;
constexpr double takeoverShare = 0.6;
constexpr double takeoverStepShare = 0.05;
constexpr double reliefShare = 2;
/// The last group of nodes that steps in, counted from 0, has all nodes that are in none before.
constexpr int lastGroup = 3;
/// The answer of a waiting watch may be lost at any time, so the store is not read more rarely, whatever the
/// bound.
constexpr Duration longestCheckInterval = seconds(2);
/// Pauses between failed reads: of the regular watchers, and of the others for each node of the zone.
constexpr Duration regularRetryPause = seconds(1);
constexpr Duration retryPausePerNode = milliseconds(500);

auto placeOf(const std::string& node) -> std::uint64_t
{
    return XXH64(node.data(), node.size(), 0);
}

auto partOf(Duration time, double share) -> Duration
{
    return std::chrono::duration_cast<Duration>(time * share);
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

auto watchTimesFor(Duration applyBound) -> WatchTimes
{
    return { .check_ = std::min(partOf(applyBound, checkShare), longestCheckInterval),
        .checkStep_ = partOf(applyBound, checkStepShare),
        .takeover_ = partOf(applyBound, takeoverShare),
        .takeoverStep_ = partOf(applyBound, takeoverStepShare),
        .slowRead_ = partOf(applyBound, takeoverShare / 2),
        .relief_ = partOf(applyBound, reliefShare),
        .retry_ = applyBound };
}

WatchRoles::WatchRoles(std::string node, std::string zone, Duration applyBound, TimePoint since)
    : node_(std::move(node))
    , zone_(std::move(zone))
    , times_(watchTimesFor(applyBound))
    , knownUntil_(since)
{
}

auto WatchRoles::setApplyBound(Duration applyBound) -> void
{
    times_ = watchTimesFor(applyBound);
}

auto WatchRoles::setNodes(const std::vector<NodeEntry>& nodes) -> void
{
    const auto ranked = storeWatchersOf(nodes, zone_, std::numeric_limits<std::size_t>::max());
    const auto self = std::find_if(ranked.begin(), ranked.end(), [&](const NodeEntry& entry) {
        return entry.node_ == node_;
    });
    earlier_.clear();
    std::transform(ranked.begin(), self, std::back_inserter(earlier_), [](const NodeEntry& entry) {
        return entry.node_;
    });
    rank_ = earlier_.size();
    zoneSize_ = ranked.size();
}

auto WatchRoles::onHeartbeat(const std::string& node, const WatcherStatus& status) -> void
{
    if (node != node_) {
        heard_[node] = status;
    }
}

auto WatchRoles::onStoreRead(TimePoint sentAt, TimePoint now) -> void
{
    lastRead_ = std::max(lastRead_.value_or(sentAt), sentAt);
    knownUntil_ = std::max(knownUntil_, sentAt);
    readTime_ = now - sentAt;
    if (readTime_ > times_.slowRead_) {
        nextTakeover_ = now + retryPause();
    }
}

auto WatchRoles::isFresh(TimePoint readAt, TimePoint now) const -> bool
{
    return now - readAt < times_.takeover_;
}

auto WatchRoles::hasReadSinceTakeover() const -> bool
{
    return lastRead_ && *lastRead_ >= steppedIn_;
}

auto WatchRoles::earlierNodeHasRead(TimePoint since, std::uint64_t version) const -> bool
{
    return std::any_of(earlier_.begin(), earlier_.end(), [&](const std::string& node) {
        const auto heard = heard_.find(node);
        return heard != heard_.end() && heard->second.version_ >= version && heard->second.readAt_ > since;
    });
}

auto WatchRoles::takeoverDelay() const -> Duration
{
    // The groups double: 2 nodes, 4, 8, and all others.
    const auto place = rank_ - std::min(rank_, watchersPerZone);
    const auto group = std::bit_width(place / watchersPerZone + 1) - 1;
    return times_.takeoverStep_ * std::min(static_cast<int>(group), lastGroup);
}

auto WatchRoles::retryPause() const -> Duration
{
    return isRegular() ? regularRetryPause
                       : std::max(times_.retry_, retryPausePerNode * static_cast<int>(zoneSize_));
}

auto WatchRoles::isReadDue(TimePoint now) const -> bool
{
    return now - knownUntil_ >= times_.check_ + (rank_ == 0 ? Duration::zero() : times_.checkStep_);
}

auto WatchRoles::shouldWatch(std::uint64_t version, TimePoint now) -> bool
{
    for (const auto& [node, status] : heard_) {
        // With another version this node would lack what the other one has read, or the other way round.
        if (status.version_ == version) {
            knownUntil_ = std::max(knownUntil_, status.readAt_);
        }
    }
    if (!earlierNodeHasRead(now - times_.takeover_, version)) {
        relievedSince_.reset();
    } else if (!relievedSince_) {
        relievedSince_ = now;
    }
    if (isRegular()) {
        watching_ = true;
    } else if (!watching_) {
        watching_ = now >= nextTakeover_ && !isFresh(knownUntil_ + takeoverDelay(), now);
        steppedIn_ = now;
    } else if (!hasReadSinceTakeover()) {
        watching_ = !isFresh(knownUntil_, now);
    } else if (readTime_ > times_.slowRead_ && earlierNodeHasRead(*lastRead_ - readTime_, version)) {
        watching_ = false; // The store is slow for all.
    } else {
        watching_ = !relievedSince_ || now - *relievedSince_ < times_.relief_;
    }
    return watching_;
}

} // namespace wagtailhead
