/// The member table of the protocol, with the digest of the members' versions.
#pragma once

#include "bucket_digest.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/gossip_message.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wagtailhead {

/// The record of one member and its timers at this node.
struct MemberEntry {
    Member member_;
    bool departed_ = false;
    /// This node's own probe of the member failed, so the shorter suspicion timeout applies here.
    bool locallyDetected_ = false;
    BucketIndex bucket_ = 0;
    /// Suspect: when it is declared dead. Dead: when its tombstone expires.
    TimePoint deadline_ = TimePoint::max();
    TimePoint suspectedAt_;
    TimePoint nextRecheck_ = TimePoint::max();
    /// The earlier of `deadline_` and `nextRecheck_`, as entered in the timer queue.
    TimePoint timer_ = TimePoint::max();
};

/// Returns whether a member takes part in gossip: it is not dead.
auto isLive(const MemberEntry& entry) -> bool;

auto memberStatusOf(const Member& member) -> MemberStatus;
auto recordOf(const MemberEntry& entry) -> MemberRecord;

/// All members other than the local node. The digest covers the live ones only; tombstones are left out,
/// since they expire at different times on different nodes.
class MemberStore {
public:
    explicit MemberStore(BucketDigest& digest)
        : digest_(digest)
    {
    }

    auto find(const NodeId& id) -> MemberEntry*;
    auto find(const NodeId& id) const -> const MemberEntry*;

    /// Inserts or replaces an entry and updates the digest and the counts. Timers are taken from `entry`.
    auto put(MemberEntry entry) -> MemberEntry&;
    auto erase(const NodeId& id) -> void;

    /// Updates the timer queue for an entry. Call it after the times of the entry have changed.
    auto schedule(MemberEntry& entry) -> void;
    /// Removes an expired timer from the queue and returns the id of its entry, or nothing.
    auto takeDue(TimePoint now) -> std::optional<NodeId>;
    auto nextTimer() const -> TimePoint;

    auto entries() const -> const std::map<NodeId, MemberEntry>&
    {
        return entries_;
    }
    auto liveCount() const -> std::size_t
    {
        return liveCount_;
    }
    auto version() const -> std::uint64_t
    {
        return version_;
    }
    auto markChanged() -> void
    {
        ++version_;
    }

private:
    auto updateDigestAndCount(const MemberEntry& entry, bool added) -> void;

    BucketDigest& digest_;
    std::map<NodeId, MemberEntry> entries_;
    /// Timer queue, ordered by due time.
    std::set<std::pair<TimePoint, NodeId>> timers_;
    std::size_t liveCount_ = 0;
    std::uint64_t version_ = 0;
};

/// Returns the hash of a member's version, which the digest combines.
auto versionHash(const Member& member) -> std::uint64_t;

} // namespace wagtailhead
