/// The members as the protocol keeps them, with the digest of their versions.
#pragma once

#include "bucket_digest.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/gossip_message.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wagtailhead {

/// One known member and what this node has to do about it.
struct MemberEntry {
    Member member_;
    bool departed_ = false;
    /// This node itself failed to reach the member, and so decides on its death.
    bool accuser_ = false;
    BucketIndex bucket_ = 0;
    /// Suspect: when it is declared dead. Dead: when it is forgotten.
    TimePoint deadline_ = TimePoint::max();
    TimePoint suspectedAt_;
    TimePoint nextRecheck_ = TimePoint::max();
    /// The earlier of the two times above, as entered in the timer queue.
    TimePoint timer_ = TimePoint::max();
};

/// Returns whether a member takes part in gossip: it is not dead.
auto isLive(const MemberEntry& entry) -> bool;

auto noteOf(const Member& member) -> MemberNote;
auto recordOf(const MemberEntry& entry) -> MemberRecord;

/// All members other than the node itself. The digest covers the live ones; tombstones are left out,
/// since nodes forget them at different times.
class MemberStore {
public:
    explicit MemberStore(BucketDigest& digest)
        : digest_(digest)
    {
    }

    auto find(const NodeId& id) -> MemberEntry*;
    auto find(const NodeId& id) const -> const MemberEntry*;

    /// Stores the content of an entry, new or known, and keeps digest and counts right. Timers are
    /// taken over as they are in `entry`.
    auto put(MemberEntry entry) -> MemberEntry&;
    auto erase(const NodeId& id) -> void;

    /// Enters the next time of an entry into the timer queue. Call it after its times have changed.
    auto schedule(MemberEntry& entry) -> void;
    /// Removes and returns the id of an entry whose time has come, or nothing.
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
    auto account(const MemberEntry& entry, bool added) -> void;

    BucketDigest& digest_;
    std::map<NodeId, MemberEntry> entries_;
    /// Due times; entries whose time has changed since are skipped.
    std::set<std::pair<TimePoint, NodeId>> timers_;
    std::size_t liveCount_ = 0;
    std::uint64_t version_ = 0;
};

/// Returns the hash of a member's version that enters the digest.
auto versionHash(const Member& member) -> std::uint64_t;

} // namespace wagtailhead
