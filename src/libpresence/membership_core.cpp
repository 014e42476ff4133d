#include "membership_core.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

namespace {

/// A requested value that has not arrived within this time is requested again when its key is next announced.
constexpr Duration valueRequestTimeout = seconds(1);

} // namespace

MembershipProtocol::Core::Core(Member self, MembershipOptions options, std::uint64_t seed, TimePoint now)
    : options_(options)
    , self_ { std::move(self), false }
    , random_(seed)
    , sampler_(self_.member_.region_, options.remoteRegionPeriod_)
    , lastCall_(now)
    , nextProbe_(now
          + std::uniform_int_distribution<Duration::rep>(0, options.probeInterval_.count())(random_)
              * Duration(1))
    , nextSync_(now + options.joinInterval_)
    , nextDial_(now)
    , syncBackoff_(options.joinInterval_)
    , pushTokens_(static_cast<double>(options.pushBurstBytes_))
    , pushTokensAt_(now)
{
    self_.member_.sequence_ = 1;
    self_.member_.state_ = MemberState::Alive;
    toggleSelfInDigest();
}

auto MembershipProtocol::Core::addPeers(TimePoint now, const std::vector<SeedAddress>& peers) -> void
{
    detectPause(now);
    rejoin_.addPeers(peers);
    if (members_.liveCount() == 0) {
        nextDial_ = now;
    }
}

auto MembershipProtocol::Core::addSeeds(TimePoint now, const std::vector<SeedAddress>& seeds) -> void
{
    detectPause(now);
    rejoin_.addSeeds(seeds);
    if (members_.liveCount() == 0) {
        nextDial_ = now;
    }
}

auto MembershipProtocol::Core::tick(TimePoint now) -> void
{
    detectPause(now);
    if (replacedBy_) {
        return;
    }
    runMemberTimers(now);
    runDial(now);
    runProbes(now);
    runSync(now);
    runNextStep(now);
    pushIfUrgent(now);
}

auto MembershipProtocol::Core::nextWake() const -> TimePoint
{
    if (replacedBy_) {
        return TimePoint::max();
    }
    auto wake = std::min({ nextProbe_, nextSync_, nextDial_, members_.nextTimer() });
    if (nextStep_) {
        wake = std::min(wake, nextStep_->at_);
    }
    if (urgentPushDue_) {
        const auto deficit = std::max(0.0, -pushTokens_) / static_cast<double>(options_.pushBytesPerSecond_);
        wake = std::min(wake,
            pushTokensAt_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(deficit))
                + milliseconds(1));
    }
    return wake;
}

auto MembershipProtocol::Core::onRequest(TimePoint now, std::uint64_t token, const GossipMessage& message)
    -> void
{
    detectPause(now);
    auto reply = makeMessage(GossipKind::Reply, message.sender_.member_.ref_);
    if (isStale(message)) {
        ++stats_.staleMessages_;
        sendReply(token, std::move(reply));
        return;
    }
    const bool sync = message.kind_ == GossipKind::SyncDigest || message.kind_ == GossipKind::SyncDelta;
    mergeMessage(now, message, sync ? UpdateSource::Sync : UpdateSource::Gossip);
    if (message.kind_ == GossipKind::IndirectProbe) {
        relayProbe(now, token, message);
        pushIfUrgent(now);
        return;
    }
    // Builds the reply again, because the message may have changed the status of the requester.
    reply = makeMessage(GossipKind::Reply, message.sender_.member_.ref_);
    requestAnnouncedItems(now, message.itemVersions_, reply);
    addRequestedRecords(message, reply);
    if (message.kind_ == GossipKind::SyncDigest) {
        describeBuckets(message, reply);
    } else if (message.kind_ != GossipKind::Push) {
        // The sender of a push accounts for its bytes; events in the reply would double the cost.
        fillEvents(reply);
    }
    sendReply(token, std::move(reply));
    pushIfUrgent(now);
}

