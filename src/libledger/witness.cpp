#include "wagtailhead/witness.h"

#include "witnessed_shard.h"

namespace wagtailhead {

WitnessLedger::WitnessLedger(NodeRef self, WitnessLedgerOptions options)
    : self_(std::move(self))
    , options_(options)
{
}

WitnessLedger::~WitnessLedger() = default;

auto WitnessLedger::shardFor(const ShardRef& ref) -> WitnessedShard&
{
    auto& shard = shards_[{ ref.service_, ref.shard_ }];
    if (!shard) {
        shard = std::make_unique<WitnessedShard>(self_, options_, bytes_);
    }
    return *shard;
}

auto WitnessLedger::onRecord(const RecordStart& record, TimePoint now) -> RecordAck
{
    const std::lock_guard lock(mutex_);
    auto ack = shardFor(record.shard_).onRecord(record, now);
    ack.requestId_ = record.requestId_;
    return ack;
}

auto WitnessLedger::onOutcome(const RecordOutcome& outcome, TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    shardFor(outcome.shard_).onOutcome(outcome, now);
}

auto WitnessLedger::onFence(const Fence& fence, TimePoint now) -> FenceReply
{
    const std::lock_guard lock(mutex_);
    auto reply = shardFor(fence.shard_).onFence(fence, now);
    reply.requestId_ = fence.requestId_;
    return reply;
}

auto WitnessLedger::onSeal(const Seal& seal, TimePoint now) -> SealReply
{
    const std::lock_guard lock(mutex_);
    auto reply = shardFor(seal.shard_).onSeal(seal, now);
    reply.requestId_ = seal.requestId_;
    return reply;
}

auto WitnessLedger::onInstall(const Install& install, TimePoint now) -> InstallAck
{
    const std::lock_guard lock(mutex_);
    auto ack = shardFor(install.shard_).onInstall(install, now);
    ack.requestId_ = install.requestId_;
    return ack;
}

auto WitnessLedger::onCommit(const Commit& commit, TimePoint) -> CommitAck
{
    const std::lock_guard lock(mutex_);
    auto ack = shardFor(commit.shard_).onCommit(commit);
    ack.requestId_ = commit.requestId_;
    return ack;
}

auto WitnessLedger::onMapRecord(const ShardRecord& record) -> void
{
    const std::lock_guard lock(mutex_);
    shardFor(record.ref()).onMapRecord(record);
}

auto WitnessLedger::tick(TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    for (const auto& [name, shard] : shards_) {
        shard->tick(now);
    }
}

auto WitnessLedger::tables() const -> std::vector<WitnessedShardInfo>
{
    const std::lock_guard lock(mutex_);
    std::vector<WitnessedShardInfo> infos;
    for (const auto& [name, shard] : shards_) {
        shard->appendInfos(name.first, name.second, infos);
    }
    return infos;
}

auto WitnessLedger::bytes() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return bytes_;
}

} // namespace wagtailhead
