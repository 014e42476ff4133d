#include "http_test_support.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <filesystem>
#include <sys/socket.h>

using namespace wagtailhead;
using namespace wagtailhead::testing;

namespace {

const std::string okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

auto get() -> HttpRequest
{
    return { "GET", "/p?q=1", {}, {} };
}

auto post(std::string body) -> HttpRequest
{
    return { "POST", "/p", {}, std::move(body) };
}

/// Sends a request and waits for its result.
auto call(HttpClient& client, const Address& address, HttpRequest request, Duration timeout = patience)
    -> HttpResult
{
    std::promise<HttpResult> promise;
    auto future = promise.get_future();
    client.send(address, std::move(request), timeout, [&](HttpResult result) {
        promise.set_value(std::move(result));
    });
    cr_assert(future.wait_for(patience * 2) == std::future_status::ready, "no callback");
    return future.get();
}

auto bodyOf(const HttpResult& result) -> std::string
{
    const auto* response = std::get_if<HttpResponse>(&result);
    return response != nullptr ? response->body_ : "failure " + std::to_string(result.index());
}

auto isFailure(const HttpResult& result, HttpFailure failure) -> bool
{
    const auto* actual = std::get_if<HttpFailure>(&result);
    return actual != nullptr && *actual == failure;
}

/// Returns a loopback address on which nobody listens.
auto refusedAddress() -> Address
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/// A listener whose queue is full, so that connections to it are not established.
class FullListener {
public:
    FullListener()
        : acceptor_(context_)
    {
        acceptor_.open(asio::ip::tcp::v4());
        acceptor_.bind({ asio::ip::address_v4::loopback(), 0 });
        acceptor_.listen(0);
        filler_ = std::make_unique<RawConnection>(address());
    }

    auto address() const -> Address
    {
        return { "127.0.0.1", acceptor_.local_endpoint().port() };
    }

private:
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::unique_ptr<RawConnection> filler_;
};

struct FailureCase {
    const char* name_;
    ScriptedServer::Script script_;
    HttpFailure failure_;
    Duration timeout_ = patience;
};

} // namespace

/// Guards against "not sent" for a request that a server may have run, and against half answers.
Test(http_client, failures_are_classified)
{
    const std::vector<FailureCase> cases {
        { "closes after reading the request",
            [](RawConnection& peer) {
                peer.receive();
            },
            HttpFailure::Lost },
        { "answers with half a body",
            [](RawConnection& peer) {
                peer.receive();
                peer.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            },
            HttpFailure::Lost },
        { "answers with half a chunked body",
            [](RawConnection& peer) {
                peer.receive();
                peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
            },
            HttpFailure::Lost },
        { "answers with something else",
            [](RawConnection& peer) {
                peer.receive();
                peer.send("\x01\x02\x03\r\n\r\n");
            },
            HttpFailure::Lost },
    };
    RunningContext running;
    const auto client = HttpClient::create(running.context_, {});
    for (const auto& one : cases) {
        for (const auto& request : { get(), post("body"), post(std::string(std::size_t { 1 } << 20, 'x')) }) {
            ScriptedServer server(one.script_);
            cr_expect(isFailure(call(*client, server.address(), request, one.timeout_), one.failure_),
                "%s, %s of %zu bytes", one.name_, request.method_.c_str(), request.body_.size());
            cr_expect_eq(server.connections_, 1, "%s", one.name_);
        }
    }
}

