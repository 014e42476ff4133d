/// One relayed TCP connection between two zones.
#pragma once

#include "link_pairs.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace wagtailhead::standin {

using TcpSocket = asio::ip::tcp::socket;

/// The bytes of one direction of a connection, on their way from one socket to the other.
class RelayFlow {
public:
    /// `pair` is in the direction of the bytes. The pair and the sockets must outlive the flow.
    RelayFlow(asio::io_context& context, TcpSocket& source, TcpSocket& target, ZonePair& pair);

    using Ended = std::function<void(bool failed)>;

    /// Starts to read. `owner` holds the flow and is kept alive while an operation is pending. `ended` runs
    /// when the source has ended and everything before that was delivered, or on an error.
    auto start(const std::shared_ptr<void>& owner, Ended ended) -> void;

    /// Drops what is on its way, and everything that is read from now on. `ended` does not run any more.
    auto silence() -> void;

    /// Drops what is on its way. The owner closes the sockets.
    auto stop() -> void;

private:
    /// Bytes with the time at which they reach the target; no bytes stand for the end of the stream.
    struct Chunk {
        TimePoint due_;
        std::vector<char> bytes_;
    };

    auto waitForBytes() -> void;
    auto readBytes() -> void;
    auto enqueue(std::vector<char> bytes) -> void;
    auto deliverNext() -> void;
    auto deliver() -> void;
    auto delivered(std::size_t size) -> void;
    auto fail() -> void;

    TcpSocket& source_;
    TcpSocket& target_;
    ZonePair& pair_;
    asio::steady_timer timer_;
    std::weak_ptr<void> owner_;
    Ended ended_;
    std::deque<Chunk> chunks_;
    std::vector<char> writing_;
    std::size_t underWay_ = 0; ///< Bytes in chunks_ and writing_.
    bool reading_ = false;
    bool delivering_ = false;
    bool silent_ = false;
    bool sourceEnded_ = false;
};

/// A connection that zone `from` opened to zone `to`. Runs in the one thread of its context.
class RelayConnection : public std::enable_shared_from_this<RelayConnection> {
public:
    /// The pairs must outlive the connection.
    RelayConnection(asio::io_context& context, TcpSocket opener, ZonePair& there, ZonePair& back);
    ~RelayConnection();
    RelayConnection(const RelayConnection&) = delete;
    auto operator=(const RelayConnection&) -> RelayConnection& = delete;

    /// Connects to the target after the delay of a handshake, then relays. A connection of a silent pair
    /// is kept open without a connection to the target.
    auto start(const Address& target) -> void;

    /// Keeps both sockets open, but passes nothing any more.
    auto silence() -> void;

    auto close() -> void;

    auto pair() const -> const ZonePair&;

private:
    auto connect(const Address& target) -> void;
    auto relay() -> void;
    /// Reads and drops the opener's bytes until it closes.
    auto discard() -> void;
    auto flowEnded(bool failed) -> void;

    ZonePair& pair_;
    TcpSocket opener_;
    TcpSocket target_;
    asio::steady_timer handshake_;
    RelayFlow there_;
    RelayFlow back_;
    int endedFlows_ = 0;
    bool silent_ = false;
    bool relaying_ = false;
    bool closed_ = false;
};

} // namespace wagtailhead::standin
