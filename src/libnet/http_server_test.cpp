#include "http_test_support.h"

#include <criterion/criterion.h>
#include <random>
#include <sys/resource.h>

using namespace wagtailhead;
using namespace wagtailhead::testing;

namespace {

constexpr std::size_t bodyLimit = 64;
constexpr std::size_t headerLimit = 512;

auto smallLimits() -> HttpServerOptions
{
    HttpServerOptions options;
    options.maxBodyBytes_ = bodyLimit;
    options.maxHeaderBytes_ = headerLimit;
    options.errorHeaders_ = { { "X-Outcome", "not-run" } };
    options.errorHeadersFor_ = [](std::string_view reason) {
        return HttpHeaders { { "X-Reason", std::string(reason) } };
    };
    return options;
}

auto echo(HttpRequest request, const std::shared_ptr<HttpResponder>& responder) -> void
{
    responder->respond({ 200, {}, request.target_ + ":" + request.body_ });
}

auto post(const std::string& body) -> std::string
{
    return "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

auto chunked(const std::string& chunks) -> std::string
{
    return "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
}

/// Returns a request whose header block has exactly `bytes` bytes.
auto withHeaderBytes(std::size_t bytes) -> std::string
{
    const std::string start = "GET /p HTTP/1.1\r\nHost: a\r\nX-Pad: ";
    return start + std::string(bytes - start.size() - 4, 'p') + "\r\n\r\n";
}

struct RefusalCase {
    const char* name_;
    std::string input_;
    int status_;
    const char* reason_;
};

auto refusalCases() -> std::vector<RefusalCase>
{
    const auto get = [](const std::string& headers) {
        return "GET /p HTTP/1.1\r\n" + headers + "\r\n";
    };
    return {
        { "no HTTP at all", "\x16\x03\x01\x02\r\n\r\n", 400, "malformed-request" },
        { "space in the target", "GET /a b HTTP/1.1\r\n\r\n", 400, "malformed-request" },
        { "no version", "GET /p\r\n\r\n", 400, "malformed-request" },
        { "unknown method", "FETCH /p HTTP/1.1\r\n\r\n", 400, "malformed-request" },
        { "other major version", "GET /p HTTP/2.0\r\n\r\n", 400, "malformed-request" },
        { "CONNECT", "CONNECT a:1 HTTP/1.1\r\n\r\n", 400, "malformed-request" },
        { "space in a header name", get("Bad Name: x\r\n"), 400, "malformed-request" },
        { "control byte in a header value", get("X-A: \x01\r\n"), 400, "malformed-request" },
        { "no number as length", get("Content-Length: x\r\n"), 400, "malformed-request" },
        { "two lengths", get("Content-Length: 1\r\nContent-Length: 2\r\n"), 400, "malformed-request" },
        { "length and chunks", get("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400,
            "malformed-request" },
        { "bad chunk size", chunked("z\r\n"), 400, "malformed-request" },
        { "body over the limit", post(std::string(bodyLimit + 1, 'b')), 413, "body-too-large" },
        { "announced body over the limit", get("Content-Length: 99999999999\r\n"), 413, "body-too-large" },
        { "chunks over the limit", chunked("40\r\n" + std::string(64, 'b') + "\r\n1\r\nb\r\n"), 413,
            "body-too-large" },
        { "headers over the limit", withHeaderBytes(headerLimit + 1), 431, "headers-too-large" },
        { "endless headers", "GET /p HTTP/1.1\r\nX-Pad: " + std::string(4096, 'p'), 431,
            "headers-too-large" },
        { "endless target", "GET /" + std::string(4096, 'p'), 431, "headers-too-large" },
    };
}

} // namespace

/// Guards against silent closes, answers without the agreed headers, and harm to other connections.
Test(http_server, refuses_bad_requests_with_an_answer_and_closes)
{
    RunningContext running;
    std::atomic<int> handled = 0;
    const auto server = openServer(running, smallLimits(), [&](HttpRequest request, auto responder) {
        ++handled;
        echo(std::move(request), responder);
    });
    RawConnection other(server->address());
    for (const auto& one : refusalCases()) {
        RawConnection caller(server->address());
        cr_assert(caller.send(one.input_));
        const auto response = caller.receive();
        cr_expect_eq(response.status_, one.status_, "%s: got %d", one.name_, response.status_);
        cr_expect_eq(response.body_, "{\"reason\":\"" + std::string(one.reason_) + "\"}", "%s: got %s",
            one.name_, response.body_.c_str());
        cr_expect(response.head_.find("X-Outcome: not-run\r\n") != std::string::npos, "%s", one.name_);
        cr_expect(response.head_.find("X-Reason: " + std::string(one.reason_)) != std::string::npos, "%s",
            one.name_);
        cr_expect(response.head_.find("Connection: close\r\n") != std::string::npos, "%s", one.name_);
        cr_expect(caller.endsCleanly(), "%s", one.name_);
    }
    cr_assert_eq(handled, 0);
    cr_assert(other.send(post("x")));
    cr_assert_eq(other.receive().status_, 200);
}

/// Guards against limits that are off by one, and against requests that depend on how they are cut into
/// reads.
Test(http_server, accepts_requests_at_the_limits_whole_and_byte_by_byte)
{
    RunningContext running;
    const auto server = openServer(running, smallLimits(), echo);
    const std::string body(bodyLimit, 'b');
    const std::vector<std::pair<std::string, std::string>> cases {
        { post(body), "/p:" + body },
        { chunked("20\r\n" + std::string(32, 'b') + "\r\n20;ext=1\r\n" + std::string(32, 'b')
              + "\r\n0\r\nX-Trailer: 1\r\n\r\n"),
            "/p:" + body },
        { withHeaderBytes(headerLimit), "/p:" },
        { "GET /u HTTP/1.1\r\nUpgrade-Insecure-Requests: 1\r\n\r\n", "/u:" },
        { "\r\nOPTIONS * HTTP/1.1\r\n\r\n", "*:" },
    };
    RawConnection caller(server->address());
    for (const auto& [input, expected] : cases) {
        cr_assert(caller.send(input));
        cr_assert_eq(caller.receive().body_, expected);
        for (const auto letter : input) {
            cr_assert(caller.send(std::string(1, letter)));
        }
        cr_assert_eq(caller.receive().body_, expected);
    }
}

/// Guards against a caller of the h2c upgrade losing its answer or its connection.
Test(http_server, ignores_an_upgrade)
{
    RunningContext running;
    HttpHeaders seen;
    const auto server = openServer(running, {}, [&](HttpRequest request, auto responder) {
        seen = request.headers_;
        echo(std::move(request), responder);
    });
    RawConnection caller(server->address());
    for (int i = 0; i < 2; ++i) {
        cr_assert(caller.send("POST /p HTTP/1.1\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
                              "HTTP2-Settings: AAMAAABkAAQAAP__\r\nContent-Length: 1\r\n\r\nx"));
        cr_assert_eq(caller.receive().body_, "/p:x");
        cr_assert_eq(seen.size(), 3); // Not the Upgrade header.
    }
}

/// Guards against callers that wait for "100 Continue" waiting until their own timeout.
Test(http_server, sends_100_continue)
{
    RunningContext running;
    const auto server = openServer(running, {}, echo);
    RawConnection caller(server->address());
    cr_assert(caller.send("POST /p HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"));
    cr_assert_eq(caller.receive().status_, 100);
    cr_assert(caller.send("x"));
    cr_assert_eq(caller.receive().body_, "/p:x");
}

/// Guards against bodies behind answers to HEAD, which would be read as the next answer.
Test(http_server, head_answers_have_a_length_and_no_body)
{
    RunningContext running;
    const auto server = openServer(running, {}, echo);
    RawConnection caller(server->address());
    cr_assert(caller.send("HEAD /abc HTTP/1.1\r\n\r\n"));
    cr_assert(caller.receive(false).head_.find("Content-Length: 5\r\n") != std::string::npos);
    cr_assert(caller.send(post("x")));
    const auto next = caller.receive();
    cr_assert_eq(next.status_, 200);
    cr_assert_eq(next.body_, "/p:x");
}

/// Guards against pipelined answers in the order of completion, and against an early refusal being taken
/// for the answer to a request that is still running.
Test(http_server, pipelined_requests_are_answered_in_order_before_a_refusal)
{
    RunningContext running;
    std::promise<std::shared_ptr<HttpResponder>> first;
    const auto server = openServer(running, smallLimits(), [&](HttpRequest request, auto responder) {
        if (request.body_ == "1") {
            first.set_value(responder);
        } else {
            echo(std::move(request), responder);
        }
    });
    RawConnection caller(server->address());
    cr_assert(caller.send(post("1") + post("2") + post("3") + post("4") + "BAD\r\n\r\n"));
    auto responder = first.get_future();
    cr_assert(responder.wait_for(patience) == std::future_status::ready);
    std::thread([&] {
        responder.get()->respond({ 201, {}, "one" });
    }).join();
    cr_assert_eq(caller.receive().body_, "one");
    for (const auto* body : { "/p:2", "/p:3", "/p:4" }) {
        cr_assert_eq(caller.receive().body_, body);
    }
    cr_assert_eq(caller.receive().status_, 400);
    cr_assert(caller.endsCleanly());
}

/// Guards against work that goes on for a caller who has left, for each way to leave.
Test(http_server, caller_gone_is_noticed_while_a_request_runs)
{
    RunningContext running;
    std::atomic<int> gone = 0;
    std::atomic<int> started = 0;
    std::vector<std::shared_ptr<HttpResponder>> responders;
    std::mutex mutex;
    const auto server = openServer(running, smallLimits(), [&](HttpRequest, auto responder) {
        responder->onCallerGone([&] {
            ++gone;
        });
        const std::lock_guard lock(mutex);
        responders.push_back(std::move(responder));
        ++started;
    });
    RawConnection closing(server->address());
    RawConnection resetting(server->address());
    resetting.resetOnClose();
    RawConnection pipelining(server->address());
    for (auto* caller : { &closing, &resetting, &pipelining }) {
        cr_assert(caller->send(post("x")));
    }
    cr_assert(pipelining.send("BAD\r\n\r\n"));
    cr_assert(eventually([&] {
        return started == 3;
    }));
    cr_assert_eq(gone, 0);
    closing.close();
    cr_assert(eventually([&] {
        return gone == 1;
    }));
    resetting.close();
    cr_assert(eventually([&] {
        return gone == 2;
    }));
    pipelining.close();
    cr_assert(eventually([&] {
        return gone == 3;
    }));
    responders.front()->onCallerGone([&] {
        ++gone;
    });
    cr_assert_eq(gone, 4); // Runs at once, since the caller is known to be gone.
    for (const auto& responder : responders) {
        responder->respond({}); // Must be harmless.
    }
}

/// Guards against the callback running for a caller that got its answer, and against a second answer.
Test(http_server, first_answer_counts_and_ends_the_watch_for_the_caller)
{
    RunningContext running;
    std::atomic<bool> gone = false;
    const auto server = openServer(running, {}, [&](HttpRequest, auto responder) {
        responder->onCallerGone([&] {
            gone = true;
        });
        responder->respond({ 200, { { "Content-Length", "99" }, { "X-A", "1" } }, "first" });
        responder->respond({ 500, {}, "second" });
        responder->onCallerGone([&] {
            gone = true;
        });
    });
    RawConnection caller(server->address());
    cr_assert(caller.send(post("x") + "GET /p HTTP/1.1\r\nConnection: close\r\n\r\nBAD\r\n\r\n"));
    const auto response = caller.receive();
    cr_assert_eq(response.status_, 200);
    cr_assert_eq(response.body_, "first");
    cr_assert(response.head_.find("X-A: 1\r\n") != std::string::npos);
    cr_assert_eq(caller.receive().body_, "first");
    cr_assert(caller.endsCleanly());
    running.stop();
    cr_assert(!gone);
}

/// Guards against crossed answers when many requests are answered in another order from other threads.
Test(http_server, a_thousand_concurrent_answers_match_their_requests)
{
    constexpr std::size_t calls = 1000;
    RunningContext running;
    std::mutex mutex;
    std::vector<std::pair<std::string, std::shared_ptr<HttpResponder>>> waiting;
    const auto server = openServer(running, {}, [&](HttpRequest request, auto responder) {
        const std::lock_guard lock(mutex);
        waiting.emplace_back(std::move(request.body_), std::move(responder));
    });
    HttpClientOptions options;
    options.maxConnectionsPerHost_ = calls;
    const auto client = HttpClient::create(running.context_, options);
    std::atomic<std::size_t> matching = 0;
    std::atomic<std::size_t> done = 0;
    for (std::size_t i = 0; i < calls; ++i) {
        const auto body = std::string(1 + i * 7 % 5000, 'a') + std::to_string(i);
        client->send(server->address(), { "POST", "/p", {}, body }, patience, [&, body](HttpResult result) {
            const auto* response = std::get_if<HttpResponse>(&result);
            matching += response != nullptr && response->body_ == body ? 1 : 0;
            ++done;
        });
    }
    cr_assert(eventually([&] {
        const std::lock_guard lock(mutex);
        return waiting.size() == calls;
    }));
    std::vector<std::thread> threads;
    for (std::size_t part = 0; part < 4; ++part) {
        threads.emplace_back([&, part] {
            for (auto i = calls - 1 - part; i < calls; i -= 4) {
                waiting[i].second->respond({ 200, {}, waiting[i].first });
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    cr_assert(eventually([&] {
        return done == calls;
    }));
    cr_assert_eq(matching, calls);
}

/// Guards against a refused upload that resets the connection before its sender has read the answer.
Test(http_server, refusal_of_a_large_upload_can_be_read)
{
    RunningContext running;
    const auto server = openServer(running, {}, echo);
    RawConnection caller(server->address());
    cr_assert(caller.send(post(std::string(std::size_t { 8 } << 20, 'x'))));
    cr_assert_eq(caller.receive().status_, 413);
}

/// Guards against large answers cut short, also when the connection is closed behind them and when the
/// caller sends something that is refused meanwhile.
Test(http_server, large_answers_are_sent_whole)
{
    RunningContext running;
    const std::string large(std::size_t { 32 } << 20, 'L');
    std::promise<std::shared_ptr<HttpResponder>> late;
    const auto server = openServer(running, {}, [&](HttpRequest request, auto responder) {
        if (request.target_ == "/late") {
            late.set_value(responder);
        } else {
            responder->respond({ 200, {}, large });
        }
    });
    RawConnection caller(server->address());
    cr_assert(caller.send("GET /p HTTP/1.1\r\n\r\n"));
    cr_assert(caller.receive().body_ == large);
    cr_assert(caller.send("GET /late HTTP/1.1\r\nConnection: close\r\n\r\nBAD\r\n\r\n"));
    late.get_future().get()->respond({ 200, {}, large });
    cr_assert(caller.receive().body_ == large);
    cr_assert(caller.endsCleanly());
}

/// Guards against connections that hold resources without ever finishing a request.
Test(http_server, slow_and_idle_connections_are_closed)
{
    RunningContext running;
    auto options = smallLimits();
    options.idleTimeout_ = milliseconds(300);
    options.requestTimeout_ = milliseconds(150);
    const auto server = openServer(running, options, echo);
    RawConnection idle(server->address());
    RawConnection slow(server->address());
    cr_assert(slow.send("POST /p HTTP/1.1\r\nContent-Length: 2\r\n\r\nx"));
    cr_assert_eq(slow.receive().status_, 408);
    cr_assert(slow.endsCleanly());
    cr_assert(idle.endsCleanly());
}

/// Guards against connections that are closed without an answer because the library refuses what the
/// inspector let pass.
Test(http_server, every_damaged_request_is_answered)
{
    constexpr unsigned seed = 20240611;
    constexpr int inputs = 100;
    RunningContext running;
    auto options = smallLimits();
    options.requestTimeout_ = milliseconds(100); // Some damage makes a request incomplete.
    const auto server = openServer(running, options, echo);
    const std::vector<std::string> sources { post("body"), chunked("4\r\nbody\r\n0\r\nX-T: 1\r\n\r\n"),
        "GET /p?q HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, Upgrade\r\nUpgrade: h2c\r\n\r\n" };
    std::mt19937 random(seed);
    for (int i = 0; i < inputs; ++i) {
        auto input = sources[random() % sources.size()];
        for (auto damages = 1 + random() % 3; damages > 0; --damages) {
            const auto position = random() % input.size();
            switch (random() % 3) {
            case 0:
                input[position] = static_cast<char>(random());
                break;
            case 1:
                input.erase(position, 1);
                break;
            default:
                input.insert(position, 1, input[random() % input.size()]);
            }
        }
        RawConnection caller(server->address());
        cr_assert(caller.send(input));
        cr_assert_gt(caller.receive().status_, 0, "input %d of seed %u", i, seed);
    }
}

/// Guards against a server that accepts nothing more once accepting has failed.
Test(http_server, accepts_again_after_running_out_of_descriptors)
{
    RunningContext running;
    const auto server = openServer(running, {}, echo);
    RawConnection caller; // Takes its descriptor before there are no more.
    rlimit limit {};
    cr_assert_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
    auto none = limit;
    none.rlim_cur = 0;
    cr_assert_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
    caller.connect(server->address());
    cr_assert(caller.send(post("x")));
    std::this_thread::sleep_for(milliseconds(200)); // Gives the server time to fail.
    cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
    cr_assert_eq(caller.receive().body_, "/p:x");
}

/// Guards against a planned stop that cuts calls in flight or open connections.
Test(http_server, stop_accepting_leaves_open_connections)
{
    RunningContext running;
    const auto server = openServer(running, {}, echo);
    RawConnection caller(server->address());
    cr_assert(caller.send(post("1")));
    cr_assert_eq(caller.receive().status_, 200);
    server->stopAccepting();
    cr_assert(eventually([&] {
        try {
            RawConnection late(server->address());
            return false;
        } catch (const std::system_error&) {
            return true;
        }
    }));
    cr_assert(caller.send(post("2")));
    cr_assert_eq(caller.receive().body_, "/p:2");
}

/// Guards against a bad address being reported without its name, or aborting the process.
Test(http_server, open_reports_an_address_in_use)
{
    RunningContext running;
    const auto server = openServer(running, {}, echo);
    for (const auto& address : { server->address(), Address { "no-ip", 1 } }) {
        HttpServerOptions options;
        options.listen_ = address;
        const auto second = HttpServer::open(running.context_, options, echo);
        cr_assert(!isOk(second));
        cr_assert(errorOf(second).text_.find(address.text()) != std::string::npos);
    }
}
