/// Rules for news about members: which record replaces which, suspicion, refutation and death.
#include "membership_core.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

auto MembershipProtocol::Core::applyRecord(TimePoint now, const MemberRecord& record) -> void
{
    const auto& member = record.member_;
    if (member.ref_.id_ == self_.member_.ref_.id_) {
        applyRumorAboutSelf(now, noteOf(member));
        return;
    }
    auto* entry = members_.find(member.ref_.id_);
    if (!entry) {
        // A tombstone of an unknown member is of no use, and would live for ever if it were passed on.
        if (member.state_ != MemberState::Dead) {
            adopt(now, record);
        }
        return;
    }
    const auto known = std::pair(entry->member_.ref_.incarnation_, entry->member_.sequence_);
    const auto told = std::pair(member.ref_.incarnation_, member.sequence_);
    if (told > known) {
        adopt(now, record);
    } else if (told == known) {
        applyState(now, *entry, member.state_);
    }
}

auto MembershipProtocol::Core::applyNote(TimePoint now, const MemberNote& note) -> void
{
    if (note.ref_.id_ == self_.member_.ref_.id_) {
        applyRumorAboutSelf(now, note);
        return;
    }
    auto* entry = members_.find(note.ref_.id_);
    if (!entry || entry->member_.ref_ != note.ref_ || note.sequence_ < entry->member_.sequence_) {
        return;
    }
    if (note.sequence_ == entry->member_.sequence_) {
        applyState(now, *entry, note.state_);
    } else if (note.state_ == MemberState::Dead) {
        // The content of the later sequence is unknown here, but a death needs none.
        if (entry->member_.state_ == MemberState::Alive) {
            verifyRumor(note);
        } else {
            applyState(now, *entry, note.state_);
        }
    }
}

auto MembershipProtocol::Core::applyRumorAboutSelf(TimePoint now, const MemberNote& note) -> void
{
    auto& self = self_.member_;
    if (note.ref_.incarnation_ > self.ref_.incarnation_) {
        replacedBy_ = std::max(replacedBy_.value_or(0), note.ref_.incarnation_);
        return;
    }
    if (note.ref_.incarnation_ < self.ref_.incarnation_ || self_.departed_
        || note.sequence_ < self.sequence_) {
        return;
    }
    const bool wrong = note.state_ == MemberState::Suspect || note.state_ == MemberState::Dead;
    if (wrong || note.sequence_ > self.sequence_) {
        ++stats_.refutations_;
        accountSelf();
        self.sequence_ = note.sequence_;
        changeSelf(now);
    }
}

auto MembershipProtocol::Core::applyState(TimePoint now, MemberEntry& entry, MemberState state) -> void
{
    const auto known = entry.member_.state_;
    if (state == MemberState::Suspect && known == MemberState::Alive) {
        suspect(now, entry, false);
    } else if (state == MemberState::Dead && known == MemberState::Alive) {
        // Nobody gave this node the chance to hear a refutation, as after a partition. The member is
        // asked first.
        verifyRumor({ entry.member_.ref_, entry.member_.sequence_, state });
    } else if (state == MemberState::Dead && known != MemberState::Dead) {
        declareDead(now, entry);
    }
}

auto MembershipProtocol::Core::adopt(TimePoint now, const MemberRecord& record) -> void
{
    const auto* known = members_.find(record.member_.ref_.id_);
    const bool wasLive = known && isLive(*known);
    const bool sameRun = known && known->member_.ref_ == record.member_.ref_;
    auto state = record.member_.state_;
    if (state == MemberState::Dead && !record.departed_ && sameRun
        && known->member_.state_ == MemberState::Alive) {
        state = MemberState::Suspect;
    }
    MemberEntry entry;
    entry.member_ = record.member_;
    entry.member_.state_ = state;
    entry.departed_ = record.departed_;
    if (state == MemberState::Suspect) {
        entry.suspectedAt_ = now;
        entry.deadline_ = now + options_.suspicionTimeout_ * options_.hearsayFactor_;
    } else if (state == MemberState::Dead) {
        entry.deadline_ = now + options_.tombstoneLife_;
    }
    const auto& stored = members_.put(std::move(entry));
    const auto& id = stored.member_.ref_.id_;
    rumors_.erase(id);
    if (!wasLive && isLive(stored)) {
        sampler_.add(stored.member_, random_);
    }
    announceMember(id);
    urgent_ = urgent_ || (known && state != MemberState::Alive && source_ != Source::Join);
}

auto MembershipProtocol::Core::suspect(TimePoint now, MemberEntry& entry, bool accuser) -> void
{
    // A leaving member is never shown as suspect, because that would bring new calls to it again; the
    // accuser alone waits for its death.
    if (entry.member_.state_ == MemberState::Alive) {
        ++stats_.suspicions_;
        entry.member_.state_ = MemberState::Suspect;
        entry.suspectedAt_ = now;
        entry.deadline_ = now + options_.suspicionTimeout_ * options_.hearsayFactor_;
        rumors_.erase(entry.member_.ref_.id_);
        members_.markChanged();
        announceMember(entry.member_.ref_.id_);
    }
    if (accuser && !entry.accuser_) {
        if (entry.member_.state_ == MemberState::Leaving) {
            entry.suspectedAt_ = now;
        }
        entry.accuser_ = true;
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
    dead.accuser_ = false;
    dead.deadline_ = now + options_.tombstoneLife_;
    dead.nextRecheck_ = TimePoint::max();
    const auto& stored = members_.put(std::move(dead));
    rejoin_.addVanished({ stored.member_.gossip_, stored.member_.zone_ }, now + options_.dialLife_, random_);
    rumors_.erase(stored.member_.ref_.id_);
    announceMember(stored.member_.ref_.id_);
    urgent_ = urgent_ || source_ != Source::Join;
}

auto MembershipProtocol::Core::verifyRumor(const MemberNote& note) -> void
{
    rumors_.insert_or_assign(note.ref_.id_, note);
}

auto MembershipProtocol::Core::prolongSuspicions(TimePoint now) -> void
{
    std::vector<NodeId> suspects;
    for (const auto& [id, entry] : members_.entries()) {
        if (isLive(entry) && entry.deadline_ != TimePoint::max()) {
            suspects.push_back(id);
        }
    }
    for (const auto& id : suspects) {
        auto& entry = *members_.find(id);
        const auto wait = options_.suspicionTimeout_ * (entry.accuser_ ? 1 : options_.hearsayFactor_);
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
            source_ = Source::Gossip;
            declareDead(now, entry);
        } else {
            recheck(now, entry);
            entry.nextRecheck_ = now + options_.suspicionTimeout_ / 3;
            members_.schedule(entry);
        }
    }
}

} // namespace wagtailhead
