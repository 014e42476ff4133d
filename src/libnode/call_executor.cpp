#include "call_executor.h"

#include "caller_answer.h"
#include "overload_counts.h"
#include "path_group.h"
#include "wagtailhead/log.h"

#include <asio/post.hpp>

namespace wagtailhead {

namespace {

constexpr Duration tickInterval = milliseconds(20);
/// Without calls only the shedding level has to decay.
constexpr Duration idleTickInterval = milliseconds(100);
constexpr int statusServerError = 500;
constexpr int statusGatewayTimeout = 504;
/// The backend server watches the deadline itself; its own answer is better than a cut connection.
constexpr Duration backendGrace = milliseconds(50);

auto admissionOptions(const NodeSettings& settings) -> AdmissionOptions
{
    AdmissionOptions options;
    options.slots_ = settings.slots_;
    options.connections_ = settings.connections_;
    options.limit_ = settings.admission_;
    options.queue_ = settings.admission_;
    options.shedding_ = settings.shedding_;
    return options;
}

auto replyOf(Answer answer, bool localRefusal) -> CallReply
{
    CallReply reply;
    reply.answer_ = std::move(answer);
    reply.localRefusal_ = localRefusal;
    return reply;
}

/// Turns the result of the HTTP call to the backend server into an answer.
auto answerOf(HttpResult result) -> Answer
{
    if (auto* response = std::get_if<HttpResponse>(&result)) {
        if (response->status_ == statusGatewayTimeout) {
            // The backend server gave up at the deadline; how far it came is not known.
            return unknownOutcome("deadline");
        }
        return { Outcome::Completed, response->status_, "ok", removeHopHeaders(std::move(response->headers_)),
            std::move(response->body_) };
    }
    switch (std::get<HttpFailure>(result)) {
    case HttpFailure::NotSent:
        return notRun("backend-unreachable");
    case HttpFailure::Lost:
        return unknownOutcome("backend-lost");
    case HttpFailure::Timeout:
        return unknownOutcome("deadline");
    case HttpFailure::Cancelled:
        return unknownOutcome("cancelled");
    }
    return unknownOutcome("internal");
}

} // namespace

enum class ExecutionState : std::uint8_t {
    Checking, ///< Waits for the ledger.
    Queued,
    Running, ///< Holds a place at the backend server.
    Released, ///< The place has been given back.
};

/// One call at this node. Its fields are guarded by the executor's mutex.
struct CallExecutor::Execution {
    CallRequest call_;
    NodeRef from_;
    ReplyFunction reply_;
    ExecutionState state_ = ExecutionState::Checking;
    AdmissionId admission_ = 0;
    ContextToken token_ = 0; ///< 0 until dispatched.
    HttpClient::RequestId http_ = 0;
    bool cancelled_ = false; ///< Nobody waits for the reply any more.
    CallSummary summary_;
};

CallExecutor::CallExecutor(CallExecutorParts parts, const NodeSettings& settings)
    : parts_(std::move(parts))
    , self_(settings.self_)
    , service_(settings.service_)
    , backend_(settings.backend_)
    , admission_(admissionOptions(settings))
    , ticker_(parts_.context_)
{
    tick();
}

CallExecutor::~CallExecutor() = default;

auto CallExecutor::tick() -> void
{
    apply(admission_.tick(Clock::now()));
    ticker_.expires_after(inFlight() == 0 ? idleTickInterval : tickInterval);
    ticker_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

auto CallExecutor::refusalFor(const CallRequest& call) const -> std::optional<std::pair<Answer, bool>>
{
    if (call.target_ != self_ || call.service_ != service_) {
        return std::pair(notRun("wrong-target"), true);
    }
    if (call.context_.depth_ > maxCallDepth) {
        return std::pair(notRun("too-deep", 400), false);
    }
    if (call.context_.deadline_ <= Clock::now()) {
        return std::pair(notRun("deadline"), false);
    }
    if (leaving_) {
        return std::pair(notRun("leaving"), true);
    }
    if (!backendUp_) {
        return std::pair(notRun("backend-down"), true);
    }
    return std::nullopt;
}

auto CallExecutor::execute(const NodeRef& from, CallRequest call, ReplyFunction reply) -> void
{
    auto execution = std::make_shared<Execution>();
    execution->call_ = std::move(call);
    execution->from_ = from;
    execution->reply_ = std::move(reply);
    execution->summary_.unusedRetries_ = execution->call_.context_.retryAllowance_;
    {
        const std::lock_guard lock(mutex_);
        byCall_[{ from, execution->call_.callId_ }] = execution;
    }
    const auto refusal = refusalFor(execution->call_);
    if (execution->call_.once_) {
        executeOnce(execution, refusal ? std::optional(refusal->first) : std::nullopt);
    } else if (refusal) {
        finish(execution, replyOf(refusal->first, refusal->second));
    } else {
        admit(execution);
    }
}

auto CallExecutor::executeOnce(const ExecutionPtr& execution, std::optional<Answer> refusal) -> void
{
    OnceGuard::Events events;
    events.onAnswer_ = [this, execution](Answer answer, TimePoint notRunUntil) {
        auto reply = replyOf(std::move(answer), false);
        reply.notRunUntil_ = notRunUntil;
        finish(execution, std::move(reply));
    };
    events.onReady_ = [this, execution] {
        admit(execution);
    };
    events.onWithdrawn_ = [this, execution] {
        withdraw(execution);
    };
    parts_.once_.begin(execution->call_, std::move(refusal), std::move(events));
}

auto CallExecutor::withdraw(const ExecutionPtr& execution) -> void
{
    AdmissionId queued = 0;
    {
        const std::lock_guard lock(mutex_);
        queued = execution->state_ == ExecutionState::Queued ? execution->admission_ : 0;
    }
    if (queued != 0) {
        apply(admission_.cancel(queued, Clock::now()));
    }
}

auto CallExecutor::admit(const ExecutionPtr& execution) -> void
{
    AdmissionCall call;
    {
        const std::lock_guard lock(mutex_);
        if (execution->cancelled_ && !execution->call_.once_) {
            return;
        }
        execution->admission_ = nextAdmission_++;
        execution->state_ = ExecutionState::Queued;
        byAdmission_[execution->admission_] = execution;
        call = admissionCallOf(
            execution->admission_, execution->call_.context_, pathGroupHash(execution->call_.http_));
    }
    const auto decision = admission_.arrive(call, Clock::now());
    apply(decision.others_);
    if (decision.action_ == AdmissionAction::Start) {
        begin(execution);
    } else if (decision.action_ == AdmissionAction::Refuse) {
        refuse(execution, notRun(refusalReasonName(decision.refusal_.reason_)), decision.refusal_.local_);
    }
}

auto CallExecutor::find(AdmissionId id) -> ExecutionPtr
{
    const std::lock_guard lock(mutex_);
    const auto found = byAdmission_.find(id);
    return found == byAdmission_.end() ? nullptr : found->second;
}

auto CallExecutor::apply(const AdmissionChange& change) -> void
{
    for (const auto& refusal : change.dropped_) {
        if (const auto execution = find(refusal.id_)) {
            refuse(execution, notRun(refusalReasonName(refusal.reason_)), refusal.local_);
        }
    }
    for (const auto id : change.start_) {
        if (const auto execution = find(id)) {
            begin(execution);
        }
    }
}

auto CallExecutor::begin(const ExecutionPtr& execution) -> void
{
    {
        const std::lock_guard lock(mutex_);
        execution->state_ = ExecutionState::Running;
    }
    if (execution->call_.once_) {
        if (parts_.once_.mayDispatch(execution->call_)) {
            dispatch(execution);
        } else {
            release(execution, CallEnd::Cancelled);
        }
        return;
    }
    if (execution->call_.context_.deadline_ <= Clock::now()) {
        release(execution, CallEnd::Cancelled);
        finish(execution, replyOf(notRun("deadline"), false));
        return;
    }
    dispatch(execution);
}

auto CallExecutor::backendRequest(const Execution& execution) const -> HttpRequest
{
    const auto& call = execution.call_;
    auto request = call.http_;
    const auto left = call.context_.deadline_ - Clock::now();
    const auto leftMs = std::max<std::int64_t>(1, std::chrono::duration_cast<milliseconds>(left).count());
    request.headers_.emplace_back(headers::context, formatId(execution.token_));
    request.headers_.emplace_back(headers::attempt, call.attempt_.text());
    request.headers_.emplace_back(headers::requestClass, priorityName(call.context_.priority_));
    request.headers_.emplace_back(headers::deadline, std::to_string(leftMs));
    request.headers_.emplace_back(headers::requestId, formatId(call.context_.rootId_));
    if (!call.context_.idempotencyKey_.empty()) {
        request.headers_.emplace_back(headers::idempotencyKey, call.context_.idempotencyKey_);
    }
    return request;
}

auto CallExecutor::dispatch(const ExecutionPtr& execution) -> void
{
    const auto timeout
        = std::max(execution->call_.context_.deadline_ - Clock::now(), Duration::zero()) + backendGrace;
    const auto token = parts_.calls_.open(execution->call_.context_);
    execution->token_ = token;
    const auto id = parts_.http_.send(
        backend_, backendRequest(*execution), timeout, [this, execution](HttpResult result) {
            onBackendResult(execution, std::move(result));
        });
    bool cancelled = false;
    {
        const std::lock_guard lock(mutex_);
        execution->http_ = id;
        cancelled = execution->cancelled_ && !execution->call_.once_;
    }
    if (cancelled) {
        parts_.http_.cancel(id);
    }
}

auto CallExecutor::onBackendResult(const ExecutionPtr& execution, HttpResult result) -> void
{
    auto answer = answerOf(std::move(result));
    const bool failed = answer.outcome_ != Outcome::Completed || answer.status_ >= statusServerError;
    execution->summary_ = parts_.calls_.close(execution->token_, Clock::now());
    parts_.cancelSubCalls_(execution->summary_.running_);
    release(execution, failed ? CallEnd::Failed : CallEnd::Completed);
    if (execution->call_.once_) {
        parts_.once_.finished(execution->call_, answer);
        return;
    }
    const bool local = answer.outcome_ == Outcome::NotRun;
    finish(execution, replyOf(std::move(answer), local));
}

auto CallExecutor::release(const ExecutionPtr& execution, CallEnd end) -> void
{
    {
        const std::lock_guard lock(mutex_);
        execution->state_ = ExecutionState::Released;
        byAdmission_.erase(execution->admission_);
    }
    const FinishedCall finished { execution->admission_, end, execution->summary_.subCallTime_ };
    apply(admission_.finish(finished, Clock::now()));
}

auto CallExecutor::refuse(const ExecutionPtr& execution, Answer answer, bool local) -> void
{
    {
        const std::lock_guard lock(mutex_);
        execution->state_ = ExecutionState::Released;
        byAdmission_.erase(execution->admission_);
    }
    if (answer.reason_ != refusalReasonName(RefusalReason::Cancelled)) {
        overloadCounts().countShed(service_, execution->call_.context_.priority_, Clock::now());
    }
    if (execution->call_.once_) {
        parts_.once_.refused(execution->call_, answer);
        return;
    }
    finish(execution, replyOf(std::move(answer), local));
}

auto CallExecutor::finish(const ExecutionPtr& execution, CallReply reply) -> void
{
    ReplyFunction function;
    {
        const std::lock_guard lock(mutex_);
        byCall_.erase({ execution->from_, execution->call_.callId_ });
        function = std::exchange(execution->reply_, nullptr);
        if (execution->cancelled_) {
            return;
        }
    }
    if (!function) {
        return;
    }
    reply.callId_ = execution->call_.callId_;
    reply.unusedRetries_ = execution->summary_.unusedRetries_;
    reply.load_ = admission_.load();
    reply.subtreeLevel_ = execution->summary_.strictest_.level_;
    reply.subtreeService_ = execution->summary_.strictest_.service_;
    if (isStricter(reply.load_.level_, reply.subtreeLevel_)) {
        reply.subtreeLevel_ = reply.load_.level_;
        reply.subtreeService_ = service_;
    }
    function(std::move(reply));
}

auto CallExecutor::cancel(const NodeRef& from, std::uint64_t callId) -> void
{
    ExecutionPtr execution;
    AdmissionId queued = 0;
    HttpClient::RequestId running = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto found = byCall_.find({ from, callId });
        if (found == byCall_.end()) {
            return;
        }
        execution = found->second;
        execution->cancelled_ = true;
        if (execution->call_.once_) {
            return;
        }
        byCall_.erase(found);
        queued = execution->state_ == ExecutionState::Queued ? execution->admission_ : 0;
        running = execution->state_ == ExecutionState::Running ? execution->http_ : 0;
    }
    if (queued != 0) {
        apply(admission_.cancel(queued, Clock::now()));
    }
    if (running != 0) {
        parts_.cancelSubCalls_(parts_.calls_.cancel(execution->token_));
        parts_.http_.cancel(running);
    }
}

auto CallExecutor::nextLocalId() -> std::uint64_t
{
    return ++nextLocalId_;
}

auto CallExecutor::startLeaving() -> void
{
    leaving_ = true;
}

auto CallExecutor::isLeaving() const -> bool
{
    return leaving_;
}

auto CallExecutor::setBackendUp(bool up) -> void
{
    backendUp_ = up;
}

auto CallExecutor::isBackendUp() const -> bool
{
    return backendUp_;
}

auto CallExecutor::load() const -> LoadReport
{
    return admission_.load();
}

auto CallExecutor::stats() const -> AdmissionStats
{
    return admission_.stats();
}

auto CallExecutor::inFlight() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return byCall_.size() + byAdmission_.size();
}

} // namespace wagtailhead
