/// The node's use of the platform's store. Internal to the library.
#pragma once

#include "ledger_service.h"
#include "wagtailhead/http.h"
#include "wagtailhead/node_settings.h"
#include "wagtailhead/presence.h"

#include <asio/steady_timer.hpp>
#include <atomic>

namespace wagtailhead {

/// Reads the configuration and the shard records, and writes shard records. Thread safe.
class StoreLink final : private ShardStore {
public:
    StoreLink(asio::io_context& context, HttpClient& http, const NodeSettings& settings, MemberTable& members,
        ItemTable& items, PresenceService& presence);

    /// Starts reading.
    auto start() -> void;

    auto shards() -> ShardStore&;

    /// Returns whether the last call of the store succeeded.
    auto isReachable() const -> bool;

private:
    auto read(const std::string& key, std::function<void(StoreReadResult)> callback) -> void override;
    auto write(const std::string& key, const std::string& value, std::optional<std::uint64_t> version,
        std::function<void(StoreWriteResult)> callback) -> void override;
    auto poll(const std::string& prefix) -> void;
    auto onList(const HttpResult& result) -> void;
    auto schedule() -> void;

    HttpClient& http_;
    const Address store_;
    ItemTable& items_;
    asio::steady_timer timer_;
    std::atomic<bool> reachable_ { false };
};

} // namespace wagtailhead
