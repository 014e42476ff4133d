/// Tests of the ingress with the gate of this node and with unreachable nodes on loopback.
#include "caller_entry.h"

#include "gate_test_support.h"

#include <asio/write.hpp>
#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto freePort(asio::io_context& context) -> std::uint16_t
{
    asio::ip::tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return probe.local_endpoint().port();
}

auto makeConfiguration() -> SiteConfigurationPtr
{
    SiteRoute read;
    read.name_ = "read";
    read.host_ = "shop.example";
    read.prefix_ = "/read/";
    read.idempotent_ = true;
    read.rank_ = 1;
    read.maxAttempts_ = 2;
    read.timeout_ = milliseconds(600);
    read.destinations_ = { { "stock", 1 } };
    auto order = read;
    order.name_ = "order";
    order.prefix_ = "/order/";
    order.idempotent_ = false;
    order.rank_ = 0;
    auto sheet = read;
    sheet.name_ = "sheet";
    sheet.prefix_ = "/sheet/";
    sheet.bulk_ = true;
    auto missing = read;
    missing.name_ = "missing";
    missing.prefix_ = "/missing/";
    missing.destinations_ = { { "nowhere", 1 } };
    return std::make_shared<const SiteConfiguration>(1, "",
        std::vector<SiteRoute> { read, order, sheet, missing }, std::vector<SiteService> {}, CallerLimits {});
}

auto configurationWithAccounts(const std::string& key = "k1", double rate = 0) -> SiteConfigurationPtr
{
    auto routes = makeConfiguration()->routes();
    auto open = routes.front();
    open.name_ = "open";
    open.prefix_ = "/open/";
    open.anonymous_ = true;
    routes.push_back(open);
    auto accounts
        = AccountTable::build({ { "retail", { key }, std::nullopt, rate, rate }, { "bank", { "k2" }, 0 } });
    return std::make_shared<const SiteConfiguration>(
        2, "", std::move(routes), std::vector<SiteService> {}, CallerLimits {}, valueOf(std::move(accounts)));
}

/// A node with a fake connection pool instead of a backend server, and a caller on a real connection.
struct CallerEntryFixture {
    CallerEntryFixture()
    {
        NodeEntry own;
        own.node_ = "self";
        own.service_ = "stock";
        own.capacity_ = 100;
        own.phase_ = BackendPhase::Ready;
        own.generation_ = 1;
        directory_.apply(own);
        gate_.setInstance(readyInstance());
        port_ = freePort(context_);
        auto opened = http1::Listener::open(context_, { "127.0.0.1", port_ }, {},
            [this](http1::Request request, std::shared_ptr<http1::Exchange> exchange) {
                entry_.onRequest(std::move(request), std::move(exchange));
            });
        listener_ = valueOf(std::move(opened));
        client_.connect({ asio::ip::make_address("127.0.0.1"), port_ });
        client_.non_blocking(true);
    }

    auto send(const std::string& method, const std::string& path, int remainingMs = 5000,
        const std::string& headers = "") -> void
    {
        asio::write(client_,
            asio::buffer(method + " " + path
                + " HTTP/1.1\r\nHost: shop.example\r\nAttempt: a1\r\nRemaining-Ms: "
                + std::to_string(remainingMs) + "\r\n" + headers + "Content-Length: 0\r\n\r\n"));
    }

    template <typename Done> auto runUntil(Done done) -> bool
    {
        const auto end = Clock::now() + seconds(5);
        while (!done() && Clock::now() < end) {
            context_.run_for(milliseconds(5));
            context_.restart();
            entry_.tick();
            gate_.tick();
            links_.tick(Clock::now());
        }
        return done();
    }

    auto waitForBackend() -> void
    {
        cr_assert(runUntil([this] {
            return !pool_->sent_.empty();
        }),
            "nothing reached the backend server");
    }

    auto answer() -> std::string
    {
        std::string text;
        runUntil([&] {
            std::string part(4096, '\0');
            asio::error_code error;
            part.resize(client_.read_some(asio::buffer(part), error));
            text += part;
            return text.find("\r\n\r\n") != std::string::npos;
        });
        return text;
    }

