#include "member_store.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

namespace {

/// Spreads the incarnation over all bits of the seed, so that changes of incarnation and sequence do not
/// cancel out in the sum.
constexpr std::uint64_t hashMultiplier = 0x9e3779b97f4a7c15;

} // namespace

auto isLive(const MemberEntry& entry) -> bool
{
    return entry.member_.state_ != MemberState::Dead;
}

auto memberStatusOf(const Member& member) -> MemberStatus
{
    return { member.ref_, member.sequence_, member.state_ };
}

auto recordOf(const MemberEntry& entry) -> MemberRecord
{
    return { entry.member_, entry.departed_ };
}

auto versionHash(const Member& member) -> std::uint64_t
{
    return stableHash(member.ref_.id_, member.ref_.incarnation_ * hashMultiplier + member.sequence_);
}

auto MemberStore::find(const NodeId& id) -> MemberEntry*
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

auto MemberStore::find(const NodeId& id) const -> const MemberEntry*
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

auto MemberStore::put(MemberEntry entry) -> MemberEntry&
{
    entry.bucket_ = bucketOf(entry.member_.ref_.id_);
    auto [at, inserted] = entries_.try_emplace(entry.member_.ref_.id_);
    if (!inserted) {
        updateDigestAndCount(at->second, false);
        timers_.erase({ at->second.timer_, at->first });
    }
    at->second = std::move(entry);
    updateDigestAndCount(at->second, true);
    schedule(at->second);
    markChanged();
    return at->second;
}

auto MemberStore::erase(const NodeId& id) -> void
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    updateDigestAndCount(found->second, false);
    timers_.erase({ found->second.timer_, id });
    entries_.erase(found);
    markChanged();
}

auto MemberStore::schedule(MemberEntry& entry) -> void
{
    timers_.erase({ entry.timer_, entry.member_.ref_.id_ });
    entry.timer_ = std::min(entry.deadline_, entry.nextRecheck_);
    if (entry.timer_ != TimePoint::max()) {
        timers_.emplace(entry.timer_, entry.member_.ref_.id_);
    }
}

auto MemberStore::takeDue(TimePoint now) -> std::optional<NodeId>
{
    if (timers_.empty() || timers_.begin()->first > now) {
        return std::nullopt;
    }
    auto id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    return id;
}

auto MemberStore::nextTimer() const -> TimePoint
{
    return timers_.empty() ? TimePoint::max() : timers_.begin()->first;
}

auto MemberStore::updateDigestAndCount(const MemberEntry& entry, bool added) -> void
{
    if (!isLive(entry)) {
        return;
    }
    digest_.toggle(entry.bucket_, versionHash(entry.member_));
    added ? ++liveCount_ : --liveCount_;
}

} // namespace wagtailhead