/// Guards against "not sent" for a request that ran out of time after a server had read it. A request that
/// has not left in its time is not sent, so such a try proves nothing and is made again.
Test(http_client, a_request_that_was_read_is_not_called_not_sent)
{
    constexpr int mostTries = 20;
    const std::pair<const char*, const char*> cases[] {
        { "never answers", "" },
        { "never ends its answer", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf" },
    };
    RunningContext running;
    const auto client = HttpClient::create(running.context_, {});
    for (const auto& [name, part] : cases) {
        for (const auto& request : { get(), post("body"), post(std::string(std::size_t { 1 } << 20, 'x')) }) {
            bool timedOut = false;
            for (int i = 0; i < mostTries && !timedOut; ++i) {
                std::atomic<bool> read = false;
                auto failure = HttpFailure::Lost;
                {
                    ScriptedServer server([&read, part = std::string(part)](RawConnection& peer) {
                        read = !peer.receive().head_.empty();
                        peer.send(part);
                        peer.receive(); // Ends when the client closes.
                    });
                    const auto result = call(*client, server.address(), request, milliseconds(200));
                    cr_assert(std::holds_alternative<HttpFailure>(result), "%s", name);
                    failure = std::get<HttpFailure>(result);
                    cr_expect(server.connections_ <= 1, "%s", name);
                } // The server has read what has come.
                timedOut = failure == HttpFailure::Timeout;
                cr_expect(timedOut || (failure == HttpFailure::NotSent && !read), "%s, %s of %zu bytes: %d",
                    name, request.method_.c_str(), request.body_.size(), static_cast<int>(failure));
            }
            cr_expect(timedOut, "%s, %s of %zu bytes never left", name, request.method_.c_str(),
                request.body_.size());
        }
    }
}

/// Guards against "may have run" for requests of which nothing left, which costs a retry or an order.
Test(http_client, requests_that_never_left_are_not_sent)
{
    RunningContext running;
    HttpClientOptions options;
    options.connectTimeout_ = milliseconds(200);
    const auto client = HttpClient::create(running.context_, options);
    cr_expect(isFailure(call(*client, refusedAddress(), post("x")), HttpFailure::NotSent), "refused");

    const FullListener full;
    cr_expect(isFailure(call(*client, full.address(), post("x")), HttpFailure::NotSent), "connect timeout");
    cr_expect(isFailure(call(*client, full.address(), post("x"), milliseconds(50)), HttpFailure::NotSent),
        "timeout before the connection");

    for (const HttpRequest& invalid : { HttpRequest { "GET", "/a b", {}, {} },
             HttpRequest { "GET", "/p", { { "X-A", "1\r\nX-B: 2" } }, {} },
             HttpRequest { "GET", "/p", { { "X A", "1" } }, {} }, HttpRequest { "G T", "/p", {}, {} } }) {
        cr_expect(
            isFailure(call(*client, refusedAddress(), invalid), HttpFailure::NotSent), "invalid request");
    }
}

/// Guards against a new connection for each request.
Test(http_client, connections_are_reused)
{
    RunningContext running;
    ScriptedServer server([](RawConnection& peer) {
        while (!peer.receive().head_.empty() && peer.send(okAnswer)) { }
    });
    {
        const auto client = HttpClient::create(running.context_, {});
        for (int i = 0; i < 20; ++i) {
            cr_assert_eq(bodyOf(call(*client, server.address(), post("x"))), "ok");
        }
        cr_assert_eq(server.connections_, 1);
    }
}

/// Guards against libcurl repeating a request silently when the reused connection died under it: the
/// server may have run the first copy.
Test(http_client, request_on_a_dying_reused_connection_is_lost_and_not_repeated)
{
    for (const auto& request : { get(), post("x"), post(std::string(std::size_t { 1 } << 20, 'x')) }) {
        RunningContext running;
        std::atomic<int> seen = 0;
        ScriptedServer server([&](RawConnection& peer) {
            seen += peer.receive().head_.empty() ? 0 : 1;
            peer.send(okAnswer);
            seen += peer.receive().head_.empty() ? 0 : 1;
        });
        const auto client = HttpClient::create(running.context_, {});
        cr_assert_eq(bodyOf(call(*client, server.address(), get())), "ok");
        cr_assert(isFailure(call(*client, server.address(), request), HttpFailure::Lost));
        cr_assert_eq(seen, 2, "seen %d conns %d size %zu", seen.load(), server.connections_.load(),
            request.body_.size());
        cr_assert_eq(server.connections_, 1);
    }
}

/// Guards against failing a request because the server closed its idle connection before it.
Test(http_client, connection_closed_while_idle_is_replaced)
{
    RunningContext running;
    std::atomic<int> ended = 0;
    ScriptedServer server([&](RawConnection& peer) {
        peer.receive();
        peer.send(okAnswer);
        peer.close();
        ++ended;
    });
    const auto client = HttpClient::create(running.context_, {});
    for (int i = 1; i <= 5; ++i) {
        cr_assert_eq(bodyOf(call(*client, server.address(), post("x"))), "ok");
        cr_assert(eventually([&] {
            return ended == i;
        }));
    }
    cr_assert_eq(server.connections_, 5);
}

/// Guards against an answer that ends the process: libcurl added the folded first line to a field of the
/// answer to an earlier request, whose memory it had freed.
Test(http_client, a_folded_line_without_a_field_before_it_is_survived)
{
    const std::string folded = "HTTP/1.1 200 OK\r\n X: folded\r\nContent-Length: 2\r\n\r\nok";
    RunningContext running;
    ScriptedServer server([&](RawConnection& peer) {
        while (!peer.receive().head_.empty() && peer.send(okAnswer) && !peer.receive().head_.empty()
            && peer.send(folded)) { }
    });
    {
        const auto client = HttpClient::create(running.context_, {});
        for (int i = 0; i < 20; ++i) {
            cr_assert_eq(bodyOf(call(*client, server.address(), get())), "ok");
            call(*client, server.address(), post("x"));
        }
    }
}

/// Guards against a cancelled request that keeps the server busy or reports twice.
Test(http_client, cancel_closes_the_connection_and_reports_once)
{
    RunningContext running;
    std::atomic<int> received = 0;
    std::atomic<int> left = 0;
    ScriptedServer server([&](RawConnection& peer) {
        peer.receive();
        ++received;
        left += peer.endsCleanly() ? 1 : 0;
    });
    const auto client = HttpClient::create(running.context_, {});
    std::atomic<int> cancelled = 0;
    const auto id = client->send(server.address(), get(), patience, [&](HttpResult result) {
        cancelled += isFailure(result, HttpFailure::Cancelled) ? 1 : 100;
    });
    cr_assert(eventually([&] {
        return received == 1;
    }));
    client->cancel(id);
    client->cancel(id);
    client->cancel(id + 1000);
    cr_assert(eventually([&] {
        return cancelled == 1 && left == 1;
    }));
    running.stop();
    cr_assert_eq(cancelled, 1);
}

/// Guards against sockets that stay open, or close another file, when libcurl gives up a connection that is
/// not established yet: it does not report that it closes them.
Test(http_client, connections_that_fail_leave_no_descriptor)
{
    const auto countDescriptors = [] {
        const std::filesystem::directory_iterator files("/proc/self/fd");
        return std::distance(begin(files), end(files));
    };
    auto running = std::make_unique<RunningContext>();
    const FullListener full;
    HttpClientOptions options;
    options.connectTimeout_ = milliseconds(100);
    auto client = HttpClient::create(running->context_, options);
    cr_assert(isFailure(call(*client, full.address(), get()), HttpFailure::NotSent));
    const auto before = countDescriptors();
    std::atomic<int> ended = 0;
    for (int i = 0; i < 20; ++i) {
        const auto id = client->send(full.address(), get(), patience, [&](HttpResult) {
            ++ended;
        });
        if (i % 2 == 0) {
            client->cancel(id);
        }
    }
    cr_assert(eventually([&] {
        return ended == 20;
    }));
    cr_assert(eventually([&] {
        return countDescriptors() == before;
    }));

    std::vector<int> others(30);
    for (auto& other : others) {
        other = ::open("/dev/null", O_RDONLY | O_CLOEXEC); // Takes over the freed numbers.
    }
    client.reset();
    running.reset();
    for (const auto other : others) {
        cr_assert(::fcntl(other, F_GETFD) >= 0, "descriptor %d was closed", other);
    }
}

/// Guards against more connections than allowed, and against requests that wait for one forever.
Test(http_client, requests_over_the_connection_limit_wait_and_time_out_unsent)
{
    RunningContext running;
    std::promise<void> release;
    const auto released = release.get_future().share();
    ScriptedServer server([&](RawConnection& peer) {
        while (!peer.receive().head_.empty()) {
            released.wait();
            peer.send(okAnswer);
        }
    });
    HttpClientOptions options;
    options.maxConnectionsPerHost_ = 2;
    {
        const auto client = HttpClient::create(running.context_, options);
        std::atomic<int> answered = 0;
        for (int i = 0; i < 6; ++i) {
            client->send(server.address(), post("x"), patience, [&](HttpResult result) {
                answered += bodyOf(result) == "ok" ? 1 : 0;
            });
        }
        cr_assert(
            isFailure(call(*client, server.address(), post("x"), milliseconds(100)), HttpFailure::NotSent));
        release.set_value();
        cr_assert(eventually([&] {
            return answered == 6;
        }));
        cr_assert_eq(server.connections_, 2);
    }
}

/// Guards against bodies cut short or mixed up in either direction.
Test(http_client, large_bodies_arrive_whole_in_both_directions)
{
    RunningContext running;
    HttpServerOptions options;
    options.maxBodyBytes_ = std::size_t { 16 } << 20;
    const auto server = openServer(running, options, [](HttpRequest request, auto responder) {
        responder->respond({ 200, {}, std::move(request.body_) });
    });
    const auto client = HttpClient::create(running.context_, {});
    std::string body(options.maxBodyBytes_, '\0');
    for (std::size_t i = 0; i < body.size(); ++i) {
        body[i] = static_cast<char>(i * 31 / 7);
    }
    cr_assert(bodyOf(call(*client, server->address(), post(body))) == body);
}

/// Guards against headers that libcurl adds or drops on its own, and against a wrong method or target.
Test(http_client, request_arrives_as_given)
{
    setenv("http_proxy", "http://127.0.0.1:1", 1); // Must be ignored.
    RunningContext running;
    HttpRequest seen;
    const auto server = openServer(running, {}, [&](HttpRequest request, auto responder) {
        seen = std::move(request);
        responder->respond({ 204, { { "X-Answer", "1" } }, {} });
    });
    const auto client = HttpClient::create(running.context_, {});
    const HttpHeaders headers { { "X-A", "1" }, { "X-Empty", "" }, { "X-A", "2" } };
    for (const auto* method : { "GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH", "HEAD" }) {
        for (const auto* body : { "", "data" }) {
            const HttpRequest request { method, "/a/../b//c?x=%20&y=[1]", headers, body };
            const auto result = call(*client, server->address(), request);
            cr_assert_eq(std::get<HttpResponse>(result).status_, 204);
            cr_assert_eq(findHeader(std::get<HttpResponse>(result).headers_, "x-answer").value(), "1");
            cr_assert_eq(seen.method_, method);
            cr_assert_eq(seen.target_, request.target_);
            cr_assert_eq(seen.body_, std::string_view(method) == "HEAD" ? "" : body);
            cr_assert(removeHopHeaders(seen.headers_) == headers, "%s %s", method, body);
        }
    }
}

/// Guards against interim answers and chunked answers being passed on wrongly.
Test(http_client, interim_and_chunked_answers_are_understood)
{
    RunningContext running;
    ScriptedServer server([](RawConnection& peer) {
        peer.receive();
        peer.send("HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\nHTTP/1.1 201 Created\r\nX-Late: 2\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\nX-Trailer: 3\r\n\r\n");
    });
    const auto client = HttpClient::create(running.context_, {});
    const auto result = call(*client, server.address(), get());
    const auto& response = std::get<HttpResponse>(result);
    cr_assert_eq(response.status_, 201);
    cr_assert_eq(response.body_, "abcde");
    cr_assert(response.headers_ == HttpHeaders({ { "X-Late", "2" }, { "Transfer-Encoding", "chunked" } }));
}

/// Guards against callbacks that are lost or reach freed memory when the client ends before its requests.
Test(http_client, destruction_cancels_running_requests)
{
    RunningContext running;
    ScriptedServer server([](RawConnection& peer) {
        peer.receive();
        peer.receive();
    });
    std::atomic<int> cancelled = 0;
    auto client = HttpClient::create(running.context_, {});
    for (int i = 0; i < 10; ++i) {
        client->send(server.address(), get(), patience, [&](HttpResult result) {
            cancelled += isFailure(result, HttpFailure::Cancelled) ? 1 : 100;
        });
    }
    client.reset();
    cr_assert(eventually([&] {
        return cancelled == 10;
    }));
}
