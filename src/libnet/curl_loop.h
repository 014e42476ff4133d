/// Drives libcurl's multi interface from an Asio context.
#pragma once

#include "curl_transfer.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace wagtailhead {

/// A multi handle with its sockets and timer. Thread safe: one mutex guards all of it, which libcurl
/// requires; callbacks of requests run without it.
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
    /// A connection of libcurl. The waits stay registered while the connection is idle, which saves a
    /// system call for each request.
    struct Socket {
        Socket(asio::io_context& context, curl_socket_t descriptor)
            : descriptor_(context, descriptor)
        {
        }
        asio::posix::stream_descriptor descriptor_;
        bool open_ = true;
        bool wantsRead_ = false;
        bool wantsWrite_ = false;
        bool awaitsRead_ = false;
        bool awaitsWrite_ = false;
    };
    using SocketPointer = std::shared_ptr<Socket>;

    struct Finished {
        HttpClient::Callback callback_;
        HttpResult result_;
    };
    using FinishedList = std::vector<Finished>;

    static auto openSocket(void* self, curlsocktype, curl_sockaddr* address) -> curl_socket_t;
    static auto closeSocket(void* self, curl_socket_t descriptor) -> int;
    static auto onSocketInterest(CURL* easy, curl_socket_t descriptor, int what, void* self, void*) -> int;
    static auto onTimerChange(CURLM*, long timeoutMs, void* self) -> int;

    // The functions below need the mutex held.
    auto awaitSocket(const SocketPointer& socket) -> void;
    auto runDueTimeouts() -> void;
    auto armTimer() -> void;
    auto takeFinished() -> FinishedList;
    auto finish(CURL* easy, CURLcode code) -> Finished;
    auto takeIdleTransfer() -> std::unique_ptr<CurlTransfer>;

    // The functions below take the mutex.
    auto onReadable(const SocketPointer& socket, asio::error_code error) -> void;
    auto onWritable(const SocketPointer& socket, asio::error_code error) -> void;
    auto onTimer(asio::error_code error) -> void;

    auto actOnSocket(std::unique_lock<std::mutex> lock, const SocketPointer& socket, int events) -> void;
    auto postFinished(FinishedList finished) -> void;

    asio::io_context& context_;
    const HttpClientOptions options_;
    std::mutex mutex_;
    CURLM* multi_ = nullptr;
    asio::steady_timer timer_;
    TimePoint curlDue_ = TimePoint::max(); ///< When libcurl wants to be called.
    TimePoint timerDue_ = TimePoint::max(); ///< When `timer_` fires; never later than `curlDue_`.
    bool isShutDown_ = false;
    HttpClient::RequestId lastId_ = 0;
    std::unordered_map<HttpClient::RequestId, std::unique_ptr<CurlTransfer>> active_;
    std::vector<std::unique_ptr<CurlTransfer>> idle_;
    std::unordered_map<curl_socket_t, SocketPointer> sockets_;
};

} // namespace wagtailhead
