/// Anti-entropy and joining: exchange of bucket hashes, then of what differs.
#include "membership_core.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

namespace {

/// Bounds the messages of one synchronisation with one member.
constexpr std::uint64_t maxSyncSteps = 64;

/// Attempts to join go to this many addresses at a time.
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

auto versionOf(const MemberNote& note) -> std::pair<Incarnation, std::uint64_t>
{
    return { note.ref_.incarnation_, note.sequence_ };
}

} // namespace

auto MembershipProtocol::Core::runSync(TimePoint now) -> void
{
    if (now < nextSync_) {
        return;
    }
    // Early rounds follow each other quickly, since the first contact may have known little itself.
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
    const bool alone = members_.liveCount() == 0;
    const Duration groupInterval = seconds(1) * static_cast<int>(liveCount()) / options_.groupDialsPerSecond_;
    const auto jitter = std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    const auto interval = std::max(options_.dialInterval_, groupInterval) * jitter;
    nextDial_ = now + (alone ? options_.joinInterval_ : std::chrono::duration_cast<Duration>(interval));
    if (self_.departed_) {
        return;
    }
    std::optional<SeedAddress> last;
    for (int i = 0; i < (alone ? joinFanout : 1); ++i) {
        const auto isUseless = [&](const SeedAddress& address) {
            return last == address || isLiveAddress(address);
        };
        const auto address = rejoin_.pick(now, isUseless, random_);
        if (!address) {
            return;
        }
        ++stats_.dialsSent_;
        last = address;
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

auto MembershipProtocol::Core::describeBuckets(const GossipMessage& request, GossipMessage& answer) -> void
{
    if (request.digest_.size() != bucketCount) {
        return;
    }
    const auto differing = bucketSet(digest_.differing(request.digest_));
    const auto isEmptyThere = [&](BucketIndex bucket) {
        return request.digest_[bucket] == 0;
    };
    // Groups the records by bucket first, because whole buckets are described until the budget is used.
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
    // Starts at a random bucket, so that buckets that always differ do not keep out the others.
    const auto start = std::uniform_int_distribution<std::size_t>(0, bucketCount - 1)(random_);
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        const auto bucket = (start + i) % bucketCount;
        if (!differing.at(bucket)) {
            continue;
        }
        if (bytes > budget) {
            answer.more_ = true;
            break;
        }
        const bool whole = isEmptyThere(static_cast<BucketIndex>(bucket));
        if (!whole) {
            answer.differing_.push_back(bucket);
        }
        for (const auto* entry : members.at(bucket)) {
            if (!whole) {
                answer.memberSummary_.push_back(noteOf(entry->member_));
                bytes += estimateBytes(answer.memberSummary_.back());
            } else if (isLive(*entry)) {
                answer.members_.push_back(recordOf(*entry));
                bytes += estimateBytes(answer.members_.back());
            }
        }
        for (const auto& [key, entry] : items.at(bucket)) {
            if (!whole || bytes > budget) {
                answer.itemSummary_.push_back({ *key, entry->generation_ });
                bytes += estimateBytes(answer.itemSummary_.back());
            } else {
                answer.items_.push_back({ *key, entry->generation_, entry->value_ });
                bytes += estimateBytes(answer.items_.back());
            }
        }
    }
}

auto MembershipProtocol::Core::compareSummaries(
    TimePoint now, const Pending& pending, const GossipMessage& message) -> void
{
    auto delta = makeMessage(GossipKind::SyncDelta, message.sender_.member_.ref_);
    const auto notesBefore = delta.notes_.size();
    const auto described = bucketSet(message.differing_);
    std::map<NodeId, MemberNote> theirMembers;
    for (const auto& note : message.memberSummary_) {
        theirMembers.emplace(note.ref_.id_, note);
        const auto* entry = members_.find(note.ref_.id_);
        const bool unknown = !entry && note.state_ != MemberState::Dead;
        if (note.ref_.id_ == self_.member_.ref_.id_) {
            applyRumorAboutSelf(now, note);
        } else if (unknown || (entry && versionOf(note) > versionOf(noteOf(entry->member_)))) {
            delta.wantedMembers_.push_back(note.ref_.id_);
        } else if (entry) {
            applyNote(now, note);
        }
    }
    std::size_t bytes = 0;
    bool truncated = false;
    for (const auto& [id, entry] : members_.entries()) {
        if (!described.at(entry.bucket_) || id == message.sender_.member_.ref_.id_) {
            continue;
        }
        const auto theirs = theirMembers.find(id);
        const bool unknown = theirs == theirMembers.end();
        const auto note = noteOf(entry.member_);
        if (unknown ? isLive(entry) : versionOf(note) > versionOf(theirs->second)) {
            truncated = truncated || bytes > options_.repairBudgetBytes_;
            if (!truncated) {
                delta.members_.push_back(recordOf(entry));
                bytes += estimateBytes(delta.members_.back());
            }
        } else if (!unknown && versionOf(note) == versionOf(theirs->second) && !isLive(entry)
            && theirs->second.state_ != MemberState::Dead) {
            delta.notes_.push_back(note);
        }
    }
    std::map<std::string, std::uint64_t> theirItems;
    for (const auto& notice : message.itemSummary_) {
        theirItems.emplace(notice.key_, notice.generation_);
    }
    askForNotices(now, message.itemSummary_, delta);
    for (const auto& [key, entry] : items_.entries()) {
        const auto theirs = theirItems.find(key);
        if (described.at(entry.bucket_)
            && (theirs == theirItems.end() || theirs->second < entry.generation_)) {
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
        urgentFrom_ = message.sender_.member_.ref_.id_;
        urgent_ = true; // Makes this node known to a few members at once.
    }
    Pending next { Purpose::SyncDelta, pending.to_, message.sender_.member_.ref_, pending.reference_, now,
        options_.syncTimeout_, more };
    if (!delta.members_.empty() || delta.notes_.size() > notesBefore || !delta.items_.empty()
        || !delta.wantedMembers_.empty() || !delta.wantedItems_.empty()) {
        send(now, std::move(next), std::move(delta));
    } else if (more) {
        continueSync(now, next.to_, next.target_, next.reference_ + 1);
    }
}

} // namespace wagtailhead