auto MembershipProtocol::Core::onReply(TimePoint now, std::uint64_t requestId, const GossipMessage& message)
    -> void
{
    detectPause(now);
    const auto taken = outstandingRequests_.extract(requestId);
    if (taken.empty()) {
        return;
    }
    const auto& pending = taken.mapped();
    if (isStale(message)) {
        ++stats_.staleMessages_;
        onRequestFailed(now, pending);
        return;
    }
    const bool sync = pending.purpose_ == Purpose::Sync || pending.purpose_ == Purpose::SyncDelta;
    mergeMessage(now, message,
        !sync         ? UpdateSource::Gossip
            : joined_ ? UpdateSource::Sync
                      : UpdateSource::Join);
    const bool fromTarget = message.sender_.member_.ref_ == pending.target_;
    switch (pending.purpose_) {
    case Purpose::DirectProbe:
        fromTarget ? probeSucceeded(pending.reference_) : probeFailed(now, pending.reference_);
        break;
    case Purpose::IndirectProbe:
        message.reached_ ? probeSucceeded(pending.reference_) : probeFailed(now, pending.reference_);
        break;
    case Purpose::RelayedProbe:
        replyToRelayedProbe(pending, fromTarget);
        break;
    case Purpose::Sync:
        compareSummaries(now, pending, message);
        break;
    case Purpose::SyncDelta:
        if (message.more_ || pending.more_) {
            continueSync(now, pending.to_, pending.target_, pending.reference_ + 1);
        }
        break;
    case Purpose::Recheck:
    case Purpose::Push:
        break;
    }
    sendFollowUp(now, pending, message);
    pushIfUrgent(now);
}

auto MembershipProtocol::Core::onFailure(TimePoint now, std::uint64_t requestId) -> void
{
    detectPause(now);
    if (const auto taken = outstandingRequests_.extract(requestId); !taken.empty()) {
        onRequestFailed(now, taken.mapped());
        pushIfUrgent(now);
    }
}

auto MembershipProtocol::Core::onRequestFailed(TimePoint now, const OutstandingRequest& pending) -> void
{
    switch (pending.purpose_) {
    case Purpose::DirectProbe:
    case Purpose::IndirectProbe:
        // A late failure report indicates a pause of this process rather than a fault of the target.
        if (now - pending.sentAt_ <= pending.timeout_ + options_.pauseThreshold_) {
            probeFailed(now, pending.reference_);
        } else {
            probes_.erase(pending.reference_);
        }
        break;
    case Purpose::RelayedProbe:
        replyToRelayedProbe(pending, false);
        break;
    case Purpose::Recheck:
    case Purpose::Push:
    case Purpose::Sync:
    case Purpose::SyncDelta:
        break;
    }
}

auto MembershipProtocol::Core::sendFollowUp(
    TimePoint now, const OutstandingRequest& pending, const GossipMessage& message) -> void
{
    GossipMessage content;
    addRequestedRecords(message, content);
    requestAnnouncedItems(now, message.itemVersions_, content);
    if (content.items_.empty() && content.members_.empty() && content.wantedItems_.empty()) {
        return;
    }
    auto push = makeMessage(GossipKind::Push, message.sender_.member_.ref_);
    push.items_ = std::move(content.items_);
    push.members_.insert(push.members_.end(), content.members_.begin(), content.members_.end());
    push.wantedItems_ = std::move(content.wantedItems_);
    OutstandingRequest next { Purpose::Push, pending.to_, push.target_, 0, now, options_.syncTimeout_ };
    send(now, std::move(next), std::move(push));
}

auto MembershipProtocol::Core::publish(TimePoint now, const VersionedItem& item) -> bool
{
    detectPause(now);
    if (!items_.apply(item)) {
        return false;
    }
    updateSource_ = UpdateSource::Gossip;
    announceItem(item.key_);
    urgentUpdateSender_.clear();
    urgentPushDue_ = true;
    pushIfUrgent(now);
    return true;
}

auto MembershipProtocol::Core::detectPause(TimePoint now) -> void
{
    const auto gap = now - lastCall_;
    lastCall_ = std::max(lastCall_, now);
    if (gap <= options_.probeInterval_ + options_.pauseThreshold_) {
        return;
    }
    // This process was paused. Results of earlier probes are meaningless, and no refutation could reach
    // this node, so pending probes are discarded and suspicion timeouts start again.
    ++stats_.pausesDetected_;
    probes_.clear();
    restartSuspicionTimeouts(now);
    nextProbe_ = now + options_.probeInterval_;
}

auto MembershipProtocol::Core::makeMessage(GossipKind kind, NodeRef target) const -> GossipMessage
{
    GossipMessage message;
    message.kind_ = kind;
    message.sender_ = self_;
    const auto* entry = members_.find(target.id_);
    if (entry && entry->member_.ref_ == target
        && (entry->member_.state_ == MemberState::Suspect || !isLive(*entry))) {
        message.statuses_.push_back(memberStatusOf(entry->member_));
    } else if (entry && entry->member_.ref_.incarnation_ > target.incarnation_) {
        // Informs a replaced process that a later incarnation uses its id.
        message.members_.push_back(recordOf(*entry));
    }
    if (kind != GossipKind::Reply) {
        message.target_ = std::move(target);
    }
    return message;
}

