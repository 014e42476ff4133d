#include "gate.h"

#include "gate_test_support.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

struct GateFixture {
    explicit GateFixture(int capacity = 100)
        : gate_({ .service_ = "stock", .headers_ = testHeaderNames(), .usedSlotShare_ = 1 }, pool_, metrics_)
    {
        gate_.setInstance(readyInstance(capacity));
    }

    auto submit(GateCall call) -> Gate::TicketId
    {
        const auto name = call.attemptId_;
        return gate_.submit(std::move(call), [this, name](GateReply reply) {
            ++replyCounts_[name];
            replies_[name] = std::move(reply);
        });
    }

    std::shared_ptr<FakePool> pool_ = std::make_shared<FakePool>();
    RequestMetrics metrics_;
    Gate gate_;
    std::map<std::string, GateReply> replies_;
    std::map<std::string, int> replyCounts_;
};

auto responseWithoutSeal() -> http1::Response
{
    auto response = sealedAnswer("a");
    response.headers_.remove("Seal");
    return response;
}

auto encodedResponse() -> http1::Response
{
    auto response = sealedAnswer("a");
    response.headers_.add("Content-Encoding", "gzip");
    return response;
}

auto rejectedResponse(const std::string& attempt) -> http1::Response
{
    http1::Response response;
    response.status_ = 503;
    if (!attempt.empty()) {
        response.headers_.add("Attempt", attempt);
    }
    response.headers_.add("Not-Run", "1");
    return response;
}

auto misdirectedResponse() -> http1::Response
{
    http1::Response response;
    response.status_ = 421;
    return response;
}

} // namespace

Test(gate, maps_each_backend_result_to_an_outcome)
{
    struct Case {
        const char* name_;
        http1::CallResult result_;
        GateOutcome outcome_;
        GateReason reason_;
        bool arrived_;
    };
    const Case cases[] = {
        { "response", sealedAnswer("a"), GateOutcome::Answered, GateReason::None, true },
        { "error status", sealedAnswer("a", 500), GateOutcome::Answered, GateReason::None, true },
        { "response to another request", sealedAnswer("b"), GateOutcome::Unknown, GateReason::Malformed,
            true },
        { "success without a seal", responseWithoutSeal(), GateOutcome::Unknown, GateReason::Malformed,
            true },
        { "encoded body", encodedResponse(), GateOutcome::Unknown, GateReason::Malformed, true },
        { "rejected", rejectedResponse("a"), GateOutcome::NotRun, GateReason::Busy, true },
        { "another backend server", misdirectedResponse(), GateOutcome::NotRun, GateReason::Unavailable,
            true },
        { "no connection", http1::Failure::NotSent, GateOutcome::NotRun, GateReason::Unavailable, false },
        { "connection lost", http1::Failure::Lost, GateOutcome::Unknown, GateReason::Lost, true },
        { "no HTTP", http1::Failure::Malformed, GateOutcome::Unknown, GateReason::Malformed, true },
        { "timeout", http1::Failure::Timeout, GateOutcome::Unknown, GateReason::Timeout, true },
    };
    for (const auto& one : cases) {
        GateFixture fixture;
        fixture.submit(testCall("a"));
        fixture.pool_->answer(one.result_);
        cr_expect(fixture.replyCounts_["a"] == 1, "%s", one.name_);
        const auto& reply = fixture.replies_["a"];
        cr_expect(reply.outcome_ == one.outcome_, "%s: outcome", one.name_);
        cr_expect(reply.reason_ == one.reason_, "%s: reason %s", one.name_, gateReasonName(reply.reason_));
        cr_expect(reply.arrived_ == one.arrived_, "%s: arrived", one.name_);
    }
}

Test(gate, a_non_idempotent_attempt_is_sent_once)
{
    GateFixture fixture;
    fixture.submit(testCall("a", false));
    fixture.submit(testCall("a", false));
    cr_assert(fixture.pool_->sent_.size() == 1);
    cr_assert(fixture.replies_["a"].outcome_ == GateOutcome::Unknown);
    fixture.pool_->answer(http1::Failure::Lost);
    fixture.submit(testCall("a", false));
    cr_assert(fixture.pool_->sent_.empty());
}

Test(gate, a_rejected_attempt_may_be_sent_again)
{
    GateFixture fixture;
    fixture.submit(testCall("a", false));
    fixture.pool_->answer(rejectedResponse("a"));
    fixture.submit(testCall("a", false));
    cr_assert(fixture.pool_->sent_.size() == 1);
}

Test(gate, a_fence_blocks_attempts_that_have_not_started)
{
    GateFixture fixture(1);
    fixture.submit(testCall("running", false));
    fixture.submit(testCall("waiting", false));
    cr_assert(!fixture.gate_.fence("running"));
    cr_assert(fixture.gate_.fence("waiting"));
    cr_assert(fixture.gate_.fence("late"));
    fixture.pool_->answer(sealedAnswer("running"));
    cr_assert(fixture.pool_->sent_.empty(), "a fenced attempt was sent");
    fixture.submit(testCall("late", false));
    cr_assert(fixture.pool_->sent_.empty(), "an attempt that arrived after its fence was sent");
    cr_assert(!fixture.gate_.fence("running"), "the record of an attempt that has run was lost");
}

