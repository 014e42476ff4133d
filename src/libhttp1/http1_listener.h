/// HTTP/1.1 server for callers: whole requests in, whole responses out.
#pragma once

#include "http1_reader.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/settings.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace wagtailhead::http1 {

class Connection;

struct ListenerLimits {
    ReadLimits read_ { std::size_t { 64 } << 10, std::size_t { 16 } << 20 };
    Duration headerTimeout_ = seconds(10); ///< From the first byte of a request to its last.
    Duration idleTimeout_ = seconds(60); ///< Between requests.
};

/// Bounds on what all callers together make the process hold; 0 for none.
struct ListenerBounds {
    std::size_t connections_ = 0;
    std::size_t smallMessageBytes_ = 0; ///< Of requests of up to largestSmallMessage, read or run.
    std::size_t largeMessageBytes_ = 0; ///< Of longer ones.
    std::size_t readAheadBytes_ = 0; ///< Of what has been received and is not read as requests yet.
};

struct ListenerStats {
    std::uint64_t refusedForMemory_ = 0; ///< Requests that were refused before they were read whole.
    std::uint64_t closedForRoom_ = 0; ///< Connections without a request, closed for new ones.
    std::size_t smallMessageBytes_ = 0; ///< Held now.
    std::size_t largeMessageBytes_ = 0;
    std::size_t readAheadBytes_ = 0;
};

/// The caller's side of one request. Answer exactly once.
class Exchange {
public:
    /// `request` is the place of the request in its connection.
    Exchange(std::shared_ptr<Connection> connection, std::uint64_t request);

    /// Sends the response. Does nothing if the caller has gone.
    auto respond(Response response) -> void;

    /// Runs `handler` once if the caller closes the connection before the response.
    auto onGone(std::function<void()> handler) -> void;

private:
    std::shared_ptr<Connection> connection_;
    std::uint64_t request_;
};

/// Accepts connections and reads requests. All members and callbacks run in the context's single thread.
class Listener {
public:
    using Handler = std::function<void(Request request, std::shared_ptr<Exchange> exchange)>;

    /// Opens the listening socket. The context must outlive the listener.
    static auto open(asio::io_context& context, const Address& address, ListenerLimits limits,
        Handler handler) -> Result<std::shared_ptr<Listener>>;

    virtual ~Listener() = default;

    /// Applies to requests that start from now on.
    virtual auto setLimits(ListenerLimits limits) -> void = 0;

    /// Sets which requests may run beside others of the same connection. Without it, requests that are sent
    /// ahead run one after another. Responses go out in the order of the requests in any case.
    virtual auto setOverlap(std::function<bool(const Request& request)> overlaps) -> void = 0;

    /// Sets the bounds for all callers together. Beyond those on bytes the request that has held most bytes
    /// for the longest time without having been read whole is answered 503. Beyond that on connections the
    /// one that has waited longest for a request is closed, and if there is none, no connection is accepted.
    /// Beyond that on bytes that are read ahead, connections are read only as their requests are answered.
    virtual auto setBounds(const ListenerBounds& bounds) -> void = 0;

    /// Takes memory for a request of so many bytes that another node sends, from the bound on long requests.
    /// For it, requests of callers are refused that have held more bytes for longer than this one would
    /// within a second. Returns nothing if there is still no room.
    virtual auto takeRoom(std::size_t bytes) -> std::optional<MemoryCharge> = 0;

    virtual auto stats() const -> ListenerStats = 0;

    /// Closes connections whose time is over. Call it every few hundred milliseconds.
    virtual auto tick(TimePoint now) -> void = 0;

    /// Marks each further response with `Connection: close`.
    virtual auto startClosing() -> void = 0;

    /// Closes the listening socket and idle connections. Connections that callers have opened already, and
    /// requests that have arrived already, are still served.
    virtual auto stop() -> void = 0;

    virtual auto connectionCount() const -> std::size_t = 0;

    /// Returns the number of connections with a request whose response has not been written completely.
    virtual auto unansweredCount() const -> std::size_t = 0;

    /// Returns the size of all responses that are held because their callers have not read them yet.
    virtual auto unwrittenBytes() const -> std::size_t = 0;
};

} // namespace wagtailhead::http1
