/// One accepted connection of the HTTP server, below the server library.
#pragma once

#include "http_inspector.h"
#include "wagtailhead/http.h"

#include <array>
#include <asio/basic_stream_socket.hpp>
#include <asio/basic_waitable_timer.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>
#include <memory>
#include <mutex>
#include <vector>

namespace wagtailhead {

using HttpStrand = asio::strand<asio::io_context::executor_type>;
using HttpSocket = asio::basic_stream_socket<asio::ip::tcp, HttpStrand>;
using HttpTimer = asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, HttpStrand>;

/// Tells the handler of one request that its caller closed the connection. Thread safe.
class CallerWatch {
public:
    /// Marks the request as answered. Returns false if it was answered before.
    auto answer() -> bool;
    auto onGone(std::function<void()> callback) -> void;
    /// Runs the callback unless the request is answered.
    auto callerGone() -> void;

private:
    std::mutex mutex_;
    bool answered_ = false;
    bool gone_ = false;
    std::function<void()> callback_;
};

/// Whole answers that the server gives by itself, by refusal, built for each use.
using RefusalAnswer = std::function<std::string(HttpRefusal)>;

/// What all connections of a server share.
struct HttpConnectionOptions {
    std::size_t maxBodyBytes_ = 0;
    std::size_t maxHeaderBytes_ = 0;
    Duration idleTimeout_ = Duration::zero();
    Duration requestTimeout_ = Duration::zero();
    RefusalAnswer refusalAnswer_;
};

/// Owns the socket of a connection. Inspects what is read, answers refused requests, closes slow and idle
/// connections, and tells running requests when the caller is gone. Everything but CallerWatch runs on the
/// connection's strand.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(HttpSocket socket, std::shared_ptr<const HttpConnectionOptions> options);

    /// Starts the checks for slow and idle connections. `place` is released when the socket is closed.
    auto start(std::shared_ptr<void> place) -> void;

    /// Reads like the socket, but hands only inspected bytes to `handler`. The handler is dropped without
    /// a call when a request is refused; this class then finishes the connection by itself.
    template <typename Handler> auto read(asio::mutable_buffer buffer, Handler handler) -> void;

    template <typename Buffers, typename Handler>
    auto write(const Buffers& buffers, Handler&& handler) -> void
    {
        writingSince_ = Clock::now();
        socket_.async_write_some(buffers, std::forward<Handler>(handler));
    }

    auto cancel() -> void;
    auto isOpen() const -> bool
    {
        return !closing_;
    }
    auto executor() -> HttpStrand
    {
        return socket_.get_executor();
    }

    /// Registers a request that was handed to the handler.
    auto requestStarted(std::shared_ptr<CallerWatch> watch) -> void;

    /// Reports that the answer to the oldest request was written or could not be, and whether the
    /// connection goes on.
    auto answerWritten(bool goesOn) -> void;

    /// Closes the connection. Bytes that the caller is still sending are drained for a while first, since
    /// closing a socket with unread input resets the connection and can destroy an answer under way.
    auto close() -> void;

private:
    /// Inspects `length` bytes of `buffer`; returns how many may be passed on.
    auto inspect(asio::mutable_buffer buffer, std::size_t length) -> std::size_t;
    auto refuse() -> void;
    auto refuseAfterAnswers() -> void;
    auto sendContinue() -> void;
    auto startClosing() -> void;
    /// Reads and discards what the caller sends, until it closes the connection.
    auto drain() -> void;
    auto drainNext() -> void;
    auto closeNow() -> void;
    auto notifyCallersGone() -> void;
    auto scheduleCheck() -> void;
    auto check() -> void;
    auto isOverdue(TimePoint now) const -> bool;

    HttpSocket socket_;
    HttpTimer timer_;
    std::shared_ptr<const HttpConnectionOptions> options_;
    std::shared_ptr<void> place_; ///< Counts towards the connection limit of the server.
    HttpInspector inspector_;
    std::optional<HttpRefusal> refusal_;
    std::vector<std::shared_ptr<CallerWatch>> running_; ///< Oldest first.
    std::string refusalText_;
    std::vector<char> drainBuffer_;
    std::size_t drained_ = 0;
    bool draining_ = false;
    bool peerClosed_ = false;
    bool closing_ = false; ///< The server library is done with the connection.
    TimePoint idleSince_;
    TimePoint requestSince_; ///< Start of a request that arrives in parts.
    TimePoint writingSince_; ///< Start of the current write, or the epoch.
    TimePoint drainUntil_;
};

template <typename Handler> auto HttpConnection::read(asio::mutable_buffer buffer, Handler handler) -> void
{
    if (refusal_) {
        return;
    }
    const auto executor = asio::get_associated_executor(handler);
    socket_.async_read_some(buffer,
        asio::bind_executor(executor,
            [self = shared_from_this(), buffer, handler = std::move(handler)](
                asio::error_code error, std::size_t length) mutable {
                if (error) {
                    self->peerClosed_ = error != asio::error::operation_aborted;
                    handler(error, length);
                    return;
                }
                const auto accepted = self->inspect(buffer, length);
                if (accepted > 0) {
                    handler(error, accepted);
                }
                self->refuseAfterAnswers();
            }));
}

} // namespace wagtailhead
