/// Dissemination of events: content of messages, number of transmissions, and urgent pushes.
#include "membership_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailhead {

namespace {

/// Number of times that an update received by anti-entropy is sent on by gossip.
constexpr int sendsAfterSync = 4;

} // namespace

auto MembershipProtocol::Core::sendLimit() const -> int
{
    return static_cast<int>(
        std::ceil(options_.retransmitFactor_ * std::log2(static_cast<double>(liveCount()) + 1.0)));
}

auto MembershipProtocol::Core::announceMember(const NodeId& id) -> void
{
    if (updateSource_ != UpdateSource::Join) {
        const auto sends
            = updateSource_ == UpdateSource::Sync ? std::max(0, sendLimit() - sendsAfterSync) : 0;
        events_.add({ EventSubject::Kind::Member, id }, sends);
    }
}

auto MembershipProtocol::Core::announceItem(const std::string& key) -> void
{
    if (updateSource_ != UpdateSource::Join) {
        const auto sends
            = updateSource_ == UpdateSource::Sync ? std::max(0, sendLimit() - sendsAfterSync) : 0;
        events_.add({ EventSubject::Kind::Item, key }, sends);
    }
}

auto MembershipProtocol::Core::fillEvents(GossipMessage& message) -> void
{
    using OfferResult = BroadcastQueue::OfferResult;
    // Size of the smallest event; with less space left no event fits.
    constexpr std::size_t minEventBytes = 24;
    auto used = estimateBytes(message);
    const auto reserve = [&](std::size_t bytes) {
        if (used + bytes > options_.messageBudgetBytes_) {
            return false;
        }
        used += bytes;
        return true;
    };
    const auto addMember = [&](const NodeId& id) {
        const auto* entry = members_.find(id);
        if (!entry) {
            return OfferResult::Obsolete;
        }
        const auto& member = entry->member_;
        const bool statusOnly
            = member.state_ == MemberState::Suspect || (!isLive(*entry) && !entry->departed_);
        if (statusOnly) {
            if (!reserve(estimateBytes(memberStatusOf(member)))) {
                return OfferResult::Skipped;
            }
            message.statuses_.push_back(memberStatusOf(member));
            return OfferResult::Taken;
        }
        if (!reserve(estimateBytes(recordOf(*entry)))) {
            return OfferResult::Skipped;
        }
        message.members_.push_back(recordOf(*entry));
        return OfferResult::Taken;
    };
    const auto addItem = [&](const std::string& key) {
        const auto* entry = items_.find(key);
        if (!entry) {
            return OfferResult::Obsolete;
        }
        const VersionedItem item { key, entry->generation_, entry->value_ };
        if (estimateBytes(item) <= options_.eagerItemBytes_) {
            if (!reserve(estimateBytes(item))) {
                return OfferResult::Skipped;
            }
            message.items_.push_back(item);
            return OfferResult::Taken;
        }
        const ItemVersion itemVersion { key, entry->generation_ };
        if (!reserve(estimateBytes(itemVersion))) {
            return OfferResult::Skipped;
        }
        message.itemVersions_.push_back(itemVersion);
        return OfferResult::Taken;
    };
    events_.offer(sendLimit(), [&](const EventSubject& subject) {
        if (used + minEventBytes > options_.messageBudgetBytes_) {
            return OfferResult::Full;
        }
        return subject.kind_ == EventSubject::Kind::Member ? addMember(subject.name_)
                                                           : addItem(subject.name_);
    });
}

auto MembershipProtocol::Core::pushIfUrgent(TimePoint now) -> void
{
    if (!urgentPushDue_) {
        return;
    }
    const auto elapsed = std::chrono::duration<double>(now - pushTokensAt_).count();
    pushTokens_ = std::min(static_cast<double>(options_.pushBurstBytes_),
        pushTokens_ + elapsed * static_cast<double>(options_.pushBytesPerSecond_));
    pushTokensAt_ = now;
    if (pushTokens_ < 0) {
        return;
    }
    urgentPushDue_ = false;
    const auto fanout = static_cast<std::size_t>(options_.pushFanout_);
    for (const auto& id : sampler_.pick(members_, fanout, { urgentUpdateSender_ }, random_)) {
        auto message = makeMessage(GossipKind::Push, members_.find(id)->member_.ref_);
        fillEvents(message);
        pushTokens_ -= static_cast<double>(estimateBytes(message));
        ++stats_.pushesSent_;
        OutstandingRequest pending { Purpose::Push, addressOf(id), message.target_, 0, now,
            options_.syncTimeout_ };
        send(now, std::move(pending), std::move(message));
    }
}

auto MembershipProtocol::Core::toggleSelfInDigest() -> void
{
    digest_.toggle(bucketOf(self_.member_.ref_.id_), versionHash(self_.member_));
}

/// Announces the changed record of this node under a new sequence. Precondition: the old record has been
/// removed from the digest.
auto MembershipProtocol::Core::announceSelfChange(TimePoint now) -> void
{
    ++self_.member_.sequence_;
    if (!self_.departed_) {
        toggleSelfInDigest();
    }
    members_.markChanged();
    urgentUpdateSender_.clear();
    urgentPushDue_ = true;
    pushIfUrgent(now);
}

auto MembershipProtocol::Core::updateSelf(
    TimePoint now, bool backendUp, int slots, std::uint64_t readySinceMs) -> void
{
    detectPause(now);
    auto& member = self_.member_;
    if (member.backendUp_ == backendUp && member.slots_ == slots && member.readySinceMs_ == readySinceMs) {
        return;
    }
    toggleSelfInDigest();
    member.backendUp_ = backendUp;
    member.slots_ = slots;
    member.readySinceMs_ = readySinceMs;
    announceSelfChange(now);
}

auto MembershipProtocol::Core::leave(TimePoint now) -> void
{
    detectPause(now);
    if (self_.member_.state_ != MemberState::Alive) {
        return;
    }
    toggleSelfInDigest();
    self_.member_.state_ = MemberState::Leaving;
    announceSelfChange(now);
}

auto MembershipProtocol::Core::depart(TimePoint now) -> void
{
    detectPause(now);
    if (self_.departed_) {
        return;
    }
    toggleSelfInDigest();
    self_.member_.state_ = MemberState::Dead;
    self_.departed_ = true;
    announceSelfChange(now);
}

} // namespace wagtailhead
