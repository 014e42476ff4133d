/// When a backend server is asked for its health, and which answers count.
#include "health_check.h"

#include "gate_test_support.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

struct HealthCheckFixture {
    explicit HealthCheckFixture(std::shared_ptr<http1::Pool> pool = nullptr)
        : check_({ pool ? std::move(pool) : pool_, headers_, reports_,
            [this] {
                return path_;
            },
            [this] {
                ++serving_;
            } })
    {
    }

    auto report(const std::string& id, std::uint64_t sequence, BackendPhase phase = BackendPhase::Ready)
        -> void
    {
        BackendReport report;
        report.id_ = id;
        report.service_ = "stock";
        report.bornMs_ = 100;
        report.sequence_ = sequence;
        report.phase_ = phase;
        reports_.take(report, now_);
        check_.tick(now_);
    }

    auto answer(int status, const std::string& id) -> void
    {
        http1::Response response;
        response.status_ = status;
        response.headers_.add("Instance", id);
        pool_->answer(std::move(response));
    }

    auto wait(Duration time) -> void
    {
        now_ += time;
        check_.tick(now_);
    }

    TimePoint now_ { seconds(1000) };
    std::string path_ = "/health";
    int serving_ = 0;
    HeaderNames headers_ = testHeaderNames();
    std::shared_ptr<FakePool> pool_ = std::make_shared<FakePool>();
    BackendReports reports_ { "stock", ReadyEvidence::AnswerOrLaterReport, now_ };
    HealthCheck check_;
};

} // namespace

// Guards against a check of each report: backend servers spend a slot and some work on it.
Test(health_check, is_made_only_as_long_as_evidence_is_needed)
{
    HealthCheckFixture fixture;
    fixture.check_.tick(fixture.now_);
    cr_assert(fixture.pool_->sent_.empty(), "no report has come");
    fixture.report("i-1", 1);
    cr_assert(fixture.pool_->sent_.size() == 1);
    cr_assert(fixture.pool_->sent_.begin()->second.request_.target_ == "/health");
    fixture.wait(milliseconds(1100));
    cr_assert(fixture.pool_->sent_.size() == 1, "the check is still under way");
    fixture.answer(200, "i-1");
    cr_assert(fixture.serving_ == 1 && fixture.reports_.status().phase_ == BackendPhase::Ready);
    fixture.wait(seconds(2));
    fixture.report("i-1", 2);
    cr_assert(fixture.pool_->sent_.empty(), "it is known to serve");
}

Test(health_check, counts_an_answer_of_the_backend_server_that_has_reported)
{
    struct Case {
        int status_;
        const char* id_;
        bool counts_;
    };
    const Case cases[] = { { 200, "i-1", true }, { 200, "i-2", false }, { 200, "", false },
        { 503, "i-1", false }, { 400, "i-1", false } };
    for (const auto& testCase : cases) {
        HealthCheckFixture fixture;
        fixture.report("i-1", 1);
        fixture.answer(testCase.status_, testCase.id_);
        const bool isReady = fixture.reports_.status().phase_ == BackendPhase::Ready;
        cr_expect(isReady == testCase.counts_, "%d of %s", testCase.status_, testCase.id_);
    }
}

// Guards against a start that counts as serving by an answer that is none.
Test(health_check, a_broken_answer_is_no_evidence)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 2\r\n\r\nok";
    const std::pair<std::string, bool> answers[] = {
        { ok + "Instance: i-1\r\n" + body, true },
        { ok + "Instance : i-1\r\n" + body, false },
        { ok + " Instance: i-1\r\n" + body, false },
        { ok + "Instance: i-1\r\nA\nB: c\r\n" + body, false },
        { ok + "Instance: i-1\r\nContent-Length: 3\r\n\r\nok", false },
        { ok + "Instance: i-1\r\n\r\nok", false }, // Reset before its end can be told.
        { "HTTP/1.1 000 None\r\nInstance: i-1\r\n" + body + ok + "Instance: i-1\r\n" + body, false },
    };
    for (const auto& [answer, counts] : answers) {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        const auto pool
            = http1::Pool::create(context, { .server_ = { "127.0.0.1", acceptor.local_endpoint().port() } });
        HealthCheckFixture fixture(pool);
        fixture.report("i-1", 1);
        auto peer = acceptor.accept();
        const auto end = Clock::now() + seconds(5);
        const auto runWhile = [&](const std::function<bool()>& goesOn) {
            while (goesOn() && Clock::now() < end) {
                context.run_for(milliseconds(2));
                context.restart();
            }
        };
        runWhile([&] {
            return peer.available() == 0;
        });
        asio::write(peer, asio::buffer(answer));
        peer.set_option(asio::socket_base::linger(true, 0));
        peer.close();
        runWhile([&] {
            return pool->stats().open_ > 0;
        });
        cr_expect((fixture.serving_ == 1) == counts, "%s", answer.c_str());
    }
}

Test(health_check, is_repeated_after_a_pause)
{
    HealthCheckFixture fixture;
    fixture.path_.clear();
    fixture.report("i-1", 1);
    cr_assert(fixture.pool_->sent_.empty(), "the configuration has not come");
    fixture.path_ = "/health";
    fixture.wait(milliseconds(100));
    fixture.pool_->answer(http1::Failure::NotSent);
    fixture.wait(milliseconds(500));
    cr_assert(fixture.pool_->sent_.empty());
    fixture.wait(milliseconds(600));
    cr_assert(fixture.pool_->sent_.size() == 1);
    fixture.report("i-1", 0, BackendPhase::Gone);
    fixture.answer(200, "i-1");
    cr_assert(fixture.reports_.status().phase_ == BackendPhase::Gone, "it has left meanwhile");
    fixture.wait(seconds(2));
    cr_assert(fixture.pool_->sent_.empty());
}
