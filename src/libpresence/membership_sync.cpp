/// Anti-entropy and joining: nodes exchange bucket hashes, then the records of buckets that differ.
#include "membership_core.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

namespace {

/// Limits the number of exchanges in one synchronisation with one member.
constexpr std::uint64_t maxSyncSteps = 64;

/// Number of addresses that each attempt to join contacts.
constexpr int joinFanout = 2;

auto bucketSet(const std::vector<std::uint64_t>& buckets) -> std::array<bool, bucketCount>
{
    std::array<bool, bucketCount> set {};
    for (const auto bucket : buckets) {
        if (bucket < bucketCount) {
            set.at(bucket) = true;
        }
    }
    return set;
}

auto versionOf(const MemberStatus& status) -> std::pair<Incarnation, std::uint64_t>
{
    return { status.ref_.incarnation_, status.sequence_ };
}

} // namespace

auto MembershipProtocol::Core::runSync(TimePoint now) -> void
{
    if (now < nextSync_) {
        return;
    }
    // The first rounds follow each other quickly, since the first peer may have held few records itself.
    const auto jitter = std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    nextSync_ = now + std::chrono::duration_cast<Duration>(syncBackoff_ * jitter);
    if (members_.liveCount() == 0) {
        joined_ = false;
        syncBackoff_ = options_.joinInterval_;
        return;
    }
    syncBackoff_ = std::min(options_.syncInterval_, syncBackoff_ * 2);
    if (self_.departed_) {
        return;
    }
    if (const auto id = sampler_.pickOne(members_, random_)) {
        startSync(now, addressOf(*id), members_.find(*id)->member_.ref_, 0);
    }
}

auto MembershipProtocol::Core::runDial(TimePoint now) -> void
{
    if (now < nextDial_) {
        return;
    }
    const bool isolated = members_.liveCount() == 0;
    const Duration groupInterval = seconds(1) * static_cast<int>(liveCount()) / options_.groupDialsPerSecond_;
    const auto jitter = std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    const auto interval = std::max(options_.dialInterval_, groupInterval) * jitter;
    nextDial_ = now + (isolated ? options_.joinInterval_ : std::chrono::duration_cast<Duration>(interval));
    if (self_.departed_) {
        return;
    }
    std::optional<SeedAddress> previous;
    for (int i = 0; i < (isolated ? joinFanout : 1); ++i) {
        const auto isExcluded = [&](const SeedAddress& address) {
            return previous == address || isLiveAddress(address);
        };
        const auto address = rejoin_.pick(now, isExcluded, random_);
        if (!address) {
            return;
        }
        ++stats_.dialsSent_;
        previous = address;
        startSync(now, *address, {}, 0);
    }
}

auto MembershipProtocol::Core::startSync(TimePoint now, SeedAddress to, NodeRef target, std::uint64_t step)
    -> void
{
    if (step >= maxSyncSteps) {
        return;
    }
    ++stats_.syncsSent_;
    auto message = makeMessage(GossipKind::SyncDigest, target);
    message.digest_ = digest_.hashes();
    send(now, { Purpose::Sync, std::move(to), std::move(target), step, now, options_.syncTimeout_ },
        std::move(message));
}

auto MembershipProtocol::Core::continueSync(TimePoint now, SeedAddress to, NodeRef target, std::uint64_t step)
    -> void
{
    const auto pause = joined_ ? options_.repairInterval_ : Duration::zero();
    nextStep_ = NextStep { std::move(to), std::move(target), step, now + pause };
    runNextStep(now);
}

auto MembershipProtocol::Core::runNextStep(TimePoint now) -> void
{
    if (nextStep_ && nextStep_->at_ <= now) {
        auto step = std::move(*nextStep_);
        nextStep_.reset();
        startSync(now, std::move(step.to_), std::move(step.target_), step.step_);
    }
}

