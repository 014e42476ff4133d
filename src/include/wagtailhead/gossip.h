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

/// Returns the address under which a node of `zone` is dialled (1:1 NAT between sites).
using AddressTranslation = std::function<Address(const Address& announced, const std::string& zone)>;

struct GossipTransportOptions {
    Address listen_;
    /// Applied to addresses with a zone; addresses are dialled as they are if it is empty.
    AddressTranslation translate_;
    /// Connections to other nodes that are kept at most; the least recently used one makes room.
    std::size_t maxDialers_ = 32;
    /// A connection without a request for this long is closed.
    Duration dialerIdle_ = seconds(15);
    /// Requests of other nodes that can be in progress at the same time; more wait in their sockets.
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
/// inside a call of this class. nng runs a fixed set of threads of its own, once for each process. The
/// context must outlive the transport.
class GossipTransport {
public:
    /// Answers one request; only the first call counts. A request whose function is destroyed unused
    /// stays unanswered.
    using ReplyFunction = std::function<void(const GossipMessage&)>;
    using Handler = std::function<void(GossipMessage, ReplyFunction)>;
    /// Receives the reply, or nothing if none came in time or the connection broke.
    using Callback = std::function<void(std::optional<GossipMessage>)>;

    /// Opens the listening socket.
    static auto open(asio::io_context& context, GossipTransportOptions options, Handler handler)
        -> Result<std::unique_ptr<GossipTransport>>;

    /// Closes all connections. Requests in progress get no callback any more.
    virtual ~GossipTransport() = default;

    /// Sends a request. The callback runs exactly once, unless the transport is destroyed before. After
    /// a failure the connection is closed, so that the next request does not meet a silent one.
    virtual auto request(
        const SeedAddress& to, const GossipMessage& message, Duration timeout, Callback callback) -> void
        = 0;

    /// Returns the bound address; the port is the real one if port 0 was asked for.
    virtual auto address() const -> Address = 0;
    virtual auto stats() const -> GossipTransportStats = 0;
};

} // namespace wagtailhead
