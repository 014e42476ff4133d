#include "wagtailhead/shard_agent.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

/// Returns the position of a node among the candidates, or nothing if it is not a candidate.
auto rankOf(const std::vector<const Member*>& candidates, const NodeRef& self) -> std::optional<int>
{
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
        if (candidates[rank]->ref_ == self) {
            return static_cast<int>(rank);
        }
    }
    return std::nullopt;
}

auto hasOtherZone(const std::vector<NodeRef>& witnesses, const Member& owner, const MemberList& members)
    -> bool
{
    return std::any_of(witnesses.begin(), witnesses.end(), [&](const NodeRef& witness) {
        const auto* member = members.find(witness.id_);
        return member && member->zone_ != owner.zone_;
    });
}

auto isWitnessUnavailable(const NodeRef& witness, const MemberList& members) -> bool
{
    const auto* member = members.find(witness.id_);
    return !member || member->ref_ != witness || !canWitness(*member);
}

} // namespace

auto takeoverReasonName(TakeoverReason reason) -> const char*
{
    static constexpr std::array names { "create", "owner-gone", "renew", "resume", "balance" };
    return names.at(static_cast<std::size_t>(reason));
}

ShardAgent::ShardAgent(TimePoint startedAt, std::uint64_t seed, ShardAgentOptions options)
    : startedAt_(startedAt)
    , options_(options)
    , random_(seed)
    , nextBalance_(startedAt + options.balanceInterval_)
{
}

auto ShardAgent::jitter() -> Duration
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, options_.jitter_.count())(random_));
}

auto ShardAgent::decide(const AgentView& view, TimePoint now) -> std::vector<TakeoverPlan>
{
    std::map<std::string, const ShardRecord*> records;
    for (const auto& record : view.records_) {
        records[record.shard_] = &record;
    }
    std::vector<TakeoverPlan> plans;
    for (const auto& shard : view.shards_) {
        const auto record = records.find(shard);
        update(shard, needOf(shard, record == records.end() ? nullptr : record->second, view, now), now);
        if (isDue(shard, now) && inFlight_.size() < options_.maxInFlight_) {
            inFlight_.insert(shard);
            const auto& need = needs_.at(shard);
            plans.push_back(
                { view.self_.service_, shard, need.basis_, need.reason_, unresponsiveWitnesses(shard, now) });
        }
    }
    if (auto plan = balance(view, now)) {
        plans.push_back(std::move(*plan));
    }
    return plans;
}

auto ShardAgent::needOf(const std::string& shard, const ShardRecord* record, const AgentView& view,
    TimePoint now) const -> std::optional<Need>
{
    if (record && record->owner_ == view.self_.ref_) {
        return needOfOwnedShard(*record, view, now);
    }
    const auto rank = rankOf(rankCandidates(view.self_.service_, shard, view.members_), view.self_.ref_);
    if (!rank) {
        return std::nullopt;
    }
    const auto rankDelay = options_.rankDelay_ * *rank;
    if (!record) {
        const auto warmUp = std::max(startedAt_ + options_.creationDelay_ - now, Duration::zero());
        return Need { TakeoverReason::Create, 0, rankDelay + warmUp, {} };
    }
    const auto* owner = view.members_.find(record->owner_.id_);
    if (!owner) {
        return Need { TakeoverReason::OwnerGone, record->epoch_, rankDelay + options_.unknownOwnerDelay_,
            {} };
    }
    const auto isReplaced = owner->ref_.incarnation_ > record->owner_.incarnation_;
    if (isReplaced || (owner->ref_ == record->owner_ && !canOwn(*owner))) {
        return Need { TakeoverReason::OwnerGone, record->epoch_, rankDelay, {} };
    }
    return std::nullopt;
}

