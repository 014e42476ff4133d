/// One TCP connection between two nodes: framing, liveness and sending. Internal to the library.
#pragma once

#include "clock_offset.h"
#include "wagtailhead/peer_transport.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <mutex>
#include <vector>

namespace wagtailhead {

/// Why a connection ended.
enum class CloseReason {
    Local, ///< Closed by this node.
    Lost, ///< Closed or reset by the peer, or a protocol error.
    Silent, ///< Nothing received in time.
};

/// Counters shared by all connections of a transport.
struct PeerCounters {
    std::atomic<std::uint64_t> connectionsOpen_ { 0 };
    std::atomic<std::uint64_t> connectionsLost_ { 0 };
    std::atomic<std::uint64_t> connectionsSilent_ { 0 };
    std::atomic<std::uint64_t> messagesSent_ { 0 };
    std::atomic<std::uint64_t> messagesReceived_ { 0 };
    std::atomic<std::uint64_t> bytesSent_ { 0 };
    std::atomic<std::uint64_t> bytesReceived_ { 0 };
};

/// A connection after TCP is established. Owned by shared pointers held by its pending operations; all
/// callbacks run on its strand. `send` and `close` may be called from any thread.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    using MessageCallback = std::function<void(const std::shared_ptr<PeerConnection>&, Message)>;
    using CloseCallback = std::function<void(const std::shared_ptr<PeerConnection>&, CloseReason)>;

    PeerConnection(asio::ip::tcp::socket socket, std::shared_ptr<const PeerTransportOptions> options,
        std::shared_ptr<PeerCounters> counters);
    ~PeerConnection();

    /// Sends Hello and starts reading. Call once.
    auto start(MessageCallback onMessage, CloseCallback onClose) -> void;

    /// Queues a message. Returns false if the connection is closed or too much is waiting; then no byte
    /// of the message is sent.
    auto send(const Message& message) -> bool;

    auto close(CloseReason reason) -> void;

    /// Returns the sender of the peer's Hello. Valid after the Hello has been received.
    auto remote() const -> const NodeRef&;

    /// Counts requests that wait for a reply, which decides how often the connection is pinged.
    auto addInFlight(int change) -> void;

    /// Returns the last time a message other than Ping and Pong was sent or received.
    auto lastUsed() const -> TimePoint;

private:
    static constexpr std::size_t lengthBytes = 4;
    static constexpr std::size_t clockBytes = 8;
    static constexpr std::size_t headerBytes = lengthBytes + clockBytes;
    static constexpr std::size_t maxFrameBytes = std::size_t { 64 } << 20;
    static constexpr std::size_t readBufferBytes = std::size_t { 16 } << 10;

    auto read() -> void;
    auto onRead(std::size_t bytes) -> void;
    auto takeFrames() -> bool;
    auto handleFrame(std::string_view payload, microseconds senderClock) -> bool;
    auto enqueue(const Message& message) -> bool;
    auto flush() -> void;
    auto finish(CloseReason reason) -> void;
    auto checkLiveness() -> void;

    asio::ip::tcp::socket socket_;
    asio::strand<asio::any_io_executor> strand_;
    asio::steady_timer livenessTimer_;
    std::shared_ptr<const PeerTransportOptions> options_;
    std::shared_ptr<PeerCounters> counters_;
    MessageCallback onMessage_;
    CloseCallback onClose_;

    // Used on the strand only.
    std::string input_;
    std::size_t inputStart_ = 0;
    ClockOffset offset_;
    NodeRef remote_;
    bool helloSeen_ = false;
    TimePoint lastReceived_;
    TimePoint lastCheck_;
    TimePoint pingSentAt_;
    bool pingOutstanding_ = false;
    std::uint64_t pingNumber_ = 0; ///< 0 stands for the Hello.
    /// The shortest round trip seen; an estimate that is too long makes messages look older, never newer.
    Duration shortestRoundTrip_ = Duration::max();
    std::vector<std::string> writing_;

    std::atomic<int> inFlight_ { 0 };
    std::atomic<Clock::rep> lastUsed_;

    std::mutex queueMutex_; // Guards the fields below.
    std::vector<std::string> queue_;
    std::size_t queuedBytes_ = 0;
    bool flushScheduled_ = false;
    bool closed_ = false;
};

} // namespace wagtailhead
