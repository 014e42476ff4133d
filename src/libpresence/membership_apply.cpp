/// Rules for updates about members: precedence of records, suspicion, refutation and death.
#include "membership_core.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

auto MembershipProtocol::Core::applyRecord(TimePoint now, const MemberRecord& record) -> void
{
    const auto& member = record.member_;
    if (member.ref_.id_ == self_.member_.ref_.id_) {
        applyStatusOfSelf(now, memberStatusOf(member));
        return;
    }
    auto* entry = members_.find(member.ref_.id_);
    if (!entry) {
        // A tombstone of a member that is not in the table is not needed, and nodes that passed it on would
        // keep it alive forever.
        if (member.state_ != MemberState::Dead) {
            storeRecord(now, record);
        }
        return;
    }
    const auto storedVersion = std::pair(entry->member_.ref_.incarnation_, entry->member_.sequence_);
    const auto receivedVersion = std::pair(member.ref_.incarnation_, member.sequence_);
    if (receivedVersion > storedVersion) {
        storeRecord(now, record);
    } else if (receivedVersion == storedVersion) {
        applyState(now, *entry, member.state_);
    }
}

auto MembershipProtocol::Core::applyStatus(TimePoint now, const MemberStatus& status) -> void
{
    if (status.ref_.id_ == self_.member_.ref_.id_) {
        applyStatusOfSelf(now, status);
        return;
    }
    auto* entry = members_.find(status.ref_.id_);
    if (!entry || entry->member_.ref_ != status.ref_ || status.sequence_ < entry->member_.sequence_) {
        return;
    }
    if (status.sequence_ == entry->member_.sequence_) {
        applyState(now, *entry, status.state_);
    } else if (status.state_ == MemberState::Dead) {
        // This node does not have the record of the later sequence, but applying a death does not need it.
        if (entry->member_.state_ == MemberState::Alive) {
            scheduleDeathVerification(status);
        } else {
            applyState(now, *entry, status.state_);
        }
    }
}

auto MembershipProtocol::Core::applyStatusOfSelf(TimePoint now, const MemberStatus& status) -> void
{
    auto& self = self_.member_;
    if (status.ref_.incarnation_ > self.ref_.incarnation_) {
        replacedBy_ = std::max(replacedBy_.value_or(0), status.ref_.incarnation_);
        return;
    }
    if (status.ref_.incarnation_ < self.ref_.incarnation_ || self_.departed_
        || status.sequence_ < self.sequence_) {
        return;
    }
    const bool wrong = status.state_ == MemberState::Suspect || status.state_ == MemberState::Dead;
    if (wrong || status.sequence_ > self.sequence_) {
        ++stats_.refutations_;
        toggleSelfInDigest();
        self.sequence_ = status.sequence_;
        announceSelfChange(now);
    }
}

auto MembershipProtocol::Core::applyState(TimePoint now, MemberEntry& entry, MemberState state) -> void
{
    const auto storedState = entry.member_.state_;
    if (state == MemberState::Suspect && storedState == MemberState::Alive) {
        suspect(now, entry, false);
    } else if (state == MemberState::Dead && storedState == MemberState::Alive) {
        // This node received no suspicion before the death, for example because of a partition, so it could
        // not receive a refutation either. The member is probed first.
        scheduleDeathVerification({ entry.member_.ref_, entry.member_.sequence_, state });
    } else if (state == MemberState::Dead && storedState != MemberState::Dead) {
        declareDead(now, entry);
    }
}

