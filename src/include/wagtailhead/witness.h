/// The witness's side of the at-most-once protocol.
#pragma once

#include "wagtailhead/ledger_limits.h"
#include "wagtailhead/messages.h"
#include "wagtailhead/shard_map.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhead {

struct WitnessLedgerOptions {
    /// Bound of all tables; at the bound new keys are refused.
    std::size_t maxBytes_ = std::size_t { 60 } << 20;
    /// Bound of one page of a SealReply; an entry larger than it makes a page of its own.
    std::size_t pageBytes_ = std::size_t { 256 } << 10;
};

/// The state of one table for dumps.
struct WitnessedShardInfo {
    ShardRef shard_;
    NodeRef owner_;
    bool active_ = false;
    bool sealed_ = false;
    std::size_t entries_ = 0;
};

class WitnessedShard;

/// The records that this node keeps for owners. It accepts only messages addressed to exactly this
/// incarnation, and has a separate table for each owner of the same epoch. Thread safe: every call
/// locks the whole ledger for a short time. `now` must be read after the message was received.
class WitnessLedger {
public:
    explicit WitnessLedger(NodeRef self, WitnessLedgerOptions options = {});
    ~WitnessLedger();
    WitnessLedger(const WitnessLedger&) = delete;
    auto operator=(const WitnessLedger&) -> WitnessLedger& = delete;

    auto onRecord(const RecordStart& record, TimePoint now) -> RecordAck;
    auto onOutcome(const RecordOutcome& outcome, TimePoint now) -> void;
    auto onFence(const Fence& fence, TimePoint now) -> FenceReply;
    auto onSeal(const Seal& seal, TimePoint now) -> SealReply;
    auto onInstall(const Install& install, TimePoint now) -> InstallAck;
    auto onCommit(const Commit& commit, TimePoint now) -> CommitAck;

    /// Applies a record from the map. Records of older epochs are refused from then on.
    auto onMapRecord(const ShardRecord& record) -> void;

    /// Discards tables and records whose retention has passed. To be called about every 100 ms.
    auto tick(TimePoint now) -> void;

    auto tables() const -> std::vector<WitnessedShardInfo>;
    auto bytes() const -> std::size_t;

private:
    auto shardFor(const ShardRef& shard) -> WitnessedShard&;

    mutable std::mutex mutex_;
    const NodeRef self_;
    const WitnessLedgerOptions options_;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<WitnessedShard>> shards_;
    std::size_t bytes_ = 0;
};

} // namespace wagtailhead
