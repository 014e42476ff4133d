/// Helpers of the HTTP tests: a running context, a raw connection and a scripted server.
#pragma once

#include "wagtailhead/http.h"

#include <array>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <cstdlib>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace wagtailhead::testing {

/// How long a test waits for something that must happen.
constexpr auto patience = seconds(30);

class RunningContext {
public:
    explicit RunningContext(int threads = 4)
        : work_(context_.get_executor())
    {
        for (int i = 0; i < threads; ++i) {
            threads_.emplace_back([this] {
                context_.run();
            });
        }
    }
    ~RunningContext()
    {
        stop();
    }
    RunningContext(const RunningContext&) = delete;
    auto operator=(const RunningContext&) -> RunningContext& = delete;

    auto stop() -> void
    {
        context_.stop();
        for (auto& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    asio::io_context context_;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;
};

/// Polls until the condition holds; returns false after `patience`.
template <typename Condition> auto eventually(Condition condition) -> bool
{
    const auto deadline = Clock::now() + patience;
    while (!condition()) {
        if (Clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return true;
}

struct RawResponse {
    int status_ = 0; ///< 0 for a request, and if the connection ended first.
    std::string head_;
    std::string body_;
};

/// A blocking connection that sends bytes as they are.
class RawConnection {
public:
    /// Opens the socket without a connection.
    RawConnection()
        : socket_(context_, asio::ip::tcp::v4())
    {
        limitWait();
    }
    explicit RawConnection(const Address& address)
        : RawConnection()
    {
        connect(address);
    }
    explicit RawConnection(asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {
        limitWait();
    }

    auto connect(const Address& address) -> void
    {
        socket_.connect({ asio::ip::make_address(address.ip_), address.port_ });
    }

    /// Makes `close` reset the connection.
    auto resetOnClose() -> void
    {
        socket_.set_option(asio::socket_base::linger(true, 0));
    }

    auto send(const std::string& bytes) -> bool
    {
        asio::error_code error;
        asio::write(socket_, asio::buffer(bytes), error);
        return !error;
    }

    /// Reads one message with Content-Length (or none); for HEAD answers pass `hasBody` false.
    auto receive(bool hasBody = true) -> RawResponse
    {
        RawResponse response;
        std::size_t end = std::string::npos;
        while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore()) {
                return response;
            }
        }
        response.head_ = input_.substr(0, end + 4);
        input_.erase(0, end + 4);
        const auto field = response.head_.find("Content-Length: ");
        const auto length = hasBody && field != std::string::npos
            ? std::strtoul(&response.head_[field + 16], nullptr, 10)
            : 0;
        while (input_.size() < length) {
            if (!readMore()) {
                return {};
            }
        }
        response.body_ = input_.substr(0, length);
        input_.erase(0, length);
        if (const std::string version = "HTTP/1.1 "; response.head_.starts_with(version)) {
            response.status_ = std::atoi(&response.head_[version.size()]);
        }
        return response;
    }

    /// Returns whether the peer closes the connection without sending anything more.
    auto endsCleanly() -> bool
    {
        asio::error_code error;
        char byte = 0;
        return input_.empty() && asio::read(socket_, asio::buffer(&byte, 1), error) == 0
            && error == asio::error::eof;
    }

    auto close() -> void
    {
        asio::error_code ignored;
        socket_.close(ignored);
    }

private:
    auto limitWait() -> void
    {
        const timeval limit { std::chrono::seconds(patience).count(), 0 };
        setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    auto readMore() -> bool
    {
        std::array<char, 65536> buffer {};
        // Plain recv, because Asio would go on waiting after the receive timeout.
        const auto length = ::recv(socket_.native_handle(), buffer.data(), buffer.size(), 0);
        if (length <= 0) {
            return false;
        }
        input_.append(buffer.data(), static_cast<std::size_t>(length));
        return true;
    }

    asio::io_context context_;
    asio::ip::tcp::socket socket_;
    std::string input_;
};

/// Runs a script for each connection that it accepts, each in a thread of its own.
class ScriptedServer {
public:
    using Script = std::function<void(RawConnection&)>;

    explicit ScriptedServer(Script script)
        : acceptor_(context_, { asio::ip::address_v4::loopback(), 0 })
        , address_ { "127.0.0.1", acceptor_.local_endpoint().port() }
        , thread_([this, script = std::move(script)] {
            run(script);
        })
    {
    }
    ~ScriptedServer()
    {
        ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
        thread_.join();
    }
    ScriptedServer(const ScriptedServer&) = delete;
    auto operator=(const ScriptedServer&) -> ScriptedServer& = delete;

    auto address() const -> Address
    {
        return address_;
    }

    std::atomic<int> connections_ = 0;

private:
    auto run(const Script& script) -> void
    {
        std::vector<std::thread> sessions;
        asio::error_code error;
        while (!error) {
            asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket, error);
            if (!error) {
                ++connections_;
                sessions.emplace_back([&script, socket = std::move(socket)]() mutable {
                    RawConnection connection(std::move(socket));
                    script(connection);
                });
            }
        }
        for (auto& session : sessions) {
            session.join();
        }
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    const Address address_;
    std::thread thread_;
};

inline auto openServer(RunningContext& running, HttpServerOptions options, HttpServer::Handler handler)
    -> std::unique_ptr<HttpServer>
{
    options.listen_ = { "127.0.0.1", 0 };
    auto result = HttpServer::open(running.context_, std::move(options), std::move(handler));
    return isOk(result) ? valueOf(std::move(result)) : nullptr;
}

} // namespace wagtailhead::testing
