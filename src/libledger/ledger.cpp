#include "wagtailhead/ledger.h"

#include "owned_shard.h"

namespace wagtailhead {

namespace {

auto notOwner() -> Refuse
{
    constexpr int statusTimeout = 504;
    return { Outcome::Unknown, statusTimeout, ledger_reason::notOwner, {} };
}

} // namespace

OwnerLedger::OwnerLedger(NodeRef self, OwnerLedgerOptions options)
    : self_(std::move(self))
    , options_(options)
{
}

OwnerLedger::~OwnerLedger() = default;

auto OwnerLedger::findShard(const std::string& service, const std::string& shard) const -> OwnedShard*
{
    const auto found = shards_.find({ service, shard });
    return found == shards_.end() ? nullptr : found->second.get();
}

auto OwnerLedger::begin(const OnceArrival& call, TimePoint now, WallClock::time_point wallNow) -> BeginResult
{
    return beginOrRefuse(call, std::nullopt, now, wallNow);
}

auto OwnerLedger::refuse(const OnceArrival& call, const KeyRefusal& refusal, TimePoint now,
    WallClock::time_point wallNow) -> BeginResult
{
    return beginOrRefuse(call, refusal, now, wallNow);
}

auto OwnerLedger::beginOrRefuse(const OnceArrival& call, const std::optional<KeyRefusal>& refusal,
    TimePoint now, WallClock::time_point wallNow) -> BeginResult
{
    const std::lock_guard lock(mutex_);
    auto* shard = findShard(call.shard_.service_, call.shard_.shard_);
    return shard ? shard->beginOrRefuse(call, refusal, now, wallNow) : notOwner();
}

auto OwnerLedger::onRecordAck(const RecordTicket& ticket, const RecordAck& ack, TimePoint now) -> OwnerEffects
{
    const std::lock_guard lock(mutex_);
    OwnerEffects effects;
    if (auto* shard = findShard(ticket.key_.service_, ticket.key_.shard_)) {
        shard->onRecordAck(ticket, ack, now, effects);
    }
    return effects;
}

auto OwnerLedger::onRecordTimeout(const RecordTicket& ticket, TimePoint now) -> OwnerEffects
{
    const std::lock_guard lock(mutex_);
    OwnerEffects effects;
    if (auto* shard = findShard(ticket.key_.service_, ticket.key_.shard_)) {
        shard->onRecordTimeout(ticket, now, effects);
    }
    return effects;
}

auto OwnerLedger::mayDispatch(const KeyRef& key, TimePoint now) -> bool
{
    const std::lock_guard lock(mutex_);
    auto* shard = findShard(key.service_, key.shard_);
    return shard && shard->mayDispatch(key.key_, now);
}

auto OwnerLedger::abandon(const KeyRef& key, const KeyRefusal& refusal, TimePoint now) -> OwnerEffects
{
    const std::lock_guard lock(mutex_);
    OwnerEffects effects;
    if (auto* shard = findShard(key.service_, key.shard_)) {
        shard->abandon(key.key_, refusal, now, effects);
    }
    return effects;
}

auto OwnerLedger::finish(const KeyRef& key, const Answer& answer, TimePoint now) -> OwnerEffects
{
    const std::lock_guard lock(mutex_);
    OwnerEffects effects;
    if (auto* shard = findShard(key.service_, key.shard_)) {
        shard->finish(key.key_, answer, now, effects);
    }
    return effects;
}

auto OwnerLedger::fence(const Fence& fence, FenceToken token, TimePoint now) -> OwnerEffects
{
    const std::lock_guard lock(mutex_);
    OwnerEffects effects;
    auto* shard = findShard(fence.shard_.service_, fence.shard_.shard_);
    if (shard && fence.owner_ == self_ && fence.member_ == self_) {
        shard->fence(fence, token, now, effects);
    } else {
        effects.fenceReplies_.emplace_back(token, FenceReply { 0, FenceState::NotMine, {}, {} });
    }
    return effects;
}

auto OwnerLedger::onOutcome(const RecordOutcome& outcome, TimePoint) -> void
{
    const std::lock_guard lock(mutex_);
    if (auto* shard = findShard(outcome.shard_.service_, outcome.shard_.shard_)) {
        shard->onOutcome(outcome);
    }
}

auto OwnerLedger::onSeal(const Seal& seal, TimePoint now) -> std::pair<SealReply, OwnerEffects>
{
    const std::lock_guard lock(mutex_);
    std::pair<SealReply, OwnerEffects> result;
    if (auto* shard = findShard(seal.shard_.service_, seal.shard_.shard_)) {
        result.first = shard->onSeal(seal, now, result.second);
    }
    return result;
}

auto OwnerLedger::onMapRecord(const ShardRecord& record, TimePoint now) -> OwnerEffects
{
    const std::lock_guard lock(mutex_);
    OwnerEffects effects;
    if (auto* shard = findShard(record.service_, record.shard_)) {
        shard->onMapRecord(record, now, effects);
    }
    return effects;
}

auto OwnerLedger::activate(const ShardRecord& record, const ShardTable& table, TimePoint now) -> OwnerEffects
{
    const std::lock_guard lock(mutex_);
    auto& shard = shards_[{ record.service_, record.shard_ }];
    if (!shard) {
        shard = std::make_unique<OwnedShard>(
            OwnerContext { self_, options_, nextRound_, bytes_ }, record.service_, record.shard_);
    }
    OwnerEffects effects;
    shard->activate(record, table, now, effects);
    return effects;
}

auto OwnerLedger::tick(TimePoint now) -> OwnerEffects
{
    const std::lock_guard lock(mutex_);
    OwnerEffects effects;
    for (const auto& [name, shard] : shards_) {
        shard->tick(now, effects);
    }
    std::erase_if(shards_, [now](const auto& entry) {
        return entry.second->isExpired(now);
    });
    return effects;
}

auto OwnerLedger::shards() const -> std::vector<OwnedShardInfo>
{
    const std::lock_guard lock(mutex_);
    std::vector<OwnedShardInfo> infos;
    for (const auto& [name, shard] : shards_) {
        infos.push_back(shard->info());
    }
    return infos;
}

auto OwnerLedger::isActive(const ShardRef& ref) const -> bool
{
    const std::lock_guard lock(mutex_);
    const auto* shard = findShard(ref.service_, ref.shard_);
    if (!shard) {
        return false;
    }
    const auto info = shard->info();
    return info.active_ && info.record_.epoch_ == ref.epoch_;
}

auto OwnerLedger::bytes() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return bytes_;
}

} // namespace wagtailhead
