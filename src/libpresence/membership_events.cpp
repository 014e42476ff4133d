/// Spreading of events: what to tell, how often, and urgent pushes.
#include "membership_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailhead {

namespace {

/// How often news from anti-entropy are sent on by gossip.
constexpr int sendsAfterSync = 4;

} // namespace

auto MembershipProtocol::Core::sendLimit() const -> int
{
    return static_cast<int>(
        std::ceil(options_.retransmitFactor_ * std::log2(static_cast<double>(liveCount()) + 1.0)));
}

auto MembershipProtocol::Core::announceMember(const NodeId& id) -> void
{
    if (source_ != Source::Join) {
        const auto sends = source_ == Source::Sync ? std::max(0, sendLimit() - sendsAfterSync) : 0;
        events_.add({ EventSubject::Kind::Member, id }, sends);
    }
}

auto MembershipProtocol::Core::announceItem(const std::string& key) -> void
{
    if (source_ != Source::Join) {
        const auto sends = source_ == Source::Sync ? std::max(0, sendLimit() - sendsAfterSync) : 0;
        events_.add({ EventSubject::Kind::Item, key }, sends);
    }
}

auto MembershipProtocol::Core::fillEvents(GossipMessage& message) -> void
{
    using Verdict = BroadcastQueue::Verdict;
    // The smallest event; with less space left there is no point in looking further.
    constexpr std::size_t minEventBytes = 24;
    auto used = estimateBytes(message);
    const auto place = [&](std::size_t bytes) {
        if (used + bytes > options_.messageBudgetBytes_) {
            return false;
        }
        used += bytes;
        return true;
    };
    const auto addMember = [&](const NodeId& id) {
        const auto* entry = members_.find(id);
        if (!entry) {
            return Verdict::Obsolete;
        }
        const auto& member = entry->member_;
        const bool noteOnly = member.state_ == MemberState::Suspect || (!isLive(*entry) && !entry->departed_);
        if (noteOnly) {
            if (!place(estimateBytes(noteOf(member)))) {
                return Verdict::Skipped;
            }
            message.notes_.push_back(noteOf(member));
            return Verdict::Taken;
        }
        if (!place(estimateBytes(recordOf(*entry)))) {
            return Verdict::Skipped;
        }
        message.members_.push_back(recordOf(*entry));
        return Verdict::Taken;
    };
    const auto addItem = [&](const std::string& key) {
        const auto* entry = items_.find(key);
        if (!entry) {
            return Verdict::Obsolete;
        }
        const VersionedItem item { key, entry->generation_, entry->value_ };
        if (estimateBytes(item) <= options_.eagerItemBytes_) {
            if (!place(estimateBytes(item))) {
                return Verdict::Skipped;
            }
            message.items_.push_back(item);
            return Verdict::Taken;
        }
        const ItemNotice notice { key, entry->generation_ };
        if (!place(estimateBytes(notice))) {
            return Verdict::Skipped;
        }
        message.notices_.push_back(notice);
        return Verdict::Taken;
    };
    events_.offer(sendLimit(), [&](const EventSubject& subject) {
        if (used + minEventBytes > options_.messageBudgetBytes_) {
            return Verdict::Full;
        }
        return subject.kind_ == EventSubject::Kind::Member ? addMember(subject.name_)
                                                           : addItem(subject.name_);
    });
}

auto MembershipProtocol::Core::pushIfUrgent(TimePoint now) -> void
{
    if (!urgent_) {
        return;
    }
    const auto elapsed = std::chrono::duration<double>(now - pushTokensAt_).count();
    pushTokens_ = std::min(static_cast<double>(options_.pushBurstBytes_),
        pushTokens_ + elapsed * static_cast<double>(options_.pushBytesPerSecond_));
    pushTokensAt_ = now;
    if (pushTokens_ < 0) {
        return;
    }
    urgent_ = false;
    const auto fanout = static_cast<std::size_t>(options_.pushFanout_);
    for (const auto& id : sampler_.pick(members_, fanout, { urgentFrom_ }, random_)) {
        auto message = makeMessage(GossipKind::Push, members_.find(id)->member_.ref_);
        fillEvents(message);
        pushTokens_ -= static_cast<double>(estimateBytes(message));
        ++stats_.pushesSent_;
        Pending pending { Purpose::Push, addressOf(id), message.target_, 0, now, options_.syncTimeout_ };
        send(now, std::move(pending), std::move(message));
    }
}

auto MembershipProtocol::Core::accountSelf() -> void
{
    digest_.toggle(bucketOf(self_.member_.ref_.id_), versionHash(self_.member_));
}

/// Announces the changed record of this node under a new sequence. Precondition: the old record has been
/// taken out of the digest.
auto MembershipProtocol::Core::changeSelf(TimePoint now) -> void
{
    ++self_.member_.sequence_;
    if (!self_.departed_) {
        accountSelf();
    }
    members_.markChanged();
    urgentFrom_.clear();
    urgent_ = true;
    pushIfUrgent(now);
}

auto MembershipProtocol::Core::updateSelf(
    TimePoint now, bool backendUp, int slots, std::uint64_t readySinceMs) -> void
{
    noticeTime(now);
    auto& member = self_.member_;
    if (member.backendUp_ == backendUp && member.slots_ == slots && member.readySinceMs_ == readySinceMs) {
        return;
    }
    accountSelf();
    member.backendUp_ = backendUp;
    member.slots_ = slots;
    member.readySinceMs_ = readySinceMs;
    changeSelf(now);
}

auto MembershipProtocol::Core::leave(TimePoint now) -> void
{
    noticeTime(now);
    if (self_.member_.state_ != MemberState::Alive) {
        return;
    }
    accountSelf();
    self_.member_.state_ = MemberState::Leaving;
    changeSelf(now);
}

auto MembershipProtocol::Core::depart(TimePoint now) -> void
{
    noticeTime(now);
    if (self_.departed_) {
        return;
    }
    accountSelf();
    self_.member_.state_ = MemberState::Dead;
    self_.departed_ = true;
    changeSelf(now);
}

} // namespace wagtailhead
