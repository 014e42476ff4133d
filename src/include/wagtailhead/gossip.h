/// Transport of gossip messages between nodes: nng request/reply over TCP.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/gossip_message.h"
#include "wagtailhead/membership.h"
#include "wagtailhead/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace asio {
class io_context;
}

namespace wagtailhead {

/// Returns the address at which a node of `zone` is dialled (1:1 NAT between sites).
using AddressTranslation = std::function<Address(const Address& announced, const std::string& zone)>;

struct GossipTransportOptions {
    Address listen_;
    /// Applied to addresses with a zone. If it is empty, all addresses are dialled without translation.
    AddressTranslation translate_;
    /// Maximum number of cached connections to other nodes; the least recently used one is evicted.
    std::size_t maxDialers_ = 32;
    /// A connection that carried no request for this long is closed.
    Duration dialerIdle_ = seconds(15);
    /// Requests of other nodes that are handled concurrently; further ones wait in the socket buffers.
    int replyContexts_ = 32;
    std::size_t maxMessageBytes_ = std::size_t { 4 } << 20;
};

struct GossipTransportStats {
    std::uint64_t requestsSent_ = 0;
    std::uint64_t requestsFailed_ = 0;
    std::uint64_t requestsReceived_ = 0;
    std::uint64_t messagesMalformed_ = 0;
    std::uint64_t bytesSent_ = 0; ///< Message bodies, without framing.
    std::uint64_t bytesReceived_ = 0;
    std::uint64_t dialersOpened_ = 0;
    std::uint64_t dialersOpen_ = 0;
};

/// Sends and receives gossip messages. Thread safe. Callbacks run in threads of the Asio context, never
/// inside a call of this class. nng has its own fixed set of threads, shared by the whole process. The
/// context must outlive the transport.
class GossipTransport {
public:
    /// Sends the reply to one request; only the first call has an effect. If the function is destroyed
    /// without a call, the request gets no reply.
    using ReplyFunction = std::function<void(const GossipMessage&)>;
    using Handler = std::function<void(GossipMessage, ReplyFunction)>;
    /// Receives the reply, or nothing if none came in time or the connection broke.
    using Callback = std::function<void(std::optional<GossipMessage>)>;

    /// Opens the listening socket.
    static auto open(asio::io_context& context, GossipTransportOptions options, Handler handler)
        -> Result<std::unique_ptr<GossipTransport>>;

    /// Closes all connections. The callbacks of requests in progress are not called.
    virtual ~GossipTransport() = default;

    /// Sends a request. The callback runs exactly once, unless the transport is destroyed before. After
    /// a failure the connection is closed, so that the next request does not use an unresponsive one.
    virtual auto request(
        const SeedAddress& to, const GossipMessage& message, Duration timeout, Callback callback) -> void
        = 0;

    /// Returns the bound address; if port 0 was requested, it contains the port that was bound.
    virtual auto address() const -> Address = 0;
    virtual auto stats() const -> GossipTransportStats = 0;
};

} // namespace wagtailhead
