/// Drives libcurl's multi interface from an Asio context.
#pragma once

#include "curl_transfer.h"
#include "host_queue.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <memory>
#include <unordered_map>

namespace wagtailhead {

/// A multi handle with its sockets and timer. libcurl must not be entered by two threads at once, so all of
/// it runs on one strand: a thread that finds the strand busy leaves its work there instead of waiting.
/// The public functions are thread safe. Callbacks of requests run outside the strand.
class CurlLoop : public std::enable_shared_from_this<CurlLoop> {
public:
    CurlLoop(asio::io_context& context, HttpClientOptions options);
    ~CurlLoop();
    CurlLoop(const CurlLoop&) = delete;
    auto operator=(const CurlLoop&) -> CurlLoop& = delete;

    auto send(const Address& address, HttpRequest request, Duration timeout, HttpClient::Callback callback)
        -> HttpClient::RequestId;
    auto cancel(HttpClient::RequestId id) -> void;

    /// Cancels all requests and closes all connections. Nothing can be sent afterwards.
    auto shutdown() -> void;

private:
    /// A connection of libcurl, watched through a duplicate of its descriptor, because libcurl closes some
    /// sockets without a call of closeSocket: the number of such a socket may soon mean another file. The
    /// waits stay registered while the connection is idle, which saves a system call for each request.
    struct Socket {
        Socket(asio::io_context& context, curl_socket_t descriptor, int duplicate)
            : descriptor_(descriptor)
            , watched_(context, duplicate)
        {
        }
        const curl_socket_t descriptor_;
        asio::posix::stream_descriptor watched_;
        bool open_ = true;
        bool established_ = false;
        bool wantsRead_ = false;
        bool wantsWrite_ = false;
        bool awaitsRead_ = false;
        bool awaitsWrite_ = false;
    };
    using SocketPointer = std::shared_ptr<Socket>;

    struct Active {
        std::unique_ptr<CurlTransfer> transfer_;
        Address address_;
    };

    struct Finished {
        HttpClient::Callback callback_;
        HttpResult result_;
    };

    static auto openSocket(void* self, curlsocktype, curl_sockaddr* address) -> curl_socket_t;
    static auto closeSocket(void* self, curl_socket_t descriptor) -> int;
    static auto onSocketInterest(CURL* easy, curl_socket_t descriptor, int what, void* self, void*) -> int;
    static auto onTimerChange(CURLM*, long timeoutMs, void* self) -> int;

    // Everything below runs on the strand.
    auto start(QueuedRequest request) -> void;
    /// Hands a request that counts as running to libcurl.
    auto launch(QueuedRequest request) -> void;
    auto cancelNow(HttpClient::RequestId id) -> void;
    auto cancelAll() -> void;
    /// Starts watching a socket of libcurl. Returns null if that fails.
    auto watchSocket(curl_socket_t descriptor) -> SocketPointer;
    auto forgetSocket(curl_socket_t descriptor) -> void;
    auto awaitSocket(const SocketPointer& socket) -> void;
    auto onReadable(const SocketPointer& socket, asio::error_code error) -> void;
    auto onWritable(const SocketPointer& socket, asio::error_code error) -> void;
    auto act(const SocketPointer& socket, int events) -> void;
    /// Runs what libcurl wants run by now, reports finished requests and sets the timer.
    auto settle() -> void;
    auto reportFinished() -> void;
    auto armTimer() -> void;
    /// Ends a running request and starts the next one that waits for the same address.
    auto finish(CURL* easy, CURLcode code) -> Finished;
    auto report(Finished finished) -> void;

    asio::io_context& context_;
    asio::strand<asio::io_context::executor_type> strand_;
    const HttpClientOptions options_;
    CURLM* multi_ = nullptr;
    asio::steady_timer timer_;
    TimePoint curlDue_ = TimePoint::max(); ///< When libcurl wants to be called.
    TimePoint timerDue_ = TimePoint::max(); ///< When `timer_` fires; never later than needed.
    HostQueue queue_;
    bool isShutDown_ = false;
    std::atomic<HttpClient::RequestId> lastId_ = 0;
    std::unordered_map<HttpClient::RequestId, Active> active_;
    std::unordered_map<curl_socket_t, SocketPointer> sockets_;
};

} // namespace wagtailhead
