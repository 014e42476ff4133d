/// When the report of a leave is confirmed.
#include "report_server.h"

#include "http1_pool.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

/// A report server whose store and peers answer as a test says.
struct ReportWorld {
    ReportWorld()
    {
        asio::ip::tcp::acceptor probe(context_, { asio::ip::make_address("127.0.0.1"), 0 });
        const Address address { "127.0.0.1", probe.local_endpoint().port() };
        probe.close();
        auto opened = ReportServer::open(context_, address,
            { [](const http1::Request& request) -> std::variant<BackendReport, ReportError> {
                 BackendReport report;
                 report.id_ = "i-1";
                 report.service_ = "stock";
                 report.bornMs_ = 100;
                 report.sequence_ = std::stoull(request.body_);
                 report.phase_ = request.method_ == "DELETE" ? BackendPhase::Gone : BackendPhase::Ready;
                 return report;
             },
                [] {
                    http1::Response response;
                    response.status_ = 200;
                    return response;
                },
                reports_,
                [this](std::function<void()> onWritten) {
                    written_ = std::move(onWritten);
                },
                [] {
                    return true;
                },
                [this](const std::string& id, std::uint64_t bornMs) {
                    return held_ && id == "i-1" && bornMs == 100;
                } });
        cr_assert(isOk(opened));
        server_ = valueOf(std::move(opened));
        pool_ = http1::Pool::create(context_, { .server_ = address });
    }

    /// Sends a report and returns the status of the answer, or 0 if there is none within a second.
    auto report(const std::string& method) -> int
    {
        http1::PoolCall call;
        call.request_.method_ = method;
        call.request_.target_ = "/";
        call.request_.body_ = std::to_string(++sequence_);
        int status = 0;
        call.done_ = [&](const http1::CallResult& result) {
            status = std::get<http1::Response>(result).status_;
        };
        pool_->send(std::move(call));
        const auto end = Clock::now() + seconds(1);
        while (status == 0 && Clock::now() < end) {
            context_.run_for(milliseconds(20));
            context_.restart();
            if (storeAnswers_ && written_) {
                std::exchange(written_, nullptr)();
            }
            server_->tick(Clock::now());
        }
        return status;
    }

    asio::io_context context_;
    BackendReports reports_ { "stock" };
    std::function<void()> written_;
    bool storeAnswers_ = false;
    bool held_ = false;
    std::uint64_t sequence_ = 0;
    std::unique_ptr<ReportServer> server_;
    std::shared_ptr<http1::Pool> pool_;
};

} // namespace

// A node that reached neither the store nor another node confirmed a leave that only its own memory held.
Test(report_server, a_leave_is_confirmed_once_it_outlives_the_process)
{
    struct Case {
        const char* name_;
        bool storeAnswers_;
        bool held_;
        int status_;
    };
    const Case cases[] = {
        { "the store has it", true, false, 200 },
        { "another node has it", false, true, 200 },
        { "neither has it", false, false, 503 },
    };
    for (const auto& testCase : cases) {
        ReportWorld world;
        cr_expect(world.report("PUT") == 200, "%s", testCase.name_);
        world.storeAnswers_ = testCase.storeAnswers_;
        world.held_ = testCase.held_;
        const auto start = Clock::now();
        cr_expect(world.report("DELETE") == testCase.status_, "%s", testCase.name_);
        const bool atOnce = Clock::now() - start < milliseconds(400);
        cr_expect(atOnce == testCase.storeAnswers_, "%s: the store is waited for", testCase.name_);
        cr_expect(world.reports_.status().phase_ == BackendPhase::Gone, "%s", testCase.name_);
        cr_expect(world.report("DELETE") == testCase.status_, "%s, once more", testCase.name_);
        world.storeAnswers_ = true;
        cr_expect(world.report("DELETE") == 200, "%s, with the store", testCase.name_);
    }
}