auto MembershipProtocol::Core::storeRecord(TimePoint now, const MemberRecord& record) -> void
{
    const auto* existing = members_.find(record.member_.ref_.id_);
    const bool wasLive = existing && isLive(*existing);
    const bool sameIncarnation = existing && existing->member_.ref_ == record.member_.ref_;
    auto state = record.member_.state_;
    if (state == MemberState::Dead && !record.departed_ && sameIncarnation
        && existing->member_.state_ == MemberState::Alive) {
        state = MemberState::Suspect;
    }
    MemberEntry entry;
    entry.member_ = record.member_;
    entry.member_.state_ = state;
    entry.departed_ = record.departed_;
    if (state == MemberState::Suspect) {
        entry.suspectedAt_ = now;
        entry.deadline_ = now + options_.suspicionTimeout_ * options_.remoteSuspicionFactor_;
    } else if (state == MemberState::Dead) {
        entry.deadline_ = now + options_.tombstoneLifetime_;
    }
    const auto& stored = members_.put(std::move(entry));
    const auto& id = stored.member_.ref_.id_;
    reportedDeaths_.erase(id);
    if (!wasLive && isLive(stored)) {
        sampler_.add(stored.member_, random_);
    }
    announceMember(id);
    urgentPushDue_
        = urgentPushDue_ || (existing && state != MemberState::Alive && updateSource_ != UpdateSource::Join);
}

auto MembershipProtocol::Core::suspect(TimePoint now, MemberEntry& entry, bool locallyDetected) -> void
{
    // A leaving member never becomes Suspect, because routing would send new calls to it again. Only the
    // node whose own probe failed starts the suspicion timeout.
    if (entry.member_.state_ == MemberState::Alive) {
        ++stats_.suspicions_;
        entry.member_.state_ = MemberState::Suspect;
        entry.suspectedAt_ = now;
        entry.deadline_ = now + options_.suspicionTimeout_ * options_.remoteSuspicionFactor_;
        reportedDeaths_.erase(entry.member_.ref_.id_);
        members_.markChanged();
        announceMember(entry.member_.ref_.id_);
    }
    if (locallyDetected && !entry.locallyDetected_) {
        if (entry.member_.state_ == MemberState::Leaving) {
            entry.suspectedAt_ = now;
        }
        entry.locallyDetected_ = true;
        entry.deadline_ = std::max(now, entry.suspectedAt_ + options_.suspicionTimeout_);
        entry.nextRecheck_ = now + options_.suspicionTimeout_ / 3;
    }
    members_.schedule(entry);
}

auto MembershipProtocol::Core::declareDead(TimePoint now, MemberEntry& entry) -> void
{
    ++stats_.deaths_;
    auto dead = entry;
    dead.member_.state_ = MemberState::Dead;
    dead.locallyDetected_ = false;
    dead.deadline_ = now + options_.tombstoneLifetime_;
    dead.nextRecheck_ = TimePoint::max();
    const auto& stored = members_.put(std::move(dead));
    rejoin_.addUnreachable(
        { stored.member_.gossip_, stored.member_.zone_ }, now + options_.rejoinAddressLifetime_, random_);
    reportedDeaths_.erase(stored.member_.ref_.id_);
    announceMember(stored.member_.ref_.id_);
    urgentPushDue_ = urgentPushDue_ || updateSource_ != UpdateSource::Join;
}

auto MembershipProtocol::Core::scheduleDeathVerification(const MemberStatus& status) -> void
{
    reportedDeaths_.insert_or_assign(status.ref_.id_, status);
}

auto MembershipProtocol::Core::restartSuspicionTimeouts(TimePoint now) -> void
{
    std::vector<NodeId> suspects;
    for (const auto& [id, entry] : members_.entries()) {
        if (isLive(entry) && entry.deadline_ != TimePoint::max()) {
            suspects.push_back(id);
        }
    }
    for (const auto& id : suspects) {
        auto& entry = *members_.find(id);
        const auto wait
            = options_.suspicionTimeout_ * (entry.locallyDetected_ ? 1 : options_.remoteSuspicionFactor_);
        entry.suspectedAt_ = now;
        entry.deadline_ = now + wait;
        members_.schedule(entry);
    }
}

auto MembershipProtocol::Core::runMemberTimers(TimePoint now) -> void
{
    while (const auto id = members_.takeDue(now)) {
        auto& entry = *members_.find(*id);
        if (!isLive(entry)) {
            members_.erase(*id);
        } else if (entry.deadline_ <= now) {
            updateSource_ = UpdateSource::Gossip;
            declareDead(now, entry);
        } else {
            recheck(now, entry);
            entry.nextRecheck_ = now + options_.suspicionTimeout_ / 3;
            members_.schedule(entry);
        }
    }
}

} // namespace wagtailhead
