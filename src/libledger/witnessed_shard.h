/// The tables that a witness keeps for one shard.
#pragma once

#include "key_blocks.h"
#include "record_table.h"
#include "wagtailhead/witness.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhead {

/// The copy of one owner's table in one epoch.
struct WitnessTable {
    explicit WitnessTable(std::size_t& bytes)
        : records_(bytes)
    {
    }

    /// The record of an unfinished key that the owner made in this epoch.
    struct EpochRecord {
        AttemptId attempt_;
        std::uint64_t round_ = 0;
    };

    EpochMembers members_;
    std::vector<EpochMembers> bases_;
    std::uint64_t copy_ = 0;
    std::uint64_t nextPart_ = 0;
    bool complete_ = false; ///< All parts of the copy have arrived.
    bool active_ = false; ///< The epoch has begun: a Commit or a record of its owner was received.
    bool sealed_ = false;
    RecordTable records_;
    BlockTable blocks_;
    std::map<std::string, EpochRecord> epochRecords_;
};

/// All tables of one shard. The tables of different owners with the same epoch number are separate; two such
/// owners exist if the store has lost a write. Not thread safe.
class WitnessedShard {
public:
    WitnessedShard(const NodeRef& self, const WitnessLedgerOptions& options, std::size_t& bytes);

    auto onRecord(const RecordStart& record, TimePoint now) -> RecordAck;
    auto onOutcome(const RecordOutcome& outcome, TimePoint now) -> void;
    auto onFence(const Fence& fence, TimePoint now) -> FenceReply;
    auto onSeal(const Seal& seal, TimePoint now) -> SealReply;
    auto onInstall(const Install& install, TimePoint now) -> InstallAck;
    auto onCommit(const Commit& commit) -> CommitAck;
    auto onMapRecord(const ShardRecord& record) -> void;
    auto tick(TimePoint now) -> void;
    auto appendInfos(const std::string& service, const std::string& shard,
        std::vector<WitnessedShardInfo>& infos) const -> void;

private:
    using TableKey = std::pair<std::uint64_t, NodeRef>;

    auto find(std::uint64_t epoch, const NodeRef& owner) -> WitnessTable*;
    auto highestEpoch() const -> std::uint64_t;
    auto isSuperseded(std::uint64_t epoch, const NodeRef& owner) const -> bool;
    auto refuse(const char* reason) const -> RecordAck;
    auto accept(const EpochMembers& members) -> void;
    auto storeRecord(WitnessTable& table, const RecordStart& record, TimePoint now) -> RecordAck;
    auto storeCopyPart(WitnessTable& table, const Install& install, TimePoint now) -> bool;

    const NodeRef& self_;
    const WitnessLedgerOptions& options_;
    std::size_t& bytes_;
    /// The highest epoch that this node has accepted as begun, from a Commit or from a record of its
    /// active owner.
    EpochMembers accepted_;
    /// The highest epoch received from the shard map. It may never have begun.
    EpochMembers mapEpoch_;
    std::map<TableKey, std::unique_ptr<WitnessTable>> tables_;
    std::map<TableKey, TimePoint> supersededSince_;
};

} // namespace wagtailhead
