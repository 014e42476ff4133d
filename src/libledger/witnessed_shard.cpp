#include "witnessed_shard.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// The table of an ended epoch is kept for this long, so that late takeovers can still copy it.
constexpr Duration oldTableRetention = std::chrono::minutes(10);

} // namespace

WitnessedShard::WitnessedShard(const NodeRef& self, const WitnessLedgerOptions& options, std::size_t& bytes)
    : self_(self)
    , options_(options)
    , bytes_(bytes)
{
}

auto WitnessedShard::find(std::uint64_t epoch, const NodeRef& owner) -> WitnessTable*
{
    const auto found = tables_.find({ epoch, owner });
    return found != tables_.end() && found->second->complete_ ? found->second.get() : nullptr;
}

auto WitnessedShard::highestEpoch() const -> std::uint64_t
{
    return std::max(accepted_.epoch_, mapEpoch_.epoch_);
}

auto WitnessedShard::isSuperseded(std::uint64_t epoch, const NodeRef& owner) const -> bool
{
    return highestEpoch() > epoch || (accepted_.epoch_ == epoch && accepted_.owner_ != owner);
}

auto WitnessedShard::refuse(const char* reason) const -> RecordAck
{
    return { 0, false, highestEpoch(), reason };
}

auto WitnessedShard::accept(const EpochMembers& members) -> void
{
    if (members.epoch_ > accepted_.epoch_) {
        accepted_ = members;
    }
}

auto WitnessedShard::onRecord(const RecordStart& record, TimePoint now) -> RecordAck
{
    auto* table = find(record.shard_.epoch_, record.owner_);
    if (!table || record.witness_ != self_) {
        return refuse(isSuperseded(record.shard_.epoch_, record.owner_) ? record_refusal::superseded
                                                                        : record_refusal::notMember);
    }
    if (table->sealed_) {
        return refuse(record_refusal::sealed);
    }
    if (isSuperseded(record.shard_.epoch_, record.owner_)) {
        return refuse(record_refusal::superseded);
    }
    // Only an active owner sends records.
    table->active_ = true;
    accept(table->members_);
    return storeRecord(*table, record, now);
}

auto WitnessedShard::storeRecord(WitnessTable& table, const RecordStart& record, TimePoint now) -> RecordAck
{
    const auto* existing = table.records_.find(record.key_);
    const auto current = table.epochRecords_.find(record.key_);
    const auto isCurrent = current != table.epochRecords_.end();
    if (existing && !isCurrent) {
        return refuse(record_refusal::recorded); // Finished, or started in an earlier epoch.
    }
    if (record.block_) {
        table.blocks_.block(record.key_, now, now + notRunWindow);
        return { 0, true, highestEpoch(), {} };
    }
    if (isCurrent && record.round_ < current->second.round_) {
        return refuse(record_refusal::recorded); // A newer round has arrived already; the owner ignores
                                                 // acknowledgements of this one.
    }
    if (!isCurrent || record.round_ > current->second.round_) {
        const auto isBlocked = table.blocks_.refuses(record.key_, record.acceptedAt_);
        if (isBlocked || (!existing && bytes_ >= options_.maxBytes_)) {
            table.blocks_.block(record.key_, now, now + notRunWindow);
            return refuse(isBlocked ? record_refusal::blocked : record_refusal::full);
        }
    }
    table.epochRecords_[record.key_] = { record.attempt_, record.round_ };
    table.records_.start(record.key_, record.bodyHash_, now);
    return { 0, true, highestEpoch(), {} };
}

auto WitnessedShard::onOutcome(const RecordOutcome& outcome, TimePoint now) -> void
{
    for (const auto& [key, table] : tables_) {
        if (outcome.answer_.outcome_ == Outcome::Completed) {
            if (key.first >= outcome.shard_.epoch_ && table->records_.finish(outcome.key_, outcome.answer_)) {
                table->epochRecords_.erase(outcome.key_);
            }
            continue;
        }
        const auto current = table->epochRecords_.find(outcome.key_);
        const auto isSame = key.first == outcome.shard_.epoch_ && current != table->epochRecords_.end()
            && current->second.attempt_ == outcome.attempt_;
        if (outcome.answer_.outcome_ == Outcome::NotRun && isSame && !table->sealed_) {
            table->epochRecords_.erase(current);
            table->records_.erase(outcome.key_);
            table->blocks_.block(outcome.key_, now, now + notRunWindow);
        }
    }
}

auto WitnessedShard::onFence(const Fence& fence, TimePoint now) -> FenceReply
{
    auto* table = find(fence.shard_.epoch_, fence.owner_);
    if (!table || fence.member_ != self_) {
        return { 0, FenceState::NotMine, {}, {} };
    }
    if (const auto* existing = table->records_.find(fence.key_)) {
        if (existing->finished_ && existing->bodyHash_ != fence.bodyHash_) {
            constexpr int statusKeyReused = 422;
            return { 0, FenceState::Finished,
                { Outcome::NotRun, statusKeyReused, ledger_reason::keyReused, {}, {} }, {} };
        }
        return existing->answer_ ? FenceReply { 0, FenceState::Finished, *existing->answer_, {} }
                                 : FenceReply { 0, FenceState::Started, {}, {} };
    }
    if (table->sealed_ || !table->active_ || isSuperseded(fence.shard_.epoch_, fence.owner_)) {
        return { 0, FenceState::NotMine, {}, {} };
    }
    table->blocks_.block(fence.key_, now, now + notRunWindow);
    return { 0, FenceState::Blocked, {}, table->blocks_.notRunUntil(fence.key_) };
}