auto MembershipProtocol::Core::describeBuckets(const GossipMessage& request, GossipMessage& reply) -> void
{
    if (request.digest_.size() != bucketCount) {
        return;
    }
    const auto differing = bucketSet(digest_.differing(request.digest_));
    const auto isEmptyAtRequester = [&](BucketIndex bucket) {
        return request.digest_[bucket] == 0;
    };
    // Groups the records by bucket first, because complete buckets are added until the budget is used.
    std::array<std::vector<const MemberEntry*>, bucketCount> members;
    for (const auto& [id, entry] : members_.entries()) {
        if (differing.at(entry.bucket_) && id != request.sender_.member_.ref_.id_) {
            members.at(entry.bucket_).push_back(&entry);
        }
    }
    std::array<std::vector<std::pair<const std::string*, const ItemEntry*>>, bucketCount> items;
    for (const auto& [key, entry] : items_.entries()) {
        if (differing.at(entry.bucket_)) {
            items.at(entry.bucket_).emplace_back(&key, &entry);
        }
    }
    const auto empty = std::count(request.digest_.begin(), request.digest_.end(), 0U);
    const bool joining = empty > static_cast<std::ptrdiff_t>(bucketCount / 2);
    const auto budget = joining ? options_.bulkBudgetBytes_ : options_.repairBudgetBytes_;
    // Starts at a random bucket, so that buckets that always differ do not starve the others.
    const auto start = std::uniform_int_distribution<std::size_t>(0, bucketCount - 1)(random_);
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        const auto bucket = (start + i) % bucketCount;
        if (!differing.at(bucket)) {
            continue;
        }
        if (bytes > budget) {
            reply.more_ = true;
            break;
        }
        const bool sendFullRecords = isEmptyAtRequester(static_cast<BucketIndex>(bucket));
        if (!sendFullRecords) {
            reply.differing_.push_back(bucket);
        }
        for (const auto* entry : members.at(bucket)) {
            if (!sendFullRecords) {
                reply.memberSummary_.push_back(memberStatusOf(entry->member_));
                bytes += estimateBytes(reply.memberSummary_.back());
            } else if (isLive(*entry)) {
                reply.members_.push_back(recordOf(*entry));
                bytes += estimateBytes(reply.members_.back());
            }
        }
        for (const auto& [key, entry] : items.at(bucket)) {
            if (!sendFullRecords || bytes > budget) {
                reply.itemSummary_.push_back({ *key, entry->generation_ });
                bytes += estimateBytes(reply.itemSummary_.back());
            } else {
                reply.items_.push_back({ *key, entry->generation_, entry->value_ });
                bytes += estimateBytes(reply.items_.back());
            }
        }
    }
}

auto MembershipProtocol::Core::compareSummaries(
    TimePoint now, const OutstandingRequest& pending, const GossipMessage& message) -> void
{
    auto delta = makeMessage(GossipKind::SyncDelta, message.sender_.member_.ref_);
    const auto statusesBefore = delta.statuses_.size();
    const auto summarised = bucketSet(message.differing_);
    std::map<NodeId, MemberStatus> remoteMembers;
    for (const auto& status : message.memberSummary_) {
        remoteMembers.emplace(status.ref_.id_, status);
        const auto* entry = members_.find(status.ref_.id_);
        const bool missing = !entry && status.state_ != MemberState::Dead;
        if (status.ref_.id_ == self_.member_.ref_.id_) {
            applyStatusOfSelf(now, status);
        } else if (missing || (entry && versionOf(status) > versionOf(memberStatusOf(entry->member_)))) {
            delta.wantedMembers_.push_back(status.ref_.id_);
        } else if (entry) {
            applyStatus(now, status);
        }
    }
    std::size_t bytes = 0;
    bool truncated = false;
    for (const auto& [id, entry] : members_.entries()) {
        if (!summarised.at(entry.bucket_) || id == message.sender_.member_.ref_.id_) {
            continue;
        }
        const auto remote = remoteMembers.find(id);
        const bool missing = remote == remoteMembers.end();
        const auto status = memberStatusOf(entry.member_);
        if (missing ? isLive(entry) : versionOf(status) > versionOf(remote->second)) {
            truncated = truncated || bytes > options_.repairBudgetBytes_;
            if (!truncated) {
                delta.members_.push_back(recordOf(entry));
                bytes += estimateBytes(delta.members_.back());
            }
        } else if (!missing && versionOf(status) == versionOf(remote->second) && !isLive(entry)
            && remote->second.state_ != MemberState::Dead) {
            delta.statuses_.push_back(status);
        }
    }
    std::map<std::string, std::uint64_t> remoteItems;
    for (const auto& itemVersion : message.itemSummary_) {
        remoteItems.emplace(itemVersion.key_, itemVersion.generation_);
    }
    requestAnnouncedItems(now, message.itemSummary_, delta);
    for (const auto& [key, entry] : items_.entries()) {
        const auto remote = remoteItems.find(key);
        if (summarised.at(entry.bucket_)
            && (remote == remoteItems.end() || remote->second < entry.generation_)) {
            truncated = truncated || bytes > options_.repairBudgetBytes_;
            if (!truncated) {
                delta.items_.push_back({ key, entry.generation_, entry.value_ });
                bytes += estimateBytes(delta.items_.back());
            }
        }
    }
    const bool more = message.more_ || truncated;
    if (!joined_ && !more) {
        joined_ = true;
        urgentUpdateSender_ = message.sender_.member_.ref_.id_;
        urgentPushDue_ = true; // Announces this node to a few members immediately.
    }
    OutstandingRequest next { Purpose::SyncDelta, pending.to_, message.sender_.member_.ref_,
        pending.reference_, now, options_.syncTimeout_, more };
    if (!delta.members_.empty() || delta.statuses_.size() > statusesBefore || !delta.items_.empty()
        || !delta.wantedMembers_.empty() || !delta.wantedItems_.empty()) {
        send(now, std::move(next), std::move(delta));
    } else if (more) {
        continueSync(now, next.to_, next.target_, next.reference_ + 1);
    }
}

} // namespace wagtailhead
