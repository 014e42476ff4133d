/// Long-lived, multiplexed TCP connections between nodes.
#pragma once

#include "wagtailhead/messages.h"
#include "wagtailhead/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhead {

/// Which of the two connections to a peer carries a message. Bulk bodies do not delay the rest.
enum class PeerChannel : std::uint8_t {
    Normal,
    Bulk,
};

/// Network bits that replace those of announced addresses for peers of one zone (1:1 NAT).
struct ZoneTranslation {
    std::string zone_;
    std::uint32_t prefix_ = 0;
    int bits_ = 0;
};

/// Parses `ZONE=a.b.c.d/bits`.
auto parseZoneTranslation(std::string_view text) -> Result<ZoneTranslation>;

/// Returns the address under which a peer of `zone` is dialled.
auto translateAddress(
    const Address& announced, const std::string& zone, const std::vector<ZoneTranslation>& table) -> Address;

/// A peer as the transport dials it.
struct PeerTarget {
    NodeRef ref_;
    std::string zone_;
    Address address_; ///< As announced; the transport translates it.
};

struct PeerTransportOptions {
    NodeRef self_;
    std::string zone_;
    Address listen_;
    std::vector<ZoneTranslation> translations_;
    Duration pingInterval_ = milliseconds(500);
    Duration silenceLimit_ = milliseconds(1500);
    Duration connectTimeout_ = milliseconds(1000);
    /// Bytes that may wait for a slow peer per connection; beyond it sends fail.
    std::size_t maxPendingBytes_ = std::size_t { 16 } << 20;
};

/// How a request to a peer failed.
enum class PeerFailure {
    NotSent, ///< The request was never handed to the network: the peer cannot have seen it.
    Lost, ///< The connection broke or went silent after sending: the peer may have seen it.
    Timeout, ///< No reply in time.
};

/// Counters of the transport for dumps and metrics.
struct PeerTransportStats {
    std::uint64_t connectionsOpen_ = 0;
    std::uint64_t connectionsLost_ = 0;
    std::uint64_t connectionsSilent_ = 0;
    std::uint64_t messagesSent_ = 0;
    std::uint64_t messagesReceived_ = 0;
    std::uint64_t bytesSent_ = 0;
    std::uint64_t bytesReceived_ = 0;
};

/// Sends and receives messages between nodes. Thread safe. Callbacks run in threads of the Asio
/// context, never inside a call of this class.
class PeerTransport {
public:
    /// Sends an answer to a request over the connection on which the request came. Does nothing if
    /// that connection is gone.
    using ReplyFunction = std::function<void(Message)>;

    /// Runs for every message that is not a reply to a request of this node: CallRequest, CancelCall,
    /// Fence, RecordStart, RecordOutcome, Seal, Install, SummaryRequest. `from` is the sender of the
    /// connection's Hello.
    using Handler = std::function<void(const NodeRef& from, Message message, ReplyFunction reply)>;

    using ReplyCallback = std::function<void(std::variant<Message, PeerFailure>)>;

    static auto open(asio::io_context& context, PeerTransportOptions options, Handler handler)
        -> Result<std::unique_ptr<PeerTransport>>;

    virtual ~PeerTransport() = default;

    /// Sends a request (CallRequest, Fence, RecordStart, Seal, Install or SummaryRequest) and waits for its
    /// reply. The transport fills in the request id of the message and returns it. The callback runs exactly
    /// once.
    virtual auto request(const PeerTarget& peer, PeerChannel channel, Message message, Duration timeout,
        ReplyCallback callback) -> std::uint64_t = 0;

    /// Stops waiting for a request and sends CancelCall if it was a CallRequest. The callback of the
    /// request does not run any more.
    virtual auto cancel(std::uint64_t requestId) -> void = 0;

    /// Sends a message without a reply (RecordOutcome). Dropped if the peer cannot be reached.
    virtual auto notify(const PeerTarget& peer, PeerChannel channel, Message message) -> void = 0;

    /// Opens connections ahead to these peers and keeps them; connections to others that carry nothing
    /// are closed after a while.
    virtual auto keepWarm(std::vector<PeerTarget> peers) -> void = 0;

    /// Returns whether a usable connection to exactly this incarnation is open.
    virtual auto isConnected(const NodeRef& peer) const -> bool = 0;

    virtual auto stats() const -> PeerTransportStats = 0;

    /// Stops accepting connections. Open ones go on.
    virtual auto stopAccepting() -> void = 0;
};

} // namespace wagtailhead