auto WitnessedShard::onSeal(const Seal& seal, TimePoint now) -> SealReply
{
    SealReply reply;
    reply.highestEpoch_ = highestEpoch();
    for (const auto& members : { accepted_, mapEpoch_ }) {
        if (members.epoch_ != 0) {
            reply.known_.push_back(members);
        }
    }
    auto* table = find(seal.shard_.epoch_, seal.owner_);
    if (!table || seal.witness_ != self_) {
        return reply;
    }
    table->sealed_ = true;
    reply.sealed_ = true;
    reply.active_ = table->active_;
    if (!table->active_) {
        reply.bases_ = table->bases_;
    }
    reply.more_ = table->records_.page(seal.after_, options_.pageBytes_, now, reply.entries_);
    if (seal.after_.empty()) {
        reply.blocked_ = table->blocks_.remaining(now);
    }
    return reply;
}

auto WitnessedShard::onInstall(const Install& install, TimePoint now) -> InstallAck
{
    const auto epoch = install.shard_.epoch_;
    if (install.witness_ != self_ || isSuperseded(epoch, install.owner_)) {
        return { 0, false, highestEpoch() };
    }
    auto& table = tables_[{ epoch, install.owner_ }];
    if (!table) {
        table = std::make_unique<WitnessTable>(bytes_);
    }
    return { 0, storeCopyPart(*table, install, now), highestEpoch() };
}

/// Stores one part of a copy. Parts of an older copy and parts out of order are refused; a part that was
/// stored already is acknowledged again without effect.
auto WitnessedShard::storeCopyPart(WitnessTable& table, const Install& install, TimePoint now) -> bool
{
    if (install.copy_ < table.copy_ || (install.copy_ == table.copy_ && install.part_ < table.nextPart_)) {
        return install.copy_ == table.copy_;
    }
    if (install.copy_ > table.copy_) {
        // Records of an active or sealed epoch must not be replaced by a copy.
        if (install.part_ != 0 || table.active_ || table.sealed_) {
            return false;
        }
        table.records_.clear();
        table.blocks_ = {};
        table.complete_ = false;
        table.copy_ = install.copy_;
        table.nextPart_ = 0;
        table.members_ = install.members_;
        table.bases_ = install.bases_;
    }
    if (install.part_ != table.nextPart_) {
        return false;
    }
    table.records_.merge(install.entries_, now);
    table.blocks_.merge(install.blocked_, now);
    ++table.nextPart_;
    table.complete_ = install.last_;
    return true;
}

auto WitnessedShard::onCommit(const Commit& commit) -> CommitAck
{
    if (commit.member_ != self_) {
        return {};
    }
    const auto& members = commit.members_;
    auto lowestBase = members.epoch_;
    auto isBase = false;
    for (const auto& base : commit.bases_) {
        lowestBase = std::min(lowestBase, base.epoch_);
        isBase = isBase || (base.epoch_ == accepted_.epoch_ && base.owner_ == accepted_.owner_);
    }
    const auto isRepeated = accepted_.epoch_ == members.epoch_ && accepted_.owner_ == members.owner_;
    const auto isOlder = accepted_.epoch_ < lowestBase;
    if (!isBase && !isRepeated && !isOlder) {
        return { 0, false, accepted_ };
    }
    accept(members);
    auto* table = find(members.epoch_, members.owner_);
    if (table && commit.begun_) {
        table->active_ = true;
    }
    return { 0, true, {} };
}

auto WitnessedShard::onMapRecord(const ShardRecord& record) -> void
{
    if (record.epoch_ > mapEpoch_.epoch_) {
        mapEpoch_ = record.members();
    }
}

auto WitnessedShard::tick(TimePoint now) -> void
{
    for (auto at = tables_.begin(); at != tables_.end();) {
        auto& [key, table] = *at;
        table->records_.purge(now);
        table->blocks_.purge(now);
        const auto since
            = key.first < highestEpoch() ? supersededSince_.try_emplace(key, now).first->second : now;
        // An epoch that only the map has reported may never have begun; then the older table is still needed.
        if (now - since > (key.first < accepted_.epoch_ ? oldTableRetention : fingerprintRetention)) {
            supersededSince_.erase(key);
            at = tables_.erase(at);
        } else {
            ++at;
        }
    }
}

auto WitnessedShard::appendInfos(const std::string& service, const std::string& shard,
    std::vector<WitnessedShardInfo>& infos) const -> void
{
    for (const auto& [key, table] : tables_) {
        infos.push_back({ { service, shard, key.first }, key.second, table->active_, table->sealed_,
            table->records_.size() });
    }
}

} // namespace wagtailhead
