/// The listener and the pool against each other and against raw sockets on loopback.
#include "http1_listener.h"
#include "http1_pool.h"
#include "socket_options.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>
#include <linux/filter.h>

using namespace wagtailhead;
using namespace wagtailhead::http1;

namespace {

constexpr Duration patience = seconds(5);

/// A server that answers each request head with the next of its texts and may close after it.
class ScriptedServer {
public:
    struct Step {
        std::string answer_;
        bool close_ = false;
    };

    ScriptedServer(asio::io_context& context, std::vector<Step> steps)
        : acceptor_(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , steps_(std::move(steps))
    {
        accept();
    }

    auto address() const -> Address
    {
        return { "127.0.0.1", acceptor_.local_endpoint().port() };
    }
    auto accepted() const -> int
    {
        return accepted_;
    }

private:
    struct Peer {
        explicit Peer(asio::ip::tcp::socket socket)
            : socket_(std::move(socket))
        {
        }
        asio::ip::tcp::socket socket_;
        asio::streambuf input_;
    };

    auto accept() -> void
    {
        acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error) {
                return;
            }
            ++accepted_;
            serve(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }

    auto serve(const std::shared_ptr<Peer>& peer) -> void
    {
        asio::async_read_until(peer->socket_, peer->input_, "\r\n\r\n",
            [this, peer](const asio::error_code& error, std::size_t size) {
                if (error || next_ >= steps_.size()) {
                    return;
                }
                peer->input_.consume(size);
                const auto& step = steps_[next_++];
                asio::write(peer->socket_, asio::buffer(step.answer_));
                if (step.close_) {
                    peer->socket_.close();
                } else {
                    serve(peer);
                }
            });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::vector<Step> steps_;
    std::size_t next_ = 0;
    int accepted_ = 0;
};

auto get(std::function<void(CallResult)> done) -> PoolCall
{
    PoolCall call;
    call.request_.method_ = "GET";
    call.request_.target_ = "/";
    call.done_ = std::move(done);
    return call;
}

/// Makes one call and returns its result.
auto callOnce(asio::io_context& context, Pool& pool) -> CallResult
{
    std::optional<CallResult> result;
    pool.send(get([&](CallResult got) {
        result = std::move(got);
    }));
    const auto end = Clock::now() + patience;
    while (!result && Clock::now() < end) {
        context.run_for(milliseconds(5));
        context.restart();
        pool.tick(Clock::now());
    }
    cr_assert(result.has_value(), "no result in time");
    return *result;
}

constexpr auto okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

Test(http1_pool, keeps_a_connection_for_the_next_request)
{
    asio::io_context context;
    ScriptedServer server(context, { { okAnswer }, { okAnswer } });
    const auto pool = Pool::create(context, { .server_ = server.address() });
    cr_assert(std::get<Response>(callOnce(context, *pool)).body_ == "ok");
    cr_assert(std::get<Response>(callOnce(context, *pool)).body_ == "ok");
    cr_assert(server.accepted() == 1);
}

Test(http1_pool, an_extra_answer_is_never_taken_for_the_next_request)
{
    asio::io_context context;
    const std::string extra = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    ScriptedServer server(context, { { okAnswer + extra }, { okAnswer } });
    const auto pool = Pool::create(context, { .server_ = server.address() });
    cr_assert(std::get<Response>(callOnce(context, *pool)).body_ == "ok");
    cr_assert(std::get<Response>(callOnce(context, *pool)).body_ == "ok");
    cr_assert(server.accepted() == 2);
}

Test(http1_pool, broken_answers)
{
    struct Case {
        const char* name_;
        const char* answer_;
        Failure failure_;
    };
    const Case cases[] = {
        { "cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", Failure::Lost },
        { "closed without an answer", "", Failure::Lost },
        { "no HTTP", "nonsense\r\n\r\n", Failure::Malformed },
    };
    for (const auto& one : cases) {
        asio::io_context context;
        ScriptedServer server(context, { { one.answer_, true } });
        const auto pool = Pool::create(context, { .server_ = server.address() });
        const auto result = callOnce(context, *pool);
        const auto* failure = std::get_if<Failure>(&result);
        cr_expect(failure != nullptr && *failure == one.failure_, "%s", one.name_);
    }
}

Test(http1_pool, a_closed_port_has_not_seen_the_request)
{
    asio::io_context context;
    asio::ip::tcp::acceptor taken(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const Address address { "127.0.0.1", taken.local_endpoint().port() };
    taken.close();
    const auto pool = Pool::create(context, { .server_ = address });
    cr_assert(std::get<Failure>(callOnce(context, *pool)) == Failure::NotSent);
}

Test(http1_pool, a_request_that_asks_for_a_fresh_connection_gets_a_new_one)
{
    asio::io_context context;
    ScriptedServer server(context, { { okAnswer }, { okAnswer } });
    const auto pool = Pool::create(context, { .server_ = server.address() });
    callOnce(context, *pool);
    context.run_for(milliseconds(30));
    context.restart();
    bool done = false;
    auto call = get([&](const CallResult& result) {
        done = std::holds_alternative<Response>(result);
    });
    call.maxIdle_ = milliseconds(10);
    pool->send(std::move(call));
    context.run_for(milliseconds(200));
    cr_assert(done);
    cr_assert(server.accepted() == 2);
}

namespace {

/// A server that answers each request with `start` and then `repeated` until the connection is closed.
class EndlessServer {
public:
    EndlessServer(asio::io_context& context, std::string start, std::string repeated)
        : acceptor_(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , start_(std::move(start))
        , repeated_(std::move(repeated))
    {
        accept();
    }

    auto address() const -> Address
    {
        return { "127.0.0.1", acceptor_.local_endpoint().port() };
    }
    auto sentBytes() const -> std::size_t
    {
        return sentBytes_;
    }
    auto closedByPeer() const -> int
    {
        return closedByPeer_;
    }

private:
    auto accept() -> void
    {
        acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (!error) {
                send(std::make_shared<asio::ip::tcp::socket>(std::move(socket)),
                    std::make_shared<std::string>(start_));
                accept();
            }
        });
    }

    auto send(const std::shared_ptr<asio::ip::tcp::socket>& socket, const std::shared_ptr<std::string>& text)
        -> void
    {
        asio::async_write(*socket, asio::buffer(*text),
            [this, socket, text](const asio::error_code& error, std::size_t size) {
                sentBytes_ += size;
                if (error) {
                    ++closedByPeer_;
                    return;
                }
                constexpr std::size_t blockBytes = 16384;
                text->clear();
                while (text->size() < blockBytes) {
                    text->append(repeated_);
                }
                send(socket, text);
            });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::string start_;
    std::string repeated_;
    std::size_t sentBytes_ = 0;
    int closedByPeer_ = 0;
};

constexpr auto chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// A backend server in trouble may send bytes that are no response until its peer closes.
Test(http1_pool, closes_a_connection_on_which_a_response_does_not_end)
{
    struct EndlessCase {
        const char* name_;
        const char* start_;
        const char* repeated_;
    };
    const EndlessCase cases[] = {
        { "one header line", "HTTP/1.1 200 OK\r\nX: ", "y" },
        { "header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "body", "HTTP/1.1 200 OK\r\n\r\n", "body" },
        { "chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e" },
        { "chunks", chunkedHead, "4\r\nbody\r\n" },
        { "bytes after the response", okAnswer, "more" },
    };
    for (const auto& one : cases) {
        asio::io_context context;
        EndlessServer server(context, one.start_, one.repeated_);
        const auto pool = Pool::create(context,
            { .server_ = server.address(),
                .maxHeaderBytes_ = 65536,
                .maxResponseBytes_ = std::size_t { 1 } << 20 });
        const auto start = Clock::now();
        const auto result = callOnce(context, *pool);
        const auto* failure = std::get_if<Failure>(&result);
        const bool whole
            = std::holds_alternative<Response>(result) && std::get<Response>(result).body_ == "ok";
        cr_expect(whole || (failure != nullptr && *failure == Failure::Malformed), "%s", one.name_);
        cr_expect(Clock::now() - start < seconds(2), "%s: not ended before the call's timeout", one.name_);
        const auto end = Clock::now() + patience;
        while (server.closedByPeer() == 0 && Clock::now() < end) {
            context.run_for(milliseconds(5));
            context.restart();
        }
        cr_expect(server.closedByPeer() == 1, "%s: the connection is open", one.name_);
        cr_expect(pool->stats().open_ == 0, "%s", one.name_);
    }
}

// Each of many endless bodies stays below the limit of one response, and together they would fill the memory.
Test(http1_pool, all_responses_together_are_bounded)
{
    constexpr int calls = 20;
    constexpr std::size_t total = std::size_t { 4 } << 20;
    asio::io_context context;
    EndlessServer server(context, "HTTP/1.1 200 OK\r\n\r\n", "body");
    const auto pool = Pool::create(context,
        { .server_ = server.address(),
            .maxResponseBytes_ = std::size_t { 64 } << 20,
            .maxBufferedBytes_ = total });
    int malformed = 0;
    for (int i = 0; i < calls; ++i) {
        pool->send(get([&](const CallResult& result) {
            const auto* failure = std::get_if<Failure>(&result);
            malformed += failure != nullptr && *failure == Failure::Malformed ? 1 : 0;
        }));
    }
    const auto end = Clock::now() + patience;
    while (malformed < calls && Clock::now() < end) {
        context.run_for(milliseconds(5));
        context.restart();
        cr_assert(pool->stats().bufferedBytes_ <= total + 65536);
    }
    cr_assert(malformed == calls, "%d of %d calls ended", malformed, calls);
}

// An operator's report: a server sent a second copy of a response late, on a connection that was in use
// again, and the next caller got it. Here the copy arrives at any time of the next call. The pool passes on
// what stands where the response is due, with its headers; the gate compares the attempt id (see gate_test).
// Bytes that precede the request must never be taken for its response.
Test(http1_pool, a_late_copy_on_an_idle_connection_ends_the_connection)
{
    const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    for (std::size_t part = 1; part <= copy.size(); ++part) {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        const auto pool
            = Pool::create(context, { .server_ = { "127.0.0.1", acceptor.local_endpoint().port() } });
        std::optional<CallResult> first;
        pool->send(get([&](CallResult result) {
            first = std::move(result);
        }));
        asio::ip::tcp::socket peer(context);
        acceptor.accept(peer);
        asio::write(peer, asio::buffer(std::string(okAnswer)));
        while (!first) {
            context.run_one_for(milliseconds(100));
        }
        asio::write(peer, asio::buffer(copy.substr(0, part)));
        context.run_for(milliseconds(2));
        context.restart();
        bool answered = false;
        pool->send(get([&](const CallResult& result) {
            answered = std::holds_alternative<Response>(result);
        }));
        context.run_for(milliseconds(2));
        cr_expect(!answered, "the first %zu bytes of the copy", part);
        cr_expect(pool->stats().opened_ == 2, "the first %zu bytes of the copy", part);
    }
}

// As above, and the connection is used again in the same turn of the event loop, before anything can have
// been read on it.
Test(http1_pool, a_connection_is_looked_at_before_it_is_used_again)
{
    struct Remainder {
        const char* name_;
        std::string bytes_;
        bool closes_;
    };
    const Remainder remainders[] = {
        { "an extra response", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", false },
        { "part of one", "HTTP/1.1 200", false },
        { "an extra response and the close", "HTTP/1.1 200 OK\r\n\r\nwrong", true },
        { "the close", "", true },
    };
    for (const auto& remainder : remainders) {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        const auto pool
            = Pool::create(context, { .server_ = { "127.0.0.1", acceptor.local_endpoint().port() } });
        asio::ip::tcp::socket peer(context);
        std::optional<CallResult> second;
        bool sent = false;
        pool->send(get([&](const CallResult&) {
            asio::write(peer, asio::buffer(remainder.bytes_));
            if (remainder.closes_) {
                peer.close();
            }
            pool->send(get([&](CallResult result) {
                second = std::move(result);
            }));
            sent = true;
        }));
        acceptor.accept(peer);
        asio::write(peer, asio::buffer(std::string(okAnswer)));
        while (!sent) {
            context.run_one_for(milliseconds(100));
        }
        acceptor.non_blocking(true);
        asio::ip::tcp::socket other(context);
        asio::error_code error;
        const auto end = Clock::now() + patience;
        do {
            context.run_for(milliseconds(2));
            context.restart();
            acceptor.accept(other, error);
        } while (error && !second && Clock::now() < end);
        cr_assert(!error && !second, "%s: not sent on a new connection", remainder.name_);
        asio::write(other, asio::buffer(std::string(okAnswer)));
        while (!second && Clock::now() < end) {
            context.run_for(milliseconds(2));
            context.restart();
        }
        cr_assert(second.has_value(), "%s: no result", remainder.name_);
        cr_expect(std::get<Response>(*second).body_ == "ok", "%s", remainder.name_);
    }
}

namespace {

auto sealedResponse(const std::string& id, const std::string& body, bool keepAlive = true) -> std::string
{
    return "HTTP/1.1 200 OK\r\nId: " + id + (keepAlive ? "" : "\r\nConnection: close")
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto callWithId(asio::io_context& context, Pool& pool, const std::string& id) -> CallResult
{
    std::optional<CallResult> result;
    auto call = get([&](CallResult got) {
        result = std::move(got);
    });
    call.id_ = id;
    pool.send(std::move(call));
    const auto end = Clock::now() + patience;
    while (!result && Clock::now() < end) {
        context.run_for(milliseconds(5));
        context.restart();
    }
    cr_assert(result.has_value(), "no result in time");
    return *result;
}

} // namespace

// An operator's report: a late copy of a response reached the next caller on the connection. The next caller
// is to get its own response, although the copy stands before it.
Test(http1_pool, a_late_copy_before_the_own_response_is_dropped)
{
    struct CopyCase {
        const char* name_;
        std::string answer_;
        bool own_; ///< Whether the next caller gets its own response, or else whatever the server sent.
    };
    const CopyCase cases[] = {
        { "one copy", sealedResponse("first", "wrong") + sealedResponse("second", "right"), true },
        { "two copies",
            sealedResponse("first", "wrong") + sealedResponse("first", "wrong")
                + sealedResponse("second", "right"),
            false },
        { "a copy that ends the connection", sealedResponse("first", "wrong", false), false },
        { "a response to some other request", sealedResponse("other", "wrong"), false },
    };
    for (const auto& one : cases) {
        asio::io_context context;
        ScriptedServer server(context,
            { { sealedResponse("first", "one") }, { one.answer_ }, { sealedResponse("third", "three") } });
        const auto pool = Pool::create(context, { .server_ = server.address(), .echoHeader_ = "Id" });
        cr_assert(std::get<Response>(callWithId(context, *pool, "first")).body_ == "one");
        const auto second = std::get<Response>(callWithId(context, *pool, "second"));
        cr_expect((second.headers_.find("Id") == "second") == one.own_, "%s", one.name_);
        cr_expect(!one.own_ || second.body_ == "right", "%s", one.name_);
        if (one.own_) {
            cr_expect(pool->stats().lateCopies_ == 1 && pool->stats().open_ == 0, "%s", one.name_);
        }
    }
}

namespace {

auto responseOf(int status, const std::string& body) -> Response
{
    Response response;
    response.status_ = status;
    response.body_ = body;
    return response;
}

struct Served {
    std::vector<std::shared_ptr<Exchange>> exchanges_;
    std::vector<Request> requests_;
};

auto listen(asio::io_context& context, std::uint16_t port, ListenerLimits limits, Served& served)
    -> std::shared_ptr<Listener>
{
    auto listener = Listener::open(context, { "127.0.0.1", port }, limits,
        [&served](Request request, std::shared_ptr<Exchange> exchange) {
            served.requests_.push_back(std::move(request));
            served.exchanges_.push_back(std::move(exchange));
        });
    cr_assert(isOk(listener));
    return valueOf(std::move(listener));
}

auto freePort(asio::io_context& context) -> std::uint16_t
{
    asio::ip::tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return probe.local_endpoint().port();
}

/// Runs the context until `done` or the end of the test's patience.
template <typename Done> auto runUntil(asio::io_context& context, Listener& listener, Done done) -> bool
{
    const auto end = Clock::now() + patience;
    while (!done() && Clock::now() < end) {
        context.run_for(milliseconds(5));
        context.restart();
        listener.tick(Clock::now());
    }
    return done();
}

auto readAll(asio::ip::tcp::socket& socket) -> std::string
{
    std::string text(65536, '\0');
    asio::error_code error;
    const auto size = socket.read_some(asio::buffer(text), error);
    text.resize(size);
    return text;
}

} // namespace

Test(http1_listener, answers_pipelined_requests_in_order)
{
    asio::io_context context;
    Served served;
    const auto port = freePort(context);
    const auto listener = listen(context, port, {}, served);
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::write(client, asio::buffer(std::string("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n")));
    cr_assert(runUntil(context, *listener, [&] {
        return served.requests_.size() == 1;
    }));
    served.exchanges_[0]->respond(responseOf(200, "one"));
    cr_assert(runUntil(context, *listener, [&] {
        return served.requests_.size() == 2;
    }));
    cr_assert(served.requests_[1].target_ == "/2");
    cr_assert(readAll(client).find("one") != std::string::npos);
}

Test(http1_listener, tells_when_the_caller_has_gone)
{
    asio::io_context context;
    Served served;
    const auto port = freePort(context);
    const auto listener = listen(context, port, {}, served);
    bool gone = false;
    {
        asio::ip::tcp::socket client(context);
        client.connect({ asio::ip::make_address("127.0.0.1"), port });
        asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        cr_assert(runUntil(context, *listener, [&] {
            return served.requests_.size() == 1;
        }));
        served.exchanges_[0]->onGone([&] {
            gone = true;
        });
    }
    cr_assert(runUntil(context, *listener, [&] {
        return gone;
    }));
    served.exchanges_[0]->respond(responseOf(200, ""));
    cr_assert(listener->connectionCount() == 0);
}

Test(http1_listener, rejects_what_exceeds_its_limits)
{
    struct Case {
        const char* name_;
        std::string text_;
        const char* status_;
    };
    const Case cases[] = {
        { "headers", "GET / HTTP/1.1\r\nX: " + std::string(200, 'a') + "\r\n\r\n", " 431 " },
        { "body", "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'a'), " 413 " },
        { "malformed", "nonsense\r\n\r\n", " 400 " },
        { "slow headers", "GET / HTTP/1.1\r\nX", " 408 " },
    };
    for (const auto& one : cases) {
        asio::io_context context;
        Served served;
        const auto port = freePort(context);
        const auto listener = listen(context, port, { { 100, 50 }, milliseconds(50), seconds(60) }, served);
        asio::ip::tcp::socket client(context);
        client.connect({ asio::ip::make_address("127.0.0.1"), port });
        asio::write(client, asio::buffer(one.text_));
        cr_expect(runUntil(context, *listener,
                      [&] {
                          return client.available() > 0;
                      }),
            "%s: no answer", one.name_);
        cr_expect(readAll(client).find(one.status_) != std::string::npos, "%s", one.name_);
        cr_expect(served.requests_.empty(), "%s", one.name_);
    }
}

Test(http1_listener, closes_idle_connections_in_order)
{
    asio::io_context context;
    Served served;
    const auto port = freePort(context);
    const auto listener = listen(context, port, { {}, seconds(5), milliseconds(50) }, served);
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address("127.0.0.1"), port });
    runUntil(context, *listener, [&] {
        return listener->connectionCount() == 1;
    });
    std::string text(10, '\0');
    asio::error_code error;
    client.non_blocking(true);
    cr_assert(runUntil(context, *listener, [&] {
        client.read_some(asio::buffer(text), error);
        return error == asio::error::eof;
    }));
}

// An operator's report: requests that had just been accepted were cut off during a planned stop under load.
// The connections stand in the backlog of the listening socket, or their requests in the socket, when the
// listener stops.
Test(http1_listener, serves_what_has_arrived_when_it_stops)
{
    constexpr std::size_t clientCount = 20;
    asio::io_context context;
    Served served;
    const auto port = freePort(context);
    const auto listener = listen(context, port, {}, served);
    std::vector<asio::ip::tcp::socket> clients;
    for (std::size_t i = 0; i < clientCount; ++i) {
        clients.emplace_back(context).connect({ asio::ip::make_address("127.0.0.1"), port });
    }
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    runUntil(context, *listener, [&] {
        return listener->connectionCount() == clientCount;
    });
    for (std::size_t i = 0; i < clientCount; ++i) {
        clients.emplace_back(context).connect({ asio::ip::make_address("127.0.0.1"), port });
    }
    for (auto& client : clients) {
        asio::write(client, asio::buffer(request));
    }
    listener->stop();
    cr_assert(runUntil(context, *listener,
                  [&] {
                      return served.requests_.size() == clients.size();
                  }),
        "%zu of %zu requests were served", served.requests_.size(), clients.size());
    cr_assert(listener->unansweredCount() == clients.size());
    for (const auto& exchange : served.exchanges_) {
        exchange->respond(responseOf(503, ""));
    }
    for (auto& client : clients) {
        const auto text = readAll(client);
        cr_expect(
            text.find(" 503 ") != std::string::npos && text.find("Connection: close") != std::string::npos);
    }
    cr_assert(listener->unansweredCount() == 0);
}

Test(http1_listener, a_response_that_is_still_being_written_is_unanswered)
{
    asio::io_context context;
    Served served;
    const auto port = freePort(context);
    const auto listener = listen(context, port, {}, served);
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    cr_assert(runUntil(context, *listener, [&] {
        return served.requests_.size() == 1;
    }));
    const std::string body(std::size_t { 32 } << 20, 'b');
    served.exchanges_[0]->respond(responseOf(200, body));
    cr_assert(listener->unansweredCount() == 1, "the caller has not read anything");
    client.non_blocking(true);
    cr_assert(runUntil(context, *listener, [&] {
        readAll(client);
        return listener->unansweredCount() == 0;
    }));
}

namespace {

auto runFor(asio::io_context& context, Duration time, const std::function<void()>& tick) -> void
{
    const auto end = Clock::now() + time;
    while (Clock::now() < end) {
        context.run_for(milliseconds(50));
        context.restart();
        tick();
    }
}

/// Reads `size` bytes after a pause of three seconds, during which its receive window closes. Returns how
/// many have arrived.
auto readSlowly(asio::io_context& context, asio::ip::tcp::socket& socket, std::size_t size,
    const std::function<void()>& tick) -> std::size_t
{
    runFor(context, seconds(3), tick);
    std::string bytes(size, ' ');
    std::optional<std::size_t> received;
    asio::async_read(socket, asio::buffer(bytes), [&](const asio::error_code& /*error*/, std::size_t got) {
        received = got;
    });
    const auto end = Clock::now() + patience;
    while (!received && Clock::now() < end) {
        context.run_for(milliseconds(5));
        context.restart();
    }
    return received.value_or(0);
}

/// More than the buffers of both sockets hold.
constexpr std::size_t slowBodyBytes = std::size_t { 8 } << 20;

} // namespace

// The kernel's limit for unacknowledged bytes also ended connections of callers that stopped reading for
// three seconds, and the answers to their orders were lost (review case 2).
Test(http1_listener, a_caller_that_reads_slowly_gets_the_whole_response)
{
    asio::io_context context;
    const Address address { "127.0.0.1", freePort(context) };
    auto listener = valueOf(Listener::open(
        context, address, {}, [](const Request& /*request*/, const std::shared_ptr<Exchange>& exchange) {
            Response response;
            response.body_.assign(slowBodyBytes, 'b');
            exchange->respond(std::move(response));
        }));
    asio::ip::tcp::socket caller(context);
    caller.connect(endpointOf(address));
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    const auto received = readSlowly(context, caller, slowBodyBytes, [&] {
        listener->tick(Clock::now());
        cr_assert(listener->unwrittenBytes() > slowBodyBytes);
    });
    cr_assert(received == slowBodyBytes, "%zu bytes", received);
    caller.close();
    context.run_for(milliseconds(20));
    cr_assert(listener->unwrittenBytes() == 0);
}

// The same limit ended connections to backend servers that read a request slowly; a request that must not run
// twice then failed.
Test(http1_pool, a_server_that_reads_slowly_gets_the_whole_request)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const auto pool = Pool::create(context,
        { .server_ = { "127.0.0.1", acceptor.local_endpoint().port() }, .serverPace_ = PeerPace::Slow });
    std::optional<CallResult> result;
    auto call = get([&](CallResult got) {
        result = std::move(got);
    });
    call.request_.body_ = std::string(slowBodyBytes, 'b');
    pool->send(std::move(call));
    asio::ip::tcp::socket server(context);
    acceptor.accept(server);
    const auto received = readSlowly(context, server, slowBodyBytes, [&] {
        pool->tick(Clock::now());
    });
    cr_assert(received == slowBodyBytes && !result, "%zu bytes", received);
}

// Without the kernel's limit a path to a backend server that has gone silent must still show before the
// call's time is over.
Test(http1_pool, a_silent_path_to_a_slow_server_is_noticed)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const auto pool = Pool::create(context,
        { .server_ = { "127.0.0.1", acceptor.local_endpoint().port() }, .serverPace_ = PeerPace::Slow });
    const auto tick = [&] {
        pool->tick(Clock::now());
    };
    std::optional<CallResult> result;
    pool->send(get([&](CallResult got) {
        result = std::move(got);
    }));
    asio::ip::tcp::socket server(context);
    acceptor.accept(server);
    runFor(context, milliseconds(50), tick);
    asio::write(server, asio::buffer(std::string(okAnswer)));
    runFor(context, milliseconds(50), tick);
    cr_assert(result && std::holds_alternative<Response>(*result));
    result.reset();
    // The peer's kernel drops all that arrives on the connection.
    sock_filter dropAll[] = { BPF_STMT(BPF_RET | BPF_K, 0) };
    const sock_fprog program { 1, dropAll };
    cr_assert(
        setsockopt(server.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
    pool->send(get([&](CallResult got) {
        result = std::move(got);
    }));
    runFor(context, seconds(3), tick);
    cr_assert(pool->stats().reused_ == 1);
    cr_assert(result && std::get<Failure>(*result) == Failure::Lost);
}

/// Guards against reads of one client that run one after another although they were sent together.
Test(http1_listener, requests_that_overlap_run_side_by_side)
{
    asio::io_context context;
    std::vector<std::pair<std::string, std::shared_ptr<Exchange>>> running;
    asio::ip::tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const auto port = probe.local_endpoint().port();
    probe.close();
    auto opened = Listener::open(
        context, { "127.0.0.1", port }, {}, [&](const Request& request, std::shared_ptr<Exchange> exchange) {
            running.emplace_back(request.target_, std::move(exchange));
        });
    const auto listener = valueOf(std::move(opened));
    listener->setOverlap([](const Request& request) {
        return request.method_ == "GET";
    });
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address("127.0.0.1"), port });
    client.non_blocking(true);
    asio::write(client,
        asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                                 "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")));
    const auto runUntil = [&](const std::function<bool()>& done) {
        const auto end = Clock::now() + patience;
        while (!done() && Clock::now() < end) {
            context.run_for(milliseconds(5));
            context.restart();
        }
        return done();
    };
    cr_assert(runUntil([&] {
        return running.size() == 2;
    }));
    const auto answer = [&](std::size_t index) {
        Response response;
        response.status_ = 200;
        response.body_ = running[index].first;
        running[index].second->respond(std::move(response));
    };
    answer(1);
    answer(0);
    cr_assert(runUntil([&] {
        return running.size() == 3;
    }),
        "the order did not start after the reads");
    answer(2);
    std::string text;
    cr_assert(runUntil([&] {
        std::string part(4096, '\0');
        asio::error_code error;
        part.resize(client.read_some(asio::buffer(part), error));
        text += part;
        return text.find("/3") != std::string::npos;
    }));
    cr_assert(text.find("/1") < text.find("/2") && text.find("/2") < text.find("/3"), "%s", text.c_str());
}

// Some thousand callers that sent requests ahead took the process over its memory (review case 10): neither
// the bytes read ahead nor the requests that ran side by side were bounded over all connections.
Test(http1_listener, requests_sent_ahead_are_bounded_over_all_connections)
{
    constexpr std::size_t mostAhead = 16384;
    constexpr int callers = 8;
    constexpr int requestsOfEach = 40;
    asio::io_context context;
    std::vector<std::shared_ptr<Exchange>> running;
    asio::ip::tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const auto port = probe.local_endpoint().port();
    probe.close();
    auto opened = Listener::open(
        context, { "127.0.0.1", port }, {}, [&](const Request&, std::shared_ptr<Exchange> exchange) {
            running.push_back(std::move(exchange));
        });
    const auto listener = valueOf(std::move(opened));
    listener->setBounds({ .readAheadBytes_ = mostAhead });
    listener->setOverlap([](const Request&) {
        return true;
    });
    std::string requests;
    for (int i = 0; i < requestsOfEach; ++i) {
        requests += "GET /x HTTP/1.1\r\nHost: h\r\nFill: " + std::string(500, 'f') + "\r\n\r\n";
    }
    std::vector<asio::ip::tcp::socket> clients;
    for (int i = 0; i < callers; ++i) {
        clients.emplace_back(context);
        clients.back().connect({ asio::ip::make_address("127.0.0.1"), port });
        asio::write(clients.back(), asio::buffer(requests));
        clients.back().non_blocking(true);
    }
    std::size_t answered = 0;
    std::size_t mostRunning = 0;
    const auto end = Clock::now() + patience;
    while (answered < std::size_t { callers } * requestsOfEach && Clock::now() < end) {
        context.run_for(milliseconds(5));
        context.restart();
        mostRunning = std::max(mostRunning, running.size());
        cr_expect(listener->stats().readAheadBytes_ <= mostAhead);
        for (const auto& exchange : std::exchange(running, {})) {
            Response response;
            response.status_ = 200;
            exchange->respond(std::move(response));
            ++answered;
        }
    }
    cr_assert(answered == std::size_t { callers } * requestsOfEach, "%zu answered", answered);
    cr_assert(mostRunning <= callers + mostAhead / 4096, "%zu ran side by side", mostRunning);
    cr_assert(listener->stats().readAheadBytes_ == 0, "%zu are left", listener->stats().readAheadBytes_);
}

// The answer to a HEAD request named a length of 0 whatever the length of the representation was.
Test(http1_message, a_response_to_head_names_no_length_that_it_does_not_know)
{
    Response response;
    response.status_ = 200;
    std::string toHead;
    appendResponse(toHead, response, true);
    cr_assert(toHead == "HTTP/1.1 200 OK\r\n\r\n", "%s", toHead.c_str());
    std::string toGet;
    appendResponse(toGet, response, false);
    cr_assert(toGet == "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "%s", toGet.c_str());
}

// Bodies that come in over links share the bound with callers, some of which stop just short of the end of
// theirs.
Test(http1_listener, long_requests_from_elsewhere_go_before_those_that_stay_unread)
{
    constexpr std::size_t bound = 500000;
    constexpr std::size_t unread = 300000;
    constexpr std::size_t elsewhere = 250000;
    asio::io_context context;
    asio::ip::tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const auto port = probe.local_endpoint().port();
    probe.close();
    auto opened = Listener::open(
        context, { "127.0.0.1", port }, {}, [](const Request&, const std::shared_ptr<Exchange>&) {
            cr_assert_fail("a request without its last byte was handled");
        });
    const auto listener = valueOf(std::move(opened));
    listener->setBounds({ .largeMessageBytes_ = bound });
    asio::ip::tcp::socket client(context);
    client.connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::write(client,
        asio::buffer("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(unread) + "\r\n\r\n"
            + std::string(unread - 1, 'y')));
    const auto end = Clock::now() + patience;
    while (listener->stats().largeMessageBytes_ < unread - 1 && Clock::now() < end) {
        context.run_for(milliseconds(5));
        context.restart();
    }
    cr_assert(!listener->takeRoom(elsewhere), "a caller that has just begun was refused");
    context.run_for(milliseconds(900));
    context.restart();
    auto room = listener->takeRoom(elsewhere);
    cr_assert(room.has_value());
    cr_assert(listener->stats().largeMessageBytes_ == elsewhere);
    context.run_for(milliseconds(50));
    std::string answer(client.available(), '\0');
    asio::read(client, asio::buffer(answer));
    cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    room.reset();
    cr_assert(listener->stats().largeMessageBytes_ == 0);
}
