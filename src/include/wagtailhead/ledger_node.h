/// All parts of the at-most-once protocol of one node, without I/O.
#pragma once

#include "wagtailhead/ledger.h"
#include "wagtailhead/shard_agent.h"
#include "wagtailhead/shard_map.h"
#include "wagtailhead/takeover.h"
#include "wagtailhead/witness.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wagtailhead {

/// A request to be sent to a peer; reported with onReply() or onFailure(), exactly once. Seal, Install
/// and Commit belong on the bulk connection, RecordStart on the normal one.
struct LedgerRequest {
    std::uint64_t ticket_ = 0;
    NodeRef to_;
    Message message_;
    Duration timeout_ = Duration::zero();
};

/// Reads an object of the store; reported with onStoreRead().
struct LedgerStoreRead {
    std::uint64_t ticket_ = 0;
    std::string key_;
};

/// Writes an object of the store conditionally (no version: only if it does not exist); reported with
/// onStoreWrite().
struct LedgerStoreWrite {
    std::uint64_t ticket_ = 0;
    std::string key_;
    std::string value_; ///< JSON.
    std::optional<std::uint64_t> expectedVersion_;
};

/// A takeover that began or ended, for the log.
struct TakeoverEvent {
    std::string service_;
    std::string shard_;
    std::string text_; ///< "started", "activated" or "stopped".
    std::string reason_;
    std::uint64_t epoch_ = 0;
};

/// What the node has to do after a call of LedgerNode, in any order.
struct LedgerEffects {
    std::vector<WaiterReply> replies_;
    std::vector<std::pair<FenceToken, FenceReply>> fenceReplies_;
    std::vector<KeyRef> ready_; ///< Call mayDispatch() when a slot is free.
    std::vector<KeyRef> withdrawn_; ///< To be removed from the queue; some become ready again later.
    std::vector<LedgerRequest> requests_;
    std::vector<std::pair<NodeRef, RecordOutcome>> notices_;
    std::vector<LedgerStoreRead> storeReads_;
    std::vector<LedgerStoreWrite> storeWrites_;
    std::vector<ShardRecord> published_; ///< To be distributed by gossip.
    std::vector<TakeoverEvent> events_;
};

/// The input of a tick: membership, shards and declared losses.
struct LedgerSurroundings {
    std::shared_ptr<const MemberList> members_;
    Member self_;
    std::vector<std::string> shards_; ///< All shards of this node's service; empty without `once` operations.
    std::map<NodeRef, WallClock::time_point> declaredLost_;
};

struct LedgerNodeOptions {
    OwnerLedgerOptions owner_;
    WitnessLedgerOptions witness_;
    TakeoverOptions takeover_;
    ShardAgentOptions agent_;
};

/// Owner ledger, witness ledger, takeovers and shard agent of one node. Messages that the node sends to
/// itself are handled internally. Thread safe: every call locks the node for a short time and invokes no
/// callbacks. `now` must be read after the event that is reported.
class LedgerNode {
public:
    /// `map` must outlive the node.
    LedgerNode(
        NodeRef self, ShardMap& map, TimePoint startedAt, std::uint64_t seed, LedgerNodeOptions options = {});

    /// As OwnerLedger::begin() and refuse(); the records to be sent are in the effects.
    auto begin(const OnceArrival& call, TimePoint now, WallClock::time_point wallNow)
        -> std::pair<BeginResult, LedgerEffects>;
    auto refuse(const OnceArrival& call, const KeyRefusal& refusal, TimePoint now,
        WallClock::time_point wallNow) -> std::pair<BeginResult, LedgerEffects>;
    auto mayDispatch(const KeyRef& key, TimePoint now) -> bool;
    auto abandon(const KeyRef& key, const KeyRefusal& refusal, TimePoint now) -> LedgerEffects;
    auto finish(const KeyRef& key, const Answer& answer, TimePoint now) -> LedgerEffects;

