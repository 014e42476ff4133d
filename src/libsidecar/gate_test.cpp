#include "gate.h"

#include "gate_test_support.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

struct World {
    explicit World(int capacity = 100)
        : gate_({ .service_ = "stock", .headers_ = testHeaderNames(), .usedSlotShare_ = 1 }, pool_, metrics_)
    {
        gate_.setInstance(readyInstance(capacity));
    }

    auto submit(GateCall call) -> Gate::TicketId
    {
        const auto name = call.attemptId_;
        return gate_.submit(std::move(call), [this, name](GateReply reply) {
            ++answers_[name];
            replies_[name] = std::move(reply);
        });
    }

    std::shared_ptr<FakePool> pool_ = std::make_shared<FakePool>();
    RequestMetrics metrics_;
    Gate gate_;
    std::map<std::string, GateReply> replies_;
    std::map<std::string, int> answers_;
};

auto withoutSeal() -> http1::Response
{
    auto response = sealedAnswer("a");
    response.headers_.remove("Seal");
    return response;
}

auto encoded() -> http1::Response
{
    auto response = sealedAnswer("a");
    response.headers_.add("Content-Encoding", "gzip");
    return response;
}

auto rejected() -> http1::Response
{
    http1::Response response;
    response.status_ = 503;
    response.headers_.add("Not-Run", "1");
    return response;
}

auto misdirected() -> http1::Response
{
    http1::Response response;
    response.status_ = 421;
    return response;
}

} // namespace

Test(gate, what_each_end_at_the_backend_server_means)
{
    struct Case {
        const char* name_;
        http1::CallResult result_;
        GateOutcome outcome_;
        GateReason reason_;
        bool arrived_;
    };
    const Case cases[] = {
        { "answer", sealedAnswer("a"), GateOutcome::Answered, GateReason::None, true },
        { "failure of its own", sealedAnswer("a", 500), GateOutcome::Answered, GateReason::None, true },
        { "answer to another request", sealedAnswer("b"), GateOutcome::Unknown, GateReason::Malformed, true },
        { "success without a seal", withoutSeal(), GateOutcome::Unknown, GateReason::Malformed, true },
        { "encoded body", encoded(), GateOutcome::Unknown, GateReason::Malformed, true },
        { "rejected", rejected(), GateOutcome::NotRun, GateReason::Busy, true },
        { "another backend server", misdirected(), GateOutcome::NotRun, GateReason::Unavailable, true },
        { "no connection", http1::Failure::NotSent, GateOutcome::NotRun, GateReason::Unavailable, false },
        { "lost", http1::Failure::Lost, GateOutcome::Unknown, GateReason::Lost, true },
        { "no HTTP", http1::Failure::Malformed, GateOutcome::Unknown, GateReason::Malformed, true },
        { "timeout", http1::Failure::Timeout, GateOutcome::Unknown, GateReason::Timeout, true },
    };
    for (const auto& one : cases) {
        World world;
        world.submit(testCall("a"));
        world.pool_->answer(one.result_);
        cr_expect(world.answers_["a"] == 1, "%s", one.name_);
        const auto& reply = world.replies_["a"];
        cr_expect(reply.outcome_ == one.outcome_, "%s: outcome", one.name_);
        cr_expect(reply.reason_ == one.reason_, "%s: reason %s", one.name_, gateReasonName(reply.reason_));
        cr_expect(reply.arrived_ == one.arrived_, "%s: arrived", one.name_);
    }
}

Test(gate, an_attempt_that_may_run_once_is_passed_on_once)
{
    World world;
    world.submit(testCall("a", false));
    world.submit(testCall("a", false));
    cr_assert(world.pool_->sent_.size() == 1);
    cr_assert(world.replies_["a"].outcome_ == GateOutcome::Unknown);
    world.pool_->answer(http1::Failure::Lost);
    world.submit(testCall("a", false));
    cr_assert(world.pool_->sent_.empty());
}

Test(gate, an_attempt_that_was_rejected_may_come_again)
{
    World world;
    world.submit(testCall("a", false));
    world.pool_->answer(rejected());
    world.submit(testCall("a", false));
    cr_assert(world.pool_->sent_.size() == 1);
}

