/// Responses of a server that does not read the request to its end, as the pool passes them on.
#include "http1_pool.h"

#include <asio/write.hpp>
#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::http1;

namespace {

constexpr Duration patience = seconds(5);
/// More than the buffers of both sockets hold.
constexpr std::size_t uploadBytes = std::size_t { 16 } << 20;
constexpr std::size_t shortBytes = 100;

/// What becomes of the connection behind the bytes of a response.
enum class End : std::uint8_t {
    Reset,
    Close, ///< In order, while the server goes on reading.
    CloseThenReset, ///< In order, and the rest of the request meets a closed socket.
};

/// How far the client is when the connection ends.
enum class Progress : std::uint8_t {
    NothingRead, ///< The response arrives together with the end of the connection.
    ResponseRead,
    RequestWritten,
};

struct EarlyResponse {
    const char* name_;
    std::string bytes_;
    /// Whether it is complete in itself, whatever becomes of the connection.
    bool complete_;
    /// Whether it is complete if the connection ends in order.
    bool completeByClose_;
    int status_ = 200;
};

const EarlyResponse responses[] = {
    { "no length", "HTTP/1.1 200 OK\r\n\r\nbody", false, true },
    { "no length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nbody", false, true },
    { "no length, after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody",
        false, true },
    { "no length, a refusal", "HTTP/1.1 503 Busy\r\n\r\nbody", false, true, 503 },
    { "no body yet", "HTTP/1.1 200 OK\r\n\r\n", false, true },
    { "half a head", "HTTP/1.1 200 OK\r\nA: b\r\n", false, false },
    { "an interim response", "HTTP/1.1 100 Continue\r\n\r\n", false, false },
    { "part of its length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", false, false },
    { "its length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", true, true },
    { "some chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false, false },
    { "all chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true,
        true },
};

/// The server's side of one connection, driven by the test.
class Server {
public:
    explicit Server(asio::io_context& context)
        : acceptor_(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , peer_(context)
    {
    }

    auto address() const -> Address
    {
        return { "127.0.0.1", acceptor_.local_endpoint().port() };
    }
    auto accept() -> void
    {
        acceptor_.accept(peer_);
        peer_.non_blocking(true);
    }
    auto hasReceived() const -> bool
    {
        return peer_.available() > 0;
    }
    auto send(const std::string& bytes) -> void
    {
        asio::write(peer_, asio::buffer(bytes));
    }
    /// Reads what has arrived.
    auto drain() -> void
    {
        std::string buffer(65536, '\0');
        asio::error_code error;
        while (!error) {
            peer_.read_some(asio::buffer(buffer), error);
        }
    }
    auto end(End end) -> void
    {
        if (end != End::Reset) {
            peer_.shutdown(asio::ip::tcp::socket::shutdown_send);
        }
        if (end != End::Close) {
            peer_.set_option(asio::socket_base::linger(true, 0));
            peer_.close();
        }
    }
    auto isOpen() const -> bool
    {
        return peer_.is_open();
    }

private:
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket peer_;
};

auto runFor(asio::io_context& context, Duration time) -> void
{
    context.run_for(time);
    context.restart();
}

/// Plays one response and one end of its connection.
auto play(const EarlyResponse& early, End end, Progress progress) -> CallResult
{
    asio::io_context context;
    Server server(context);
    const auto pool = Pool::create(context, { .server_ = server.address() });
    std::optional<CallResult> result;
    PoolCall call;
    call.request_.method_ = "POST";
    call.request_.target_ = "/order";
    call.request_.body_ = std::string(progress == Progress::RequestWritten ? shortBytes : uploadBytes, 'y');
    call.done_ = [&](CallResult got) {
        result = std::move(got);
    };
    pool->send(std::move(call));
    server.accept();
    const auto limit = Clock::now() + patience;
    while (!server.hasReceived() && Clock::now() < limit) {
        runFor(context, milliseconds(1));
    }
    server.send(early.bytes_);
    if (progress != Progress::NothingRead) {
        runFor(context, milliseconds(5));
    }
    server.end(end);
    while (!result && Clock::now() < limit) {
        runFor(context, milliseconds(1));
        if (server.isOpen()) {
            server.drain();
        }
    }
    cr_assert(result.has_value(), "%s: no result", early.name_);
    cr_expect(pool->stats().idle_ == 0 || progress == Progress::RequestWritten,
        "%s: the connection is used again although part of the request is due", early.name_);
    return *result;
}

} // namespace

// A server answered an upload at once without a length, sent part of the body and reset the connection. The
// write that failed took the error of the socket with it; the next read reported the end of the stream, and
// the caller got the part as a complete response.
Test(http1_pool, an_early_response_without_a_length_is_complete_only_by_an_orderly_close)
{
    for (const auto& early : responses) {
        for (const auto end : { End::Reset, End::Close, End::CloseThenReset }) {
            for (const auto progress :
                { Progress::NothingRead, Progress::ResponseRead, Progress::RequestWritten }) {
                const auto result = play(early, end, progress);
                const bool complete = early.complete_ || (early.completeByClose_ && end != End::Reset);
                const auto* response = std::get_if<Response>(&result);
                const auto* failure = std::get_if<Failure>(&result);
                cr_expect((response != nullptr) == complete, "%s, end %d, progress %d: %s", early.name_,
                    static_cast<int>(end), static_cast<int>(progress),
                    failure != nullptr ? failureName(*failure) : "complete");
                cr_expect(failure == nullptr || *failure == Failure::Lost, "%s: %s", early.name_,
                    failure != nullptr ? failureName(*failure) : "");
                cr_expect(response == nullptr || response->status_ == early.status_, "%s", early.name_);
            }
        }
    }
}