    asio::io_context context_;
    std::shared_ptr<FakePool> pool_ = std::make_shared<FakePool>();
    RequestMetrics metrics_;
    Gate gate_ { { .service_ = "stock", .headers_ = testHeaderNames(), .usedSlotShare_ = 1 }, pool_,
        metrics_ };
    Directory directory_ { { "self", "a", "r", 1 } };
    LinkClient links_ { context_,
        { [] {
             return HelloFrame {};
         },
            [](const std::string&, std::uint64_t) {}, [](const std::string&, const StateFrame&) {},
            [](const NodeEntry&) {}, [](const std::string&, const BeatFrame&) {},
            [](const std::string&, const GateLoad&) {}, [](const std::string&, const std::string&) {},
            [](const std::string&, bool) {}, [](const std::string&) {},
            [](const StateRequestFrame&) {
                return StateFrame {};
            } } };
    SiteConfigurationPtr configuration_ = makeConfiguration();
    QuotaService quota_ { { { "self", "a", "r" }, 1 }, directory_, links_ };
    CallerEntry entry_ { { .node_ = "self",
                             .service_ = "shop",
                             .headers_ = testHeaderNames(),
                             .retries_ = { .ranPart_ = 1, .rejectedPart_ = 1, .share_ = 1, .burst_ = 10 },
                             .seed_ = 1 },
        { directory_, links_, gate_, metrics_, quota_,
            [this] {
                return configuration_;
            },
            [this](std::size_t bytes) {
                return bytes < room_;
            } } };
    std::size_t room_ = std::size_t { 1 } << 20;
    std::uint16_t port_ = 0;
    std::shared_ptr<http1::Listener> listener_;
    asio::ip::tcp::socket client_ { context_ };
};

