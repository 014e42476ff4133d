/// HTTP/1.1 client with kept connections to one server.
#pragma once

#include "http1_reader.h"
#include "socket_options.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/settings.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <variant>

namespace wagtailhead::http1 {

/// Why no whole response came.
enum class Failure {
    NotSent, ///< No connection could be made; the server has not seen the request.
    Lost, ///< The connection broke after the request was sent, at least in part.
    Malformed, ///< The bytes are no response, or do not end within the limits.
    Timeout,
};

/// Returns "not-sent", "lost", "malformed" or "timeout".
auto failureName(Failure failure) -> const char*;

using CallResult = std::variant<Response, Failure>;

struct PoolOptions {
    Address server_;
    PeerPace serverPace_ = PeerPace::Prompt;
    std::size_t maxConnections_ = 1000;
    Duration connectTimeout_ = seconds(1);
    /// How long an idle connection is used again if the server names no limit.
    Duration idleLimit_ = seconds(5);
    /// The server's own limit, where it names one, minus this time for the way.
    Duration idleMargin_ = milliseconds(700);
    /// Header in which the server repeats the id of a request. A response with the id of the connection's
    /// previous request is a late copy: it is dropped, and the response to the present request is awaited.
    std::string echoHeader_ {};
    std::size_t maxHeaderBytes_ = std::size_t { 64 } << 10;
    std::size_t maxResponseBytes_ = std::size_t { 64 } << 20;
    /// Bound on the bytes of all responses that are being read. Beyond it the longest one counts as
    /// malformed.
    std::size_t maxBufferedBytes_ = std::size_t { 256 } << 20;
};

struct PoolCall {
    Request request_;
    /// Identifies the request in the header `echoHeader_` of its response; see PoolOptions. Empty if there is
    /// none.
    std::string id_;
    Duration timeout_ = seconds(10);
    /// The longest idle time of the connection that carries the request. A request that must not run twice
    /// takes a fresh one, since a connection that the server has closed loses it.
    Duration maxIdle_ = Duration::max();
    std::function<void(CallResult)> done_;
};

struct PoolStats {
    std::uint64_t opened_ = 0;
    std::uint64_t reused_ = 0;
    std::uint64_t lost_ = 0;
    std::uint64_t lateCopies_ = 0; ///< Dropped responses to the connection's previous request.
    std::size_t bufferedBytes_ = 0; ///< Of responses that are being read.
    std::size_t open_ = 0;
    std::size_t idle_ = 0;
};

/// Sends requests, each on a connection of its own for its time. All members and callbacks run in the
/// context's single thread; `done_` never runs inside send().
class Pool {
public:
    using CallId = std::uint64_t;

    static auto create(asio::io_context& context, PoolOptions options) -> std::shared_ptr<Pool>;

    virtual ~Pool() = default;

    virtual auto send(PoolCall call) -> CallId = 0;

    /// Closes the connection of a running call; its callback does not run any more.
    virtual auto cancel(CallId id) -> void = 0;

    /// Ends calls whose time is over and closes old idle connections. Call it every 100 ms or so.
    virtual auto tick(TimePoint now) -> void = 0;

    /// Closes all idle connections, for example because the path to the server may have gone silent.
    virtual auto closeIdle() -> void = 0;

    /// Directs further connections to another address; idle ones are closed.
    virtual auto setServer(const Address& server) -> void = 0;

    virtual auto setMaxConnections(std::size_t count) -> void = 0;

    virtual auto stats() const -> PoolStats = 0;
};

} // namespace wagtailhead::http1