auto MembershipProtocol::Core::send(TimePoint now, OutstandingRequest pending, GossipMessage message) -> void
{
    pending.sentAt_ = now;
    const auto id = nextId_++;
    output_.requests_.push_back({ id, pending.to_, std::move(message), pending.timeout_ });
    outstandingRequests_.emplace(id, std::move(pending));
}

auto MembershipProtocol::Core::sendReply(std::uint64_t token, GossipMessage message) -> void
{
    output_.replies_.push_back({ token, std::move(message) });
}

auto MembershipProtocol::Core::isStale(const GossipMessage& message) const -> bool
{
    const auto& ref = message.sender_.member_.ref_;
    if (ref.id_ == self_.member_.ref_.id_) {
        return ref.incarnation_ < self_.member_.ref_.incarnation_;
    }
    const auto* entry = members_.find(ref.id_);
    return entry && entry->member_.ref_.incarnation_ > ref.incarnation_;
}

auto MembershipProtocol::Core::mergeMessage(TimePoint now, const GossipMessage& message, UpdateSource source)
    -> void
{
    if (!urgentPushDue_) {
        urgentUpdateSender_ = message.sender_.member_.ref_.id_;
    }
    updateSource_ = UpdateSource::Gossip;
    applyRecord(now, message.sender_);
    updateSource_ = source;
    for (const auto& record : message.members_) {
        applyRecord(now, record);
    }
    for (const auto& status : message.statuses_) {
        applyStatus(now, status);
    }
    for (const auto& item : message.items_) {
        itemRequests_.erase(item.key_);
        if (items_.apply(item)) {
            ++stats_.itemsReceived_;
            announceItem(item.key_);
            output_.items_.push_back(item);
            urgentPushDue_ = urgentPushDue_ || source != UpdateSource::Join;
        }
    }
}

auto MembershipProtocol::Core::addRequestedRecords(const GossipMessage& message, GossipMessage& reply) const
    -> void
{
    std::size_t bytes = 0;
    const auto fits = [&](std::size_t size) {
        const bool fitting = bytes == 0 || bytes + size <= options_.bulkBudgetBytes_;
        bytes += fitting ? size : 0;
        reply.more_ = reply.more_ || !fitting;
        return fitting;
    };
    for (const auto& key : message.wantedItems_) {
        const auto* entry = items_.find(key);
        if (entry && fits(key.size() + entry->value_.size())) {
            reply.items_.push_back({ key, entry->generation_, entry->value_ });
        }
    }
    for (const auto& id : message.wantedMembers_) {
        const auto* entry = members_.find(id);
        if (entry && fits(estimateBytes(recordOf(*entry)))) {
            reply.members_.push_back(recordOf(*entry));
        }
    }
}

auto MembershipProtocol::Core::requestAnnouncedItems(
    TimePoint now, const std::vector<ItemVersion>& itemVersions, GossipMessage& message) -> void
{
    for (const auto& itemVersion : itemVersions) {
        if (itemVersion.generation_ <= items_.generation(itemVersion.key_)) {
            continue;
        }
        auto& itemRequest = itemRequests_[itemVersion.key_];
        if (itemRequest.generation_ >= itemVersion.generation_ && itemRequest.expires_ > now) {
            continue;
        }
        itemRequest = { itemVersion.generation_, now + valueRequestTimeout };
        message.wantedItems_.push_back(itemVersion.key_);
    }
}

auto MembershipProtocol::Core::addressOf(const NodeId& id) const -> SeedAddress
{
    const auto* entry = members_.find(id);
    return entry ? SeedAddress { entry->member_.gossip_, entry->member_.zone_ } : SeedAddress {};
}

auto MembershipProtocol::Core::isLiveAddress(const SeedAddress& address) const -> bool
{
    // Zones behind address translation may announce the same address, so the zone is compared if it is set.
    const auto matches = [&](const Member& member) {
        return member.gossip_ == address.address_ && (address.zone_.empty() || member.zone_ == address.zone_);
    };
    return matches(self_.member_)
        || std::any_of(members_.entries().begin(), members_.entries().end(), [&](const auto& item) {
               return isLive(item.second) && matches(item.second.member_);
           });
}

auto MembershipProtocol::Core::liveCount() const -> std::size_t
{
    const bool selfLive = self_.member_.state_ != MemberState::Dead;
    return members_.liveCount() + (selfLive ? 1 : 0);
}

} // namespace wagtailhead
