/// Connects the at-most-once ledger with the network, the store and the timers of the node.
/// Internal to the library.
#pragma once

#include "once_guard.h"
#include "wagtailhead/active_config.h"
#include "wagtailhead/ledger_node.h"
#include "wagtailhead/peer_transport.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <nlohmann/json_fwd.hpp>
#include <unordered_map>

namespace wagtailhead {

/// The shard objects in the platform's store. Callbacks run in threads of the Asio context.
class ShardStore {
public:
    virtual ~ShardStore() = default;
    virtual auto read(const std::string& key, std::function<void(StoreReadResult)> callback) -> void = 0;
    /// Writes if the object has the version, or does not exist if there is none.
    virtual auto write(const std::string& key, const std::string& value, std::optional<std::uint64_t> version,
        std::function<void(StoreWriteResult)> callback) -> void
        = 0;
};

struct LedgerServiceParts {
    asio::io_context& context_;
    PeerTransport& transport_;
    MemberTable& members_;
    ConfigView& config_;
    ShardMap& shards_;
    ShardStore& store_;
    NodeRef self_;
    std::string service_;
    /// Spreads a shard record by gossip.
    std::function<void(VersionedItem)> publish_;
};

/// The ledger of one node with its I/O. Thread safe. `mutex_` is never held during a call of another
/// part.
class LedgerService final : public OnceGuard {
public:
    LedgerService(LedgerServiceParts parts, std::uint64_t seed);
    ~LedgerService() override;

    /// Starts the timers.
    auto start() -> void;

    auto begin(const CallRequest& call, std::optional<Answer> refusal, Events events) -> void override;
    auto mayDispatch(const CallRequest& call) -> bool override;
    auto refused(const CallRequest& call, const Answer& refusal) -> void override;
    auto finished(const CallRequest& call, const Answer& answer) -> void override;

    /// Handles Fence, RecordStart, RecordOutcome, Seal, Install and Commit of another node.
    auto onMessage(const Message& message, const PeerTransport::ReplyFunction& reply) -> void;

    /// Answers a fence that this node addresses to itself.
    auto fenceHere(const Fence& fence, std::function<void(FenceReply)> reply) -> void;

    /// Takes in a shard record that arrived by gossip or from the store.
    auto onMapItem(const VersionedItem& item) -> void;

    /// Returns the number of shards that this node owns.
    auto activeShards() const -> std::size_t;

    /// Returns whether every shard of the own service that can have an owner has one in the map.
    auto allShardsOwned() const -> bool;

    auto dump() const -> nlohmann::json;

private:
    /// What has to be told about one key that waits for its dispatch or runs.
    struct KeyExecution {
        Events events_;
        TimePoint since_;
    };

    static auto keyOf(const CallRequest& call) -> KeyRef;
    auto apply(LedgerEffects effects) -> void;
    auto send(LedgerRequest request) -> void;
    auto sendNotice(const NodeRef& to, RecordOutcome notice) -> void;
    auto answerWaiter(WaiterReply reply) -> void;
    auto answerFence(FenceToken token, FenceReply reply) -> void;
    auto log(const TakeoverEvent& event) -> void;
    auto setExecution(const KeyRef& key, const Events& events, TimePoint now) -> void;
    auto eventsOf(const KeyRef& key) -> std::optional<Events>;
    auto forgetOldExecutions(TimePoint now) -> void;
    auto tick() -> void;
    auto isIdle() const -> bool;
    auto ownShardNames() const -> std::vector<std::string>;

    LedgerServiceParts parts_;
    LedgerNode ledger_;
    asio::steady_timer timer_;
    std::atomic<std::uint64_t> nextId_ { 1 };

    mutable std::mutex mutex_; // Guards the fields below.
    std::unordered_map<WaiterId, Events> waiters_;
    std::map<KeyRef, KeyExecution> executions_;
    std::unordered_map<FenceToken, std::function<void(FenceReply)>> fences_;
    TimePoint nextForget_;
};

} // namespace wagtailhead