Test(gate, a_fence_holds_before_and_after_the_attempt)
{
    World world(1);
    world.submit(testCall("running", false));
    world.submit(testCall("waiting", false));
    cr_assert(!world.gate_.fence("running"));
    cr_assert(world.gate_.fence("waiting"));
    cr_assert(world.gate_.fence("late"));
    world.pool_->answer(sealedAnswer("running"));
    cr_assert(world.pool_->sent_.empty(), "a fenced attempt was passed on");
    world.submit(testCall("late", false));
    cr_assert(world.pool_->sent_.empty(), "an attempt that came behind its fence was passed on");
    cr_assert(!world.gate_.fence("running"), "an attempt that has run was forgotten");
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
        World world;
        auto instance = readyInstance();
        instance.phase_ = one.phase_;
        world.gate_.setInstance(instance);
        world.submit(testCall("a"));
        cr_expect(world.replies_["a"].outcome_ == GateOutcome::NotRun);
        cr_expect(world.replies_["a"].reason_ == one.reason_);
        cr_expect(world.pool_->sent_.empty());
    }
}

Test(gate, a_leave_drops_what_waits_and_keeps_what_runs)
{
    World world(1);
    world.submit(testCall("running"));
    world.submit(testCall("waiting"));
    auto instance = readyInstance(1);
    instance.phase_ = BackendPhase::Draining;
    world.gate_.setInstance(instance);
    cr_assert(world.replies_["waiting"].outcome_ == GateOutcome::NotRun);
    cr_assert(world.answers_["running"] == 0);
    world.pool_->answer(sealedAnswer("running"));
    cr_assert(world.replies_["running"].outcome_ == GateOutcome::Answered);
}

Test(gate, important_requests_go_first)
{
    World world(1);
    world.submit(testCall("running"));
    world.submit(testCall("browse", true, 2));
    world.submit(testCall("order", false, 0));
    world.pool_->answer(sealedAnswer("running"));
    cr_assert(world.pool_->sent_.begin()->second.request_.method_ == "POST");
}

Test(gate, cancel_stops_idempotent_requests_only)
{
    World world;
    const auto read = world.submit(testCall("read"));
    const auto order = world.submit(testCall("order", false));
    world.gate_.cancel(read);
    world.gate_.cancel(order);
    cr_assert(world.pool_->cancelled_.size() == 1);
    cr_assert(world.pool_->sent_.size() == 1);
    world.pool_->answer(sealedAnswer("order"));
    cr_assert(world.answers_.empty(), "an abandoned request was answered");
    cr_assert(world.gate_.inFlight() == 0);
}

Test(gate, an_expired_request_is_not_passed_on)
{
    World world;
    auto call = testCall("a");
    call.deadline_ = bootNow() - milliseconds(1);
    world.submit(std::move(call));
    cr_assert(world.replies_["a"].reason_ == GateReason::Expired);
    cr_assert(world.pool_->sent_.empty());
}

Test(gate, a_waiting_request_expires_with_a_true_refusal)
{
    World world(1);
    world.submit(testCall("running"));
    auto call = testCall("waiting", false);
    call.deadline_ = bootNow() + milliseconds(5);
    world.submit(std::move(call));
    const auto end = bootNow() + milliseconds(10);
    while (bootNow() < end) { }
    world.gate_.tick();
    cr_assert(world.replies_["waiting"].outcome_ == GateOutcome::NotRun);
    world.pool_->answer(sealedAnswer("running"));
    cr_assert(world.pool_->sent_.empty());
}

Test(gate, names_the_backend_server_the_caller_and_the_time_left)
{
    World world;
    auto call = testCall("a");
    call.deadline_ = bootNow() + seconds(2);
    world.submit(std::move(call));
    const auto& headers = world.pool_->sent_.begin()->second.request_.headers_;
    cr_assert(headers.find("Target") == "i-1");
    cr_assert(headers.find("Caller") == "shop");
    const auto left = std::stoi(std::string(headers.find("Remaining-Ms")));
    cr_assert(left > 1000 && left <= 2000);
}

Test(gate, takes_only_what_ends_before_the_stop)
{
    World world;
    world.gate_.admitUntil(bootNow() + seconds(2));
    auto longCall = testCall("long");
    longCall.deadline_ = bootNow() + seconds(3);
    world.submit(std::move(longCall));
    cr_assert(world.replies_["long"].reason_ == GateReason::Stopping);
    auto shortCall = testCall("short");
    shortCall.deadline_ = bootNow() + seconds(1);
    world.submit(std::move(shortCall));
    cr_assert(world.pool_->sent_.size() == 1);
}

Test(gate, refuses_another_service_and_after_the_stop)
{
    World world;
    auto call = testCall("a");
    call.service_ = "files";
    world.submit(std::move(call));
    cr_assert(world.replies_["a"].reason_ == GateReason::WrongService);
    world.gate_.stopAdmitting();
    world.submit(testCall("b"));
    cr_assert(world.replies_["b"].reason_ == GateReason::Stopping);
}
