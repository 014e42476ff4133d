/// One shard of the owner's ledger.
#pragma once

#include "key_blocks.h"
#include "record_table.h"
#include "wagtailhead/ledger.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wagtailhead {

/// State and options shared by all shards of a ledger.
struct OwnerContext {
    const NodeRef& self_;
    const OwnerLedgerOptions& options_;
    std::uint64_t& nextRound_;
    std::size_t& bytes_;
};

/// The keys of one shard. A key is open while it is being recorded, queued or running. From its dispatch on
/// it is also in the table of started keys, and stays there after it is closed. Not thread safe.
class OwnedShard {
public:
    OwnedShard(OwnerContext context, std::string service, std::string shard);

    auto beginOrRefuse(const OnceArrival& call, std::optional<KeyRefusal> refusal, TimePoint now,
        WallClock::time_point wallNow) -> BeginResult;
    auto onRecordAck(const RecordTicket& ticket, const RecordAck& ack, TimePoint now, OwnerEffects& effects)
        -> void;
    auto onRecordTimeout(const RecordTicket& ticket, TimePoint now, OwnerEffects& effects) -> void;
    auto mayDispatch(const std::string& key, TimePoint now) -> bool;
    auto abandon(const std::string& key, const KeyRefusal& refusal, TimePoint now, OwnerEffects& effects)
        -> void;
    auto finish(const std::string& key, const Answer& answer, TimePoint now, OwnerEffects& effects) -> void;
    auto fence(const Fence& fence, FenceToken token, TimePoint now, OwnerEffects& effects) -> void;
    auto onOutcome(const RecordOutcome& outcome) -> void;
    auto onSeal(const Seal& seal, TimePoint now, OwnerEffects& effects) -> SealReply;
    auto onMapRecord(const ShardRecord& record, TimePoint now, OwnerEffects& effects) -> void;
    auto activate(const ShardRecord& record, const ShardTable& table, TimePoint now, OwnerEffects& effects)
        -> void;
    auto tick(TimePoint now, OwnerEffects& effects) -> void;
    auto info() const -> OwnedShardInfo;
    /// Returns whether the shard is closed and its retention has passed, so that it can be deleted.
    auto isExpired(TimePoint now) const -> bool;

private:
    enum class Mode : std::uint8_t {
        Active,
        Renewing, ///< Sealed for a takeover by this node itself.
        Closed, ///< Another node may own the shard; only started keys are answered.
    };

    enum class KeyState : std::uint8_t {
        Recording,
        Ready,
        Running,
    };

    struct Waiter {
        WaiterId id_ = 0;
        AttemptId attempt_;
        std::uint64_t bodyHash_ = 0;
        TimePoint deadline_;
    };

    struct FenceWaiter {
        FenceToken token_ = 0;
        TimePoint deadline_;
    };

    /// The newest try of a round at one witness.
    struct WitnessTry {
        int try_ = 1;
        TimePoint sentAt_;
        bool answered_ = false;
    };

    struct OpenKey {
        KeyState state_ = KeyState::Recording;
        std::uint64_t bodyHash_ = 0;
        AttemptId attempt_;
        TimePoint acceptedAt_;
        /// If set, the key is refused at the end of the round instead of becoming ready.
        std::optional<KeyRefusal> refusal_;
        bool blockOnly_ = false; ///< The round records nothing and only blocks the key.
        std::uint64_t round_ = 0; ///< 0 if no round is in progress.
        std::map<NodeRef, WitnessTry> tries_;
        std::vector<Waiter> waiters_;
        std::vector<FenceWaiter> fences_;
    };

    using Open = std::map<std::string, OpenKey>;

    auto join(OpenKey& open, const OnceArrival& call) -> BeginResult;
    auto answerStarted(const KeyRecord& record, std::uint64_t bodyHash) const -> BeginResult;
    /// Answers all waiters and fences of a key that another owner has started, and closes it.
    auto endStarted(Open::iterator at, const KeyRecord& record, OwnerEffects& effects) -> void;
    auto checkNew(const OnceArrival& call, TimePoint now, WallClock::time_point wallNow) const
        -> std::optional<Refuse>;
    auto openKey(const OnceArrival& call, std::optional<KeyRefusal> refusal, TimePoint now) -> BeginResult;

    auto startRound(const std::string& key, OpenKey& open, TimePoint now) -> std::vector<RecordRequest>;
    auto makeRequest(const std::string& key, const OpenKey& open, const NodeRef& witness) const
        -> RecordRequest;
    auto pendingTry(const RecordTicket& ticket, OpenKey*& open) -> WitnessTry*;
    auto onRecordRefused(const RecordTicket& ticket, const RecordAck& ack, OpenKey& open, TimePoint now,
        OwnerEffects& effects) -> bool;
    auto completeRound(Open::iterator at, TimePoint now, OwnerEffects& effects) -> void;
    auto answerOtherBodies(OpenKey& open, OwnerEffects& effects) const -> void;

    /// Answers NotRun to all waiters of an undispatched key, and closes it.
    auto refuseOpen(Open::iterator at, const KeyRefusal& refusal, TimePoint notRunUntil, TimePoint now,
        OwnerEffects& effects) -> Open::iterator;
    /// Answers all waiters and fences of a key and closes it.
    auto endOpen(Open::iterator at, const Answer& answer, const FenceReply& fenceReply, TimePoint notRunUntil,
        OwnerEffects& effects) -> Open::iterator;
    auto fenceFromRecord(const std::string& key, std::uint64_t bodyHash) const -> std::optional<FenceReply>;
    auto openFence(const Fence& fence, FenceToken token, TimePoint now, OwnerEffects& effects) -> void;
    auto sendOutcome(const std::string& key, const AttemptId& attempt, const Answer& answer,
        const std::vector<NodeRef>& targets, OwnerEffects& effects) const -> void;
    auto sendLateOutcomes(const std::vector<NodeRef>& targets, OwnerEffects& effects) -> void;

    auto renew(OwnerEffects& effects) -> void;
    auto close(bool tableHandedOver, TimePoint now, OwnerEffects& effects) -> void;
    auto expireWaiters(Open::iterator at, TimePoint now, OwnerEffects& effects) -> Open::iterator;

    OwnerContext context_;
    ShardRecord record_; ///< The newest epoch that was active here; epoch 0 before the first.
    Mode mode_ = Mode::Closed;
    TimePoint closedAt_;
    RecordTable table_;
    BlockTable blocks_;
    Open open_;
    std::optional<EpochMembers> successor_;
    /// Keys that finished during or after the copying of the table. Their outcomes are sent again once the
    /// members of the next epoch are available.
    std::set<std::string> lateKeys_;
};

} // namespace wagtailhead