    /// Handles a Fence, RecordStart, RecordOutcome, Seal, Install or Commit of a peer. The reply, if any, is
    /// returned; the reply to a Fence may also be in `fenceReplies_` of this or a later call, with this
    /// token.
    auto onMessage(const Message& message, FenceToken token, TimePoint now)
        -> std::pair<std::optional<Message>, LedgerEffects>;

    auto onReply(std::uint64_t ticket, const Message& reply, TimePoint now) -> LedgerEffects;
    auto onFailure(std::uint64_t ticket, TimePoint now) -> LedgerEffects;
    auto onStoreRead(std::uint64_t ticket, const StoreReadResult& result, TimePoint now) -> LedgerEffects;
    auto onStoreWrite(std::uint64_t ticket, const StoreWriteResult& result, TimePoint now) -> LedgerEffects;

    /// Applies a shard record received by gossip or from the store, and adds it to the map.
    auto onMapRecord(const ShardRecord& record, TimePoint now) -> LedgerEffects;

    /// To be called every 10 to 50 ms.
    auto tick(const LedgerSurroundings& surroundings, TimePoint now) -> LedgerEffects;

    auto owner() const -> const OwnerLedger&;
    auto witness() const -> const WitnessLedger&;
    auto takeoversInFlight() const -> std::size_t;

private:
    /// Identifies a request of one takeover. The number distinguishes takeovers of the same shard.
    struct TakeoverTicket {
        std::string shard_;
        std::uint64_t number_ = 0;
        std::uint64_t ticket_ = 0;
    };

    struct NumberedTakeover {
        std::uint64_t number_ = 0;
        std::unique_ptr<Takeover> takeover_;
    };

    using Ticket = std::variant<RecordTicket, TakeoverTicket>;

    /// Requests that this node has sent to itself and that still have to be handled.
    using LocalRequests = std::vector<LedgerRequest>;

    auto moveRequests(BeginResult begun, TimePoint now) -> std::pair<BeginResult, LedgerEffects>;
    auto applyEffects(OwnerEffects&& owner, TimePoint now, LedgerEffects& effects) -> void;
    auto applyEffects(Takeover& takeover, Takeover::Actions&& actions, TimePoint now, LedgerEffects& effects)
        -> void;
    auto send(Ticket ticket, LedgerRequest request, LedgerEffects& effects) -> void;
    auto handleLocalRequests(TimePoint now, LedgerEffects& effects) -> void;
    auto handle(const Message& message, FenceToken token, TimePoint now, LedgerEffects& effects)
        -> std::optional<Message>;
    auto handleReply(std::uint64_t ticket, const Message* reply, TimePoint now, LedgerEffects& effects)
        -> void;
    /// Removes the ticket and returns its takeover, or null if the ticket belongs to no running takeover.
    auto consumeTicket(std::uint64_t ticket, std::uint64_t& takeoverTicket) -> Takeover*;
    auto endTakeover(Takeover& takeover, TimePoint now, LedgerEffects& effects) -> void;
    auto startTakeovers(const LedgerSurroundings& surroundings, TimePoint now, LedgerEffects& effects)
        -> void;
    auto applyMapRecord(const ShardRecord& record, TimePoint now, LedgerEffects& effects) -> void;
    auto viewOf(const Takeover& takeover) const -> TakeoverView;

    mutable std::mutex mutex_;
    const NodeRef self_;
    ShardMap& map_;
    const LedgerNodeOptions options_;
    std::mt19937_64 random_;
    OwnerLedger owner_;
    WitnessLedger witness_;
    ShardAgent agent_;
    std::map<std::string, NumberedTakeover> takeovers_; ///< By shard of this node's service.
    std::uint64_t nextTakeover_ = 1;
    std::shared_ptr<const MemberList> members_;
    std::map<NodeRef, WallClock::time_point> declaredLost_;
    std::uint64_t nextTicket_ = 1;
    std::map<std::uint64_t, Ticket> tickets_;
    LocalRequests localRequests_;
};

} // namespace wagtailhead
