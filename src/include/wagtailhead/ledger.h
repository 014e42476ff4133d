/// The owner's side of the at-most-once protocol: all keys of the shards that this node owns.
#pragma once

#include "wagtailhead/ledger_limits.h"
#include "wagtailhead/messages.h"
#include "wagtailhead/shard_map.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wagtailhead {

/// Identifies a received CallRequest that waits for its answer. Chosen by the node, never used twice.
using WaiterId = std::uint64_t;

/// Identifies a received Fence whose reply is sent later. Chosen by the node, never used twice.
using FenceToken = std::uint64_t;

/// One key of one shard.
struct KeyRef {
    std::string service_;
    std::string shard_;
    std::string key_;

    auto operator<=>(const KeyRef&) const = default; // NOLINT(modernize-use-nullptr): false finding
};

/// A received `once` call.
struct OnceArrival {
    ShardRef shard_; ///< With the epoch from the map of the entry node.
    std::string key_;
    std::uint64_t bodyHash_ = 0; ///< Of method, path and body.
    AttemptId attempt_;
    TimePoint acceptedAt_;
    TimePoint deadline_;
    WaiterId waiter_ = 0;
};

/// Identifies one try to record one round of a key at one witness.
struct RecordTicket {
    KeyRef key_;
    std::uint64_t epoch_ = 0;
    std::uint64_t round_ = 0;
    int try_ = 0;
    NodeRef witness_;
};

/// A RecordStart to be sent. The node reports its RecordAck with onRecordAck() or its failure with
/// onRecordTimeout(), at the latest `recordTimeout` after sending.
struct RecordRequest {
    RecordTicket ticket_;
    RecordStart message_;
};

/// The answer to one waiter.
struct WaiterReply {
    WaiterId waiter_ = 0;
    Answer answer_;
    /// For NotRun: it may be sent to the caller only before this time (CallReply::notRunUntil_).
    TimePoint notRunUntil_;
};

/// The execution has to be recorded before it may be dispatched; the waiter is answered later.
struct StartRecording {
    std::vector<RecordRequest> requests_; ///< Empty if the epoch has no witness or is being renewed.
    bool ready_ = false; ///< mayDispatch() may be called at once: there is no witness to wait for.
};

/// The key is already being recorded, refused or executed; the waiter gets the same answer later.
struct Join { };

/// The key has been executed; this is its complete answer.
struct Replay {
    Answer answer_;
};

/// Nothing is started for this call. `reason_` notOwner means that another node may own the shard: the
/// entry node then sends the attempt there and does not answer its caller yet.
struct Refuse {
    Outcome outcome_ = Outcome::Unknown;
    int status_ = 0;
    std::string reason_;
    TimePoint notRunUntil_;
};

using BeginResult = std::variant<StartRecording, Join, Replay, Refuse>;

/// Why this node does not run a key.
struct KeyRefusal {
    int status_ = 503;
    std::string reason_;
};

/// What the node has to do after a call of the ledger.
struct OwnerEffects {
    std::vector<WaiterReply> replies_;
    std::vector<std::pair<FenceToken, FenceReply>> fenceReplies_;
    std::vector<RecordRequest> requests_;
    std::vector<std::pair<NodeRef, RecordOutcome>> outcomes_;
    std::vector<KeyRef> ready_; ///< Recorded at all witnesses: call mayDispatch() when a slot is free.
    std::vector<KeyRef> withdrawn_; ///< Were ready; not to be dispatched unless they become ready again.
    /// Witnesses that do not reply and should be replaced, with the service and shard.
    std::vector<std::pair<NodeRef, ShardRef>> unresponsiveWitnesses_;
};

/// The state of a shard table for dumps and for the shard agent.
struct OwnedShardInfo {
    ShardRecord record_;
    bool active_ = false;
    std::size_t entries_ = 0;
    std::size_t running_ = 0;
};

/// A shard table as it is copied between nodes.
struct ShardTable {
    std::vector<ShardEntry> entries_;
    KeyBlocks blocked_;
};

struct OwnerLedgerOptions {
    /// Bound of all tables of the node; at the bound new keys are refused.
    std::size_t maxBytes_ = std::size_t { 40 } << 20;
    /// Bound of one page of a SealReply; an entry larger than it makes a page of its own.
    std::size_t pageBytes_ = std::size_t { 256 } << 10;
};

class OwnedShard;