auto contains(const std::string& text, const std::string& part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(caller_entry, forwards_a_response)
{
    CallerEntryFixture fixture;
    fixture.send("GET", "/read/1");
    fixture.waitForBackend();
    const auto& request = fixture.pool_->sent_.begin()->second.request_;
    cr_assert(request.headers_.find("Caller") == "shop");
    cr_assert(request.headers_.find("Attempt") == "a1");
    cr_assert(std::stoi(std::string(request.headers_.find("Remaining-Ms"))) <= 600,
        "the timeout of the route is shorter");
    fixture.pool_->answer(sealedAnswer("a1"));
    const auto text = fixture.answer();
    cr_assert(contains(text, " 200 "));
    cr_assert(contains(text, "Seal: s"));
}

// Callers that read downloads slowly took the process over its memory, and the orders in flight were lost
// with it (review case 4).
Test(caller_entry, responses_without_room_are_not_held)
{
    struct Case {
        const char* path_;
        const char* method_;
        std::size_t room_; ///< When the request comes; there is none when it is answered.
        const char* status_;
    };
    const Case cases[] = {
        { "/sheet/1", "GET", 0, " 503 " },
        // A response that turns out longer than expected, or whose room others have taken meanwhile.
        { "/sheet/1", "GET", std::size_t { 1 } << 20, " 502 " },
        // Less room than the expected size: 30 of 36 slow downloads ran and were then answered 502.
        { "/sheet/1", "GET", 1000, " 503 " },
        { "/read/1", "GET", 0, " 502 " },
        { "/order/1", "POST", 0, " 200 " },
    };
    for (const auto& testCase : cases) {
        CallerEntryFixture fixture;
        fixture.room_ = testCase.room_;
        fixture.send(testCase.method_, testCase.path_);
        const bool refused = contains(testCase.status_, "503");
        if (!refused) {
            fixture.waitForBackend();
            fixture.room_ = 0;
            fixture.pool_->answer(sealedAnswer("a1"));
        }
        const auto text = fixture.answer();
        cr_expect(contains(text, testCase.status_), "%s: %s", testCase.path_, text.c_str());
        cr_expect(!refused || (fixture.pool_->sent_.empty() && contains(text, "Retry-After")));
    }
}

Test(caller_entry, responds_itself_without_configuration_route_or_backend)
{
    struct Case {
        const char* name_;
        const char* path_;
        bool configured_;
        const char* status_;
        bool retryAfter_;
    };
    const Case cases[] = {
        { "no configuration", "/read/1", false, " 503 ", true },
        { "no route", "/other/", true, " 404 ", false },
        { "no backend server", "/missing/1", true, " 503 ", true },
    };
    for (const auto& one : cases) {
        CallerEntryFixture fixture;
        if (!one.configured_) {
            fixture.configuration_ = nullptr;
        }
        fixture.send("GET", one.path_);
        const auto text = fixture.answer();
        cr_expect(contains(text, one.status_), "%s: %s", one.name_, text.c_str());
        cr_expect(contains(text, "Retry-After: ") == one.retryAfter_, "%s", one.name_);
    }
}

Test(caller_entry, a_stopping_node_refuses_immediately_with_retry_after)
{
    CallerEntryFixture fixture;
    fixture.entry_.refuseFurther();
    fixture.send("GET", "/read/1");
    const auto text = fixture.answer();
    cr_assert(contains(text, " 503 "));
    cr_assert(contains(text, "Retry-After: "));
    cr_assert(fixture.pool_->sent_.empty());
}

// A stopping node sent on orders whose time was longer than its own, and they were cut (review case 7).
Test(caller_entry, a_request_that_may_outlast_the_process_is_refused)
{
    CallerEntryFixture fixture;
    fixture.entry_.admitUntil(bootNow() + milliseconds(500));
    fixture.send("POST", "/order/1");
    const auto text = fixture.answer();
    cr_assert(contains(text, " 503 ") && contains(text, "Retry-After: "));
    cr_assert(fixture.pool_->sent_.empty());
    fixture.send("POST", "/order/1", 100);
    fixture.waitForBackend();
}

// Orders that run longer than the process were sent on until callers had noticed the stop, and were cut.
Test(caller_entry, a_request_that_usually_outlasts_the_process_is_refused)
{
    CallerEntryFixture fixture;
    fixture.send("POST", "/order/1");
    fixture.waitForBackend();
    const auto end = Clock::now() + milliseconds(200);
    fixture.runUntil([&] {
        return Clock::now() > end;
    });
    fixture.pool_->answer(sealedAnswer("a1"));
    cr_assert(contains(fixture.answer(), " 200 "));
    fixture.entry_.expectResponsesUntil(bootNow() + milliseconds(150));
    fixture.send("POST", "/order/1");
    cr_assert(contains(fixture.answer(), " 503 "));
    cr_assert(fixture.pool_->sent_.empty(), "it ran");
    fixture.send("GET", "/read/1");
    fixture.waitForBackend();
}

// The same for an order that was accepted before and whose backend server has rejected it since.
Test(caller_entry, a_request_is_not_repeated_beyond_the_end_of_the_process)
{
    for (const bool stopping : { false, true }) {
        CallerEntryFixture fixture;
        const auto port = freePort(fixture.context_);
        asio::ip::tcp::acceptor otherNode(fixture.context_, { asio::ip::make_address("127.0.0.1"), port });
        otherNode.non_blocking(true);
        fixture.send("POST", "/order/1");
        fixture.waitForBackend();
        NodeEntry other;
        other.node_ = "other";
        other.zone_ = "a";
        other.region_ = "r";
        other.service_ = "stock";
        other.capacity_ = 100;
        other.phase_ = BackendPhase::Ready;
        other.generation_ = 1;
        other.link_ = { "127.0.0.1", port };
        fixture.directory_.apply(other);
        if (stopping) {
            fixture.entry_.admitUntil(bootNow() + milliseconds(300));
        }
        http1::Response rejected;
        rejected.status_ = 503;
        rejected.headers_.add("Attempt", "a1");
        rejected.headers_.add("Not-Run", "1");
        fixture.pool_->answer(rejected);
        cr_expect(contains(fixture.answer(), " 503 "));
        asio::ip::tcp::socket connected(fixture.context_);
        asio::error_code error;
        otherNode.accept(connected, error);
        cr_expect(
            bool(error) == stopping, "the order was %s", stopping ? "sent to another node" : "given up");
    }
}

Test(caller_entry, a_lost_response_to_an_order_is_not_reported_as_not_run)
{
    CallerEntryFixture fixture;
    fixture.send("POST", "/order/1");
    fixture.waitForBackend();
    fixture.pool_->answer(http1::Failure::Lost);
    cr_assert(contains(fixture.answer(), " 502 "));
    cr_assert(fixture.pool_->sent_.empty(), "an order was sent twice");
}

Test(caller_entry, a_rejected_order_is_refused_with_retry_after)
{
    CallerEntryFixture fixture;
    fixture.send("POST", "/order/1");
    fixture.waitForBackend();
    http1::Response rejected;
    rejected.status_ = 503;
    rejected.headers_.add("Attempt", "a1");
    rejected.headers_.add("Not-Run", "1");
    fixture.pool_->answer(rejected);
    const auto text = fixture.answer();
    cr_assert(contains(text, " 503 "));
    cr_assert(contains(text, "Retry-After: "));
}

Test(caller_entry, the_final_response_is_sent_at_the_timeout_of_the_route)
{
    CallerEntryFixture fixture;
    const auto start = Clock::now();
    fixture.send("POST", "/order/1");
    fixture.waitForBackend();
    const auto text = fixture.answer();
    cr_assert(contains(text, " 504 "));
    cr_assert(Clock::now() - start >= milliseconds(600));
    cr_assert(fixture.pool_->cancelled_.empty(), "an order was aborted at its backend server");
}

Test(caller_entry, the_attempt_is_cancelled_when_the_caller_disconnects)
{
    CallerEntryFixture fixture;
    fixture.send("GET", "/read/1");
    fixture.waitForBackend();
    fixture.client_.close();
    cr_assert(fixture.runUntil([&] {
        return fixture.pool_->cancelled_.size() == 1;
    }));
    cr_assert(fixture.entry_.inFlight() == 0);
}

Test(caller_entry, an_unreachable_node_does_not_fail_the_request)
{
    CallerEntryFixture fixture;
    NodeEntry other;
    other.node_ = "other";
    other.zone_ = "a";
    other.region_ = "r";
    other.service_ = "stock";
    other.capacity_ = 100;
    other.phase_ = BackendPhase::Ready;
    other.generation_ = 1;
    other.link_ = { "127.0.0.1", freePort(fixture.context_) };
    fixture.directory_.apply(other);
    fixture.send("POST", "/order/1");
    fixture.waitForBackend();
    fixture.pool_->answer(sealedAnswer("a1"));
    cr_assert(contains(fixture.answer(), " 200 "));
}

/// Guards against requests that run under a wrong account, without one, or with their key passed on.
Test(caller_entry, a_request_runs_under_the_account_of_its_key)
{
    struct Case {
        const char* name_;
        const char* headers_;
        const char* path_;
        const char* account_; ///< As the backend server sees it; null if the request is answered 401.
    };
    const Case cases[] = {
        { "key", "Key: k1\r\n", "/read/1", "retail" },
        { "rank of the account", "Key: k2\r\n", "/read/1", "bank" },
        { "other spelling", "kEY: k1\r\n", "/read/1", "retail" },
        { "forged account", "Key: k1\r\nAccount: bank\r\n", "/read/1", "retail" },
        { "no key", "Account: bank\r\n", "/read/1", nullptr },
        { "call of a backend server", "Account: bank\r\n", "/open/1", "" },
        { "unknown key", "Key: k9\r\n", "/read/1", nullptr },
        { "empty key", "Key:\r\n", "/read/1", nullptr },
        { "two keys", "Key: k1\r\nKEY: k2\r\n", "/read/1", nullptr },
        { "the same key twice", "Key: k1\r\nKey: k1\r\n", "/read/1", nullptr },
        { "unknown key on an anonymous route", "Key: k9\r\n", "/open/1", "" },
        { "key on an anonymous route", "Key: k1\r\n", "/open/1", "retail" },
    };
    for (const auto& one : cases) {
        CallerEntryFixture fixture;
        fixture.configuration_ = configurationWithAccounts();
        fixture.send("GET", one.path_, 5000, one.headers_);
        if (one.account_ == nullptr) {
            cr_expect(contains(fixture.answer(), " 401 "), "%s", one.name_);
            cr_expect(fixture.pool_->sent_.empty(), "%s: the request has run", one.name_);
            continue;
        }
        fixture.waitForBackend();
        const auto& headers = fixture.pool_->sent_.begin()->second.request_.headers_;
        cr_expect(headers.find("Account") == one.account_, "%s: %s", one.name_, headers.lines().c_str());
        cr_expect(headers.count("Account") == (*one.account_ == 0 ? 0 : 1), "%s", one.name_);
        cr_expect(!headers.has("Key"), "%s: the key was passed on", one.name_);
    }
}

/// Guards against 401 for valid keys by a node that has just started.
Test(caller_entry, a_node_without_a_configuration_rejects_no_key)
{
    CallerEntryFixture fixture;
    fixture.configuration_ = nullptr;
    fixture.send("GET", "/read/1", 5000, "Key: k1\r\n");
    cr_assert(contains(fixture.answer(), " 503 "));
}

/// Guards against a withdrawn key that is served further on a kept connection.
Test(caller_entry, a_withdrawn_key_is_rejected_on_a_kept_connection)
{
    CallerEntryFixture fixture;
    fixture.configuration_ = configurationWithAccounts();
    fixture.send("GET", "/read/1", 5000, "Key: k1\r\n");
    fixture.waitForBackend();
    fixture.pool_->answer(sealedAnswer("a1"));
    cr_assert(contains(fixture.answer(), " 200 "));
    fixture.configuration_ = configurationWithAccounts("k8");
    fixture.send("GET", "/read/1", 5000, "Key: k1\r\n");
    cr_assert(contains(fixture.answer(), " 401 "));
    cr_assert(fixture.pool_->sent_.empty());
}

/// Guards against an account whose rank is ignored where requests are refused by rank.
Test(caller_entry, the_rank_of_an_account_goes_before_that_of_the_route)
{
    for (const bool important : { false, true }) {
        CallerEntryFixture fixture;
        fixture.configuration_ = configurationWithAccounts();
        GateLoad load;
        load.limit_ = 100;
        load.level_ = 1; // Refuses nearly all requests of the least important rank.
        fixture.directory_.onLoad("self", load, Clock::now());
        fixture.send("GET", "/read/1", 5000, important ? "Key: k2\r\n" : "Key: k1\r\n");
        if (important) {
            fixture.waitForBackend();
        } else {
            cr_assert(contains(fixture.answer(), " 503 "));
        }
    }
}

/// Guards against requests above the quota that run, or that are refused without telling when to come back,
/// and against an account that is refused although it has tokens.
Test(caller_entry, requests_above_the_quota_are_refused)
{
    CallerEntryFixture fixture;
    fixture.configuration_ = configurationWithAccounts("k1", 5);
    fixture.quota_.refresh(fixture.configuration_, false);
    fixture.send("GET", "/read/1", 5000, "Key: k1\r\n");
    const auto refused = fixture.answer();
    cr_assert(contains(refused, " 429 ") && contains(refused, "Retry-After: "), "%s", refused.c_str());
    cr_assert(fixture.pool_->sent_.empty());
    const auto end = Clock::now() + milliseconds(500);
    fixture.runUntil([&] {
        return Clock::now() > end;
    });
    fixture.send("GET", "/read/1", 5000, "Key: k1\r\n");
    fixture.waitForBackend();
}

/// Guards against a quota that is spent on requests that have not run.
Test(caller_entry, the_token_of_a_request_that_has_not_run_is_given_back)
{
    CallerEntryFixture fixture;
    fixture.configuration_ = configurationWithAccounts("k1", 5);
    fixture.quota_.refresh(fixture.configuration_, false);
    const auto end = Clock::now() + milliseconds(300);
    fixture.runUntil([&] {
        return Clock::now() > end;
    });
    fixture.gate_.stopAdmitting();
    fixture.send("GET", "/read/1", 5000, "Key: k1\r\n");
    cr_assert(contains(fixture.answer(), " 503 "));
    fixture.send("GET", "/read/1", 5000, "Key: k1\r\n");
    cr_assert(contains(fixture.answer(), " 503 "), "the second request found no token");
    cr_assert(fixture.quota_.custodian().stats().granted_ == 1);
}
