#include "echo.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <memory>
#include <string>

namespace wagtailhead {

namespace {

using asio::ip::tcp;

class EchoSession : public std::enable_shared_from_this<EchoSession> {
public:
    EchoSession(tcp::socket socket, std::size_t bytes)
        : socket_(std::move(socket))
        , buffer_(bytes, '\0')
    {
        socket_.set_option(tcp::no_delay(true));
    }

    auto run() -> void
    {
        asio::async_read(
            socket_, asio::buffer(buffer_), [self = shared_from_this()](asio::error_code error, std::size_t) {
                if (!error) {
                    self->reply();
                }
            });
    }

private:
    auto reply() -> void
    {
        asio::async_write(
            socket_, asio::buffer(buffer_), [self = shared_from_this()](asio::error_code error, std::size_t) {
                if (!error) {
                    self->run();
                }
            });
    }

    tcp::socket socket_;
    std::string buffer_;
};

class EchoServer : public std::enable_shared_from_this<EchoServer> {
public:
    EchoServer(asio::io_context& context, std::size_t bytes)
        : acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , bytes_(bytes)
    {
    }

    auto endpoint() const -> tcp::endpoint
    {
        return acceptor_.local_endpoint();
    }

    auto accept() -> void
    {
        acceptor_.async_accept([self = shared_from_this()](asio::error_code error, tcp::socket socket) {
            if (!error) {
                std::make_shared<EchoSession>(std::move(socket), self->bytes_)->run();
                self->accept();
            }
        });
    }

private:
    tcp::acceptor acceptor_;
    std::size_t bytes_;
};

class EchoWorker : public std::enable_shared_from_this<EchoWorker> {
public:
    EchoWorker(tcp::socket socket, std::size_t bytes, RoundTripRecorder& recorder, std::size_t index)
        : socket_(std::move(socket))
        , buffer_(bytes, 'x')
        , recorder_(recorder)
        , index_(index)
    {
    }

    auto run() -> void
    {
        if (!recorder_.begin(index_)) {
            return;
        }
        asio::async_write(
            socket_, asio::buffer(buffer_), [self = shared_from_this()](asio::error_code error, std::size_t) {
                self->read(error);
            });
    }

private:
    auto read(asio::error_code error) -> void
    {
        if (error) {
            finish(error);
            return;
        }
        asio::async_read(socket_, asio::buffer(buffer_),
            [self = shared_from_this()](asio::error_code readError, std::size_t) {
                self->finish(readError);
            });
    }

    auto finish(asio::error_code error) -> void
    {
        recorder_.end(index_, !error);
        run();
    }

    tcp::socket socket_;
    std::string buffer_;
    RoundTripRecorder& recorder_;
    std::size_t index_;
};

} // namespace

auto measureEcho(asio::io_context& serverContext, asio::io_context& clientContext, const RoundTripPlan& plan,
    std::size_t messageBytes) -> RoundTripResult
{
    const auto server = std::make_shared<EchoServer>(serverContext, messageBytes);
    server->accept();
    RoundTripRecorder recorder(plan);
    for (std::size_t index = 0; index < plan.workers_; ++index) {
        tcp::socket socket(clientContext);
        socket.connect(server->endpoint());
        socket.set_option(tcp::no_delay(true));
        std::make_shared<EchoWorker>(std::move(socket), messageBytes, recorder, index)->run();
    }
    return recorder.wait();
}

} // namespace wagtailhead