/// All shards that this node owns or owned. Thread safe: every call locks the whole ledger for a short
/// time and invokes no callbacks. `now` must be read after the message or event that is reported.
///
/// A key is executed at most once because mayDispatch() returns true once for a key, only after all
/// witnesses of the current epoch have acknowledged the newest round of its record in time.
class OwnerLedger {
public:
    explicit OwnerLedger(NodeRef self, OwnerLedgerOptions options = {});
    ~OwnerLedger();
    OwnerLedger(const OwnerLedger&) = delete;
    auto operator=(const OwnerLedger&) -> OwnerLedger& = delete;

    /// Begins a call. `wallNow` is compared with the issue time of keys that carry one. Unless the result is
    /// Replay or Refuse, the waiter gets exactly one WaiterReply later.
    auto begin(const OnceArrival& call, TimePoint now, WallClock::time_point wallNow) -> BeginResult;

    /// Refuses a call that this node will not run (shed, leaving). A key that is open or recorded is
    /// treated as by begin(). A new key is blocked at the witnesses, since only they can confirm that no
    /// successor has run it; then the waiter gets NotRun.
    auto refuse(const OnceArrival& call, const KeyRefusal& refusal, TimePoint now,
        WallClock::time_point wallNow) -> BeginResult;

    auto onRecordAck(const RecordTicket& ticket, const RecordAck& ack, TimePoint now) -> OwnerEffects;

    /// Reports that no acknowledgement was received. The record is sent again while a waiter remains; only
    /// the acknowledgement of the newest try counts.
    auto onRecordTimeout(const RecordTicket& ticket, TimePoint now) -> OwnerEffects;

    /// Returns true once for a key that is recorded at all witnesses and has a waiter whose deadline has not
    /// passed; the key then counts as running and finish() must follow.
    auto mayDispatch(const KeyRef& key, TimePoint now) -> bool;

    /// Abandons a key that has not been dispatched (dropped from the queue). Its waiters get NotRun as
    /// soon as that is confirmed.
    auto abandon(const KeyRef& key, const KeyRefusal& refusal, TimePoint now) -> OwnerEffects;

    /// Reports the end of an execution. The outcome NotRun means that the backend server has certainly not
    /// received the request; Unknown means that it may have run. Keys that are not running are ignored.
    auto finish(const KeyRef& key, const Answer& answer, TimePoint now) -> OwnerEffects;

    /// Handles a Fence sent to this node as the owner. The reply is in `fenceReplies_`, now or of a later
    /// call.
    auto fence(const Fence& fence, FenceToken token, TimePoint now) -> OwnerEffects;

    /// Records the outcome of an execution that an earlier owner started.
    auto onOutcome(const RecordOutcome& outcome, TimePoint now) -> void;

    /// Handles a Seal sent to this node as the owner and returns one page of the table. If the candidate is
    /// this node itself, the shard is being renewed: its undispatched keys wait for the next epoch.
    auto onSeal(const Seal& seal, TimePoint now) -> std::pair<SealReply, OwnerEffects>;

    /// Applies a newer record of a shard from the map, which ends an older epoch of this node.
    auto onMapRecord(const ShardRecord& record, TimePoint now) -> OwnerEffects;

    /// Begins an epoch that this node's takeover has committed. Older or equal epochs are ignored.
    auto activate(const ShardRecord& record, const ShardTable& table, TimePoint now) -> OwnerEffects;

    /// Answers waiters whose deadline has passed and discards records whose retention has passed. To be
    /// called every 10 to 100 ms.
    auto tick(TimePoint now) -> OwnerEffects;

    auto shards() const -> std::vector<OwnedShardInfo>;
    /// Returns whether this node is the active owner of the shard in exactly this epoch.
    auto isActive(const ShardRef& shard) const -> bool;
    auto bytes() const -> std::size_t;

private:
    auto beginOrRefuse(const OnceArrival& call, const std::optional<KeyRefusal>& refusal, TimePoint now,
        WallClock::time_point wallNow) -> BeginResult;
    auto findShard(const std::string& service, const std::string& shard) const -> OwnedShard*;

    mutable std::mutex mutex_;
    const NodeRef self_;
    const OwnerLedgerOptions options_;
    std::map<std::pair<std::string, std::string>, std::unique_ptr<OwnedShard>> shards_;
    std::uint64_t nextRound_ = 1;
    std::size_t bytes_ = 0;
};

} // namespace wagtailhead
