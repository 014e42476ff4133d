/// Operators' control of a node: the administration API and what it needs, wired together.
/// Internal to the library.
#pragma once

#include "admin_api.h"
#include "call_executor.h"
#include "client_config_store.h"
#include "status_collector.h"
#include "wagtailhead/node_settings.h"
#include "wagtailhead/peer_transport.h"
#include "wagtailhead/shard_map.h"

#include <asio/io_context.hpp>

namespace wagtailhead {

/// All parts are thread safe and outlive the control.
struct NodeControlParts {
    asio::io_context& context_;
    const NodeSettings& settings_;
    HttpClient& storeHttp_;
    PeerTransport& transport_;
    ItemTable& items_;
    const ConfigView& config_;
    const MemberTable& members_;
    const ShardMap& shards_;
    const CallExecutor& executor_;
};

/// Thread safe.
class NodeControl {
public:
    explicit NodeControl(NodeControlParts parts, std::uint64_t seed);

    /// Answers a request below /-/admin/.
    auto handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) -> void;

    /// Answers the request of another node for status figures.
    auto onRequest(const SummaryRequest& request, PeerTransport::ReplyFunction reply) -> void;

private:
    auto ownReport() const -> ZoneReport;
    auto shardHolders() const -> std::vector<ShardHolders>;
    auto ask(const Member& member, bool wholeZone, Duration timeout,
        std::function<void(std::optional<ZoneReport>)> callback) -> void;
    auto probeStore(std::function<void(bool)> callback) -> void;
    auto status(const std::function<void(const nlohmann::json&)>& callback) -> void;

    const NodeControlParts parts_;
    StoreClient client_;
    ClientConfigStore store_;
    StatusCollector collector_;
    IntentService intents_;
    AdminApi api_;
};

} // namespace wagtailhead