Test(gate, refuses_without_a_ready_backend_server)
{
    struct Case {
        BackendPhase phase_;
        GateReason reason_;
    };
    const Case cases[] = {
        { BackendPhase::Unknown, GateReason::Unavailable },
        { BackendPhase::Draining, GateReason::Draining },
        { BackendPhase::Gone, GateReason::Unavailable },
    };
    for (const auto& one : cases) {
        GateFixture fixture;
        auto instance = readyInstance();
        instance.phase_ = one.phase_;
        fixture.gate_.setInstance(instance);
        fixture.submit(testCall("a"));
        cr_expect(fixture.replies_["a"].outcome_ == GateOutcome::NotRun);
        cr_expect(fixture.replies_["a"].reason_ == one.reason_);
        cr_expect(fixture.pool_->sent_.empty());
    }
}

Test(gate, draining_drops_queued_requests_and_keeps_running_ones)
{
    GateFixture fixture(1);
    fixture.submit(testCall("running"));
    fixture.submit(testCall("waiting"));
    auto instance = readyInstance(1);
    instance.phase_ = BackendPhase::Draining;
    fixture.gate_.setInstance(instance);
    cr_assert(fixture.replies_["waiting"].outcome_ == GateOutcome::NotRun);
    cr_assert(fixture.replyCounts_["running"] == 0);
    fixture.pool_->answer(sealedAnswer("running"));
    cr_assert(fixture.replies_["running"].outcome_ == GateOutcome::Answered);
}

Test(gate, more_important_requests_start_first)
{
    GateFixture fixture(1);
    fixture.submit(testCall("running"));
    fixture.submit(testCall("browse", true, 2));
    fixture.submit(testCall("order", false, 0));
    fixture.pool_->answer(sealedAnswer("running"));
    cr_assert(fixture.pool_->sent_.begin()->second.request_.method_ == "POST");
}

Test(gate, cancel_aborts_running_requests_only_if_idempotent)
{
    GateFixture fixture;
    const auto read = fixture.submit(testCall("read"));
    const auto order = fixture.submit(testCall("order", false));
    fixture.gate_.cancel(read);
    fixture.gate_.cancel(order);
    cr_assert(fixture.pool_->cancelled_.size() == 1);
    cr_assert(fixture.pool_->sent_.size() == 1);
    fixture.pool_->answer(sealedAnswer("order"));
    cr_assert(fixture.replyCounts_.empty(), "a cancelled request was answered");
    cr_assert(fixture.gate_.inFlight() == 0);
}

Test(gate, an_expired_request_is_not_sent)
{
    GateFixture fixture;
    auto call = testCall("a");
    call.deadline_ = bootNow() - milliseconds(1);
    fixture.submit(std::move(call));
    cr_assert(fixture.replies_["a"].reason_ == GateReason::Expired);
    cr_assert(fixture.pool_->sent_.empty());
}

Test(gate, a_request_that_expires_in_the_queue_is_reported_as_not_run)
{
    GateFixture fixture(1);
    fixture.submit(testCall("running"));
    auto call = testCall("waiting", false);
    call.deadline_ = bootNow() + milliseconds(5);
    fixture.submit(std::move(call));
    const auto end = bootNow() + milliseconds(10);
    while (bootNow() < end) { }
    fixture.gate_.tick();
    cr_assert(fixture.replies_["waiting"].outcome_ == GateOutcome::NotRun);
    fixture.pool_->answer(sealedAnswer("running"));
    cr_assert(fixture.pool_->sent_.empty());
}

Test(gate, adds_headers_for_target_caller_and_remaining_time)
{
    GateFixture fixture;
    auto call = testCall("a");
    call.deadline_ = bootNow() + seconds(2);
    fixture.submit(std::move(call));
    const auto& headers = fixture.pool_->sent_.begin()->second.request_.headers_;
    cr_assert(headers.find("Target") == "i-1");
    cr_assert(headers.find("Caller") == "shop");
    const auto left = std::stoi(std::string(headers.find("Remaining-Ms")));
    cr_assert(left > 1000 && left <= 2000);
}

Test(gate, admits_only_requests_that_end_before_the_shutdown)
{
    GateFixture fixture;
    fixture.gate_.admitUntil(bootNow() + seconds(2));
    auto longCall = testCall("long");
    longCall.deadline_ = bootNow() + seconds(3);
    fixture.submit(std::move(longCall));
    cr_assert(fixture.replies_["long"].reason_ == GateReason::Stopping);
    auto shortCall = testCall("short");
    shortCall.deadline_ = bootNow() + seconds(1);
    fixture.submit(std::move(shortCall));
    cr_assert(fixture.pool_->sent_.size() == 1);
}

Test(gate, refuses_other_services_and_all_requests_while_stopping)
{
    GateFixture fixture;
    auto call = testCall("a");
    call.service_ = "files";
    fixture.submit(std::move(call));
    cr_assert(fixture.replies_["a"].reason_ == GateReason::WrongService);
    fixture.gate_.stopAdmitting();
    fixture.submit(testCall("b"));
    cr_assert(fixture.replies_["b"].reason_ == GateReason::Stopping);
}

// A late copy of a rejection without an id would let an order run twice: the order itself runs, and is
// repeated elsewhere.
Test(gate, a_rejection_of_an_order_names_the_order)
{
    GateFixture fixture;
    fixture.submit(testCall("a", false));
    fixture.pool_->answer(rejectedResponse(""));
    cr_assert(fixture.replies_["a"].outcome_ == GateOutcome::Unknown);
    fixture.submit(testCall("b", false));
    fixture.pool_->answer(rejectedResponse("b"));
    cr_assert(fixture.replies_["b"].outcome_ == GateOutcome::NotRun);
    cr_assert(fixture.pool_->sent_.empty());
}
