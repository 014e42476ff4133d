/// The node's use of the platform's store. Internal to the library.
#pragma once

#include "ledger_service.h"
#include "wagtailhead/node_settings.h"
#include "wagtailhead/presence.h"
#include "wagtailhead/store_agent.h"
#include "wagtailhead/store_client.h"

namespace wagtailhead {

/// Joins the store client, the agent that watches for the zone, and the shard objects. Thread safe.
class StoreLink final : private ShardStore {
public:
    StoreLink(asio::io_context& context, HttpClient& http, const NodeSettings& settings, MemberTable& members,
        ItemTable& items, PresenceService& presence);

    /// Starts the agent.
    auto start() -> void;

    /// Gives up a lease; `done` runs in a thread of the context.
    auto release(std::function<void()> done) -> void;

    auto shards() -> ShardStore&;
    auto client() -> StoreClient&;

    /// Counts of the calls that this node made.
    auto counts() const -> StoreCallCounts;
    auto agentStats() const -> StoreAgentStats;

private:
    auto read(const std::string& key, std::function<void(StoreReadResult)> callback) -> void override;
    auto write(const std::string& key, const std::string& value, std::optional<std::uint64_t> version,
        std::function<void(StoreWriteResult)> callback) -> void override;

    asio::io_context& context_;
    const NodeSettings& settings_;
    MemberTable& members_;
    ItemTable& items_;
    PresenceService& presence_;
    StoreClient client_;
    std::unique_ptr<StoreAgent> agent_;
};

} // namespace wagtailhead