auto ShardAgent::needOfOwnedShard(const ShardRecord& record, const AgentView& view, TimePoint now) const
    -> std::optional<Need>
{
    if (!canOwn(view.self_)) {
        return std::nullopt; // Other nodes take the shard over.
    }
    const auto isActive
        = std::any_of(view.owned_.begin(), view.owned_.end(), [&](const OwnedShardInfo& info) {
              return info.active_ && info.record_ == record;
          });
    if (!isActive) {
        return Need { TakeoverReason::Resume, record.epoch_, options_.resumeDelay_, {} };
    }
    const auto& witnesses = record.witnesses_;
    const auto isLost = std::any_of(witnesses.begin(), witnesses.end(), [&](const NodeRef& witness) {
        return isWitnessUnavailable(witness, view.members_) || isUnresponsive(record.shard_, witness, now);
    });
    if (isLost) {
        return Need { TakeoverReason::Renew, record.epoch_, Duration::zero(), {} };
    }
    const auto best = placeWitnesses(
        record.service_, record.shard_, view.self_, view.members_, unresponsiveWitnesses(record.shard_, now));
    const auto isBetter = best.size() > witnesses.size()
        || (hasOtherZone(best, view.self_, view.members_)
            && !hasOtherZone(witnesses, view.self_, view.members_));
    if (isBetter) {
        return Need { TakeoverReason::Renew, record.epoch_, options_.placementDelay_, {} };
    }
    return std::nullopt;
}

/// Keeps the earliest start time of an unchanged need, and sets it anew for a need with another epoch or
/// reason.
auto ShardAgent::update(const std::string& shard, const std::optional<Need>& need, TimePoint now) -> void
{
    if (!need) {
        needs_.erase(shard);
        return;
    }
    auto updated = *need;
    updated.notBefore_ = now + updated.delay_ + jitter();
    const auto existing = needs_.find(shard);
    if (existing == needs_.end() || existing->second.basis_ != updated.basis_
        || existing->second.reason_ != updated.reason_) {
        needs_[shard] = updated;
    } else {
        existing->second.notBefore_ = std::min(existing->second.notBefore_, updated.notBefore_);
    }
}

auto ShardAgent::isDue(const std::string& shard, TimePoint now) const -> bool
{
    const auto need = needs_.find(shard);
    const auto retry = retries_.find(shard);
    return need != needs_.end() && need->second.notBefore_ <= now && !inFlight_.contains(shard)
        && (retry == retries_.end() || retry->second.notBefore_ <= now);
}

auto ShardAgent::isUnresponsive(const std::string& shard, const NodeRef& witness, TimePoint now) const -> bool
{
    return unresponsiveWitnesses(shard, now).contains(witness);
}

auto ShardAgent::unresponsiveWitnesses(const std::string& shard, TimePoint now) const -> std::set<NodeRef>
{
    std::set<NodeRef> witnesses;
    const auto reports = unresponsive_.find(shard);
    if (reports == unresponsive_.end()) {
        return witnesses;
    }
    for (const auto& [witness, reportedAt] : reports->second) {
        if (now - reportedAt < options_.unresponsiveRetention_) {
            witnesses.insert(witness);
        }
    }
    return witnesses;
}

auto ShardAgent::onUnresponsiveWitness(const NodeRef& witness, const ShardRef& shard, TimePoint now) -> void
{
    unresponsive_[shard.shard_][witness] = now;
}

auto ShardAgent::balance(const AgentView& view, TimePoint now) -> std::optional<TakeoverPlan>
{
    if (now < nextBalance_ || !needs_.empty() || !inFlight_.empty()) {
        return std::nullopt;
    }
    nextBalance_ = now + options_.balanceInterval_ + jitter();
    const auto record = shardToBalance(view.records_, view.self_, view.members_);
    if (!record) {
        return std::nullopt;
    }
    inFlight_.insert(record->shard_);
    return TakeoverPlan { record->service_, record->shard_, record->epoch_, TakeoverReason::Balance, {} };
}

auto ShardAgent::onEnded(const std::string&, const std::string& shard, bool activated, TimePoint now) -> void
{
    inFlight_.erase(shard);
    if (activated) {
        retries_.erase(shard);
        return;
    }
    auto& retry = retries_[shard];
    constexpr int maxDoublings = 10;
    const auto delay = std::min(
        options_.retryDelay_ * (1 << std::min(retry.failures_, maxDoublings)), options_.longestRetryDelay_);
    ++retry.failures_;
    retry.notBefore_ = now + delay + jitter();
}

auto ShardAgent::inFlight() const -> std::size_t
{
    return inFlight_.size();
}

} // namespace wagtailhead
