#include "call_sender.h"

#include "call_executor.h"
#include "caller_answer.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace wagtailhead {

namespace {

/// Time for the reply to travel after the callee has given up at the deadline.
constexpr Duration replyGrace = milliseconds(100);
constexpr std::size_t frameOverheadBytes = 200;
constexpr int statusNotFound = 404;

auto headerBytes(const HttpHeaders& headers) -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto& [name, value] : headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

/// Returns how an attempt with this answer counts for the member that gave it.
auto attemptEndOf(const CallReply& reply) -> AttemptEnd
{
    switch (reply.answer_.outcome_) {
    case Outcome::Completed:
        return AttemptEnd::Answered;
    case Outcome::NotRun:
        return reply.localRefusal_ ? AttemptEnd::Refused : AttemptEnd::Neutral;
    case Outcome::Unknown:
        return AttemptEnd::Failed;
    }
    return AttemptEnd::Neutral;
}

} // namespace

/// One call under way: attempt after attempt until an answer is final.
class SendOperation final : public CallHandle, public std::enable_shared_from_this<SendOperation> {
public:
    SendOperation(CallSender& sender, OutgoingCall call, CallSender::Callback callback)
        : sender_(sender)
        , parts_(sender.parts_)
        , call_(std::move(call))
        , callback_(std::move(callback))
        , backoff_(parts_.context_)
    {
    }

    auto attempt() -> void;
    auto cancel() -> void override;

private:
    auto sendTo(const Member& member) -> void;
    auto onReply(const Member& member, int lent, std::variant<Message, PeerFailure> result) -> void;
    auto onCallReply(const Member& member, int lent, CallReply reply) -> void;
    auto onFailure(const Member& member, PeerFailure failure) -> void;
    auto retryOrFinish(FailedAttempt failed, Answer finalAnswer) -> void;
    auto finish(Answer answer) -> void;
    auto finishLater(Answer answer) -> void;

    CallSender& sender_;
    CallSenderParts& parts_;
    OutgoingCall call_;
    CallSender::Callback callback_;
    asio::steady_timer backoff_;

    std::mutex mutex_; // Guards the fields below.
    bool done_ = false;
    std::uint64_t requestId_ = 0; ///< Of the attempt at a peer; 0 if none.
    std::uint64_t localId_ = 0; ///< Of the attempt at this node; 0 if none.
    std::optional<Member> current_;
    std::vector<NodeRef> tried_;
    int attempts_ = 0;
    int overloadRetries_ = 0;
    /// An earlier attempt may have run, so that "not run" would not be true for the request any more.
    bool mayHaveRun_ = false;
    SheddingLevel subtreeLevel_;
    std::string subtreeService_;
};

auto SendOperation::attempt() -> void
{
    const auto now = Clock::now();
    if (call_.context_.deadline_ <= now) {
        finishLater(notRun("deadline"));
        return;
    }
    RouteRequest request { call_.service_, call_.context_.priority_, wireSize(call_.http_), tried_ };
    auto route = parts_.router_.choose(*parts_.members_.snapshot(), request, now, WallClock::now());
    if (const auto* failure = std::get_if<RouteFailure>(&route)) {
        const bool unknown = *failure == RouteFailure::UnknownService;
        finishLater(notRun(routeFailureName(*failure), unknown ? statusNotFound : 503));
        return;
    }
    sendTo(std::get<Member>(route));
}

auto SendOperation::sendTo(const Member& member) -> void
{
    const auto now = Clock::now();
    CallRequest request;
    request.target_ = member.ref_;
    request.attempt_ = sender_.nextAttempt();
    request.context_ = call_.context_;
    const int lent = call_.allowance_->lend();
    request.context_.retryAllowance_ = lent;
    request.once_ = false;
    request.idempotent_ = call_.class_.idempotent_;
    request.acceptedAt_ = call_.acceptedAt_;
    request.service_ = call_.service_;
    request.http_ = call_.http_;
    auto onResult = [self = shared_from_this(), member, lent](std::variant<Message, PeerFailure> result) {
        self->onReply(member, lent, std::move(result));
    };
    const std::lock_guard lock(mutex_);
    if (done_) {
        return;
    }
    ++attempts_;
    tried_.push_back(member.ref_);
    current_ = member;
    requestId_ = localId_ = 0;
    if (member.ref_ == parts_.self_) {
        localId_ = parts_.executor_.nextLocalId();
        request.callId_ = localId_;
        asio::post(
            parts_.context_, [self = shared_from_this(), request = std::move(request), onResult]() mutable {
                self->parts_.executor_.execute(
                    self->parts_.self_, std::move(request), [onResult](CallReply reply) {
                        onResult(Message(std::move(reply)));
                    });
            });
        return;
    }
    const auto timeout = request.context_.deadline_ - now + replyGrace;
    requestId_ = parts_.transport_.request(peerTargetOf(member), channelOf(call_.context_.priority_),
        std::move(request), timeout, std::move(onResult));
}

auto SendOperation::onReply(const Member& member, int lent, std::variant<Message, PeerFailure> result) -> void
{
    {
        const std::lock_guard lock(mutex_);
        if (done_) {
            return;
        }
        current_.reset();
    }
    if (const auto* failure = std::get_if<PeerFailure>(&result)) {
        onFailure(member, *failure);
        return;
    }
    if (auto* reply = std::get_if<CallReply>(&std::get<Message>(result))) {
        onCallReply(member, lent, std::move(*reply));
        return;
    }
    onFailure(member, PeerFailure::Lost);
}

auto SendOperation::onCallReply(const Member& member, int lent, CallReply reply) -> void
{
    const auto now = Clock::now();
    parts_.router_.ended(member.ref_,
        { attemptEndOf(reply), call_.context_.priority_, reply.load_, wireSize(reply.answer_) }, now);
    call_.allowance_->takeBack(lent, reply.unusedRetries_);
    {
        const std::lock_guard lock(mutex_);
        if (isStricter(reply.subtreeLevel_, subtreeLevel_)) {
            subtreeLevel_ = reply.subtreeLevel_;
            subtreeService_ = reply.subtreeService_;
        }
    }
    if (reply.answer_.outcome_ == Outcome::Completed) {
        finish(std::move(reply.answer_));
        return;
    }
    FailedAttempt failed;
    failed.knownNotRun_ = reply.answer_.outcome_ == Outcome::NotRun;
    failed.overloaded_ = failed.knownNotRun_;
    failed.localRefusal_ = reply.localRefusal_;
    retryOrFinish(failed, std::move(reply.answer_));
}

auto SendOperation::onFailure(const Member& member, PeerFailure failure) -> void
{
    const auto end = failure == PeerFailure::Timeout ? AttemptEnd::TimedOut : AttemptEnd::Failed;
    parts_.router_.ended(member.ref_, { end, call_.context_.priority_ }, Clock::now());
    FailedAttempt failed;
    failed.knownNotRun_ = failure == PeerFailure::NotSent;
    retryOrFinish(failed, failed.knownNotRun_ ? notRun("node-unreachable") : unknownOutcome("answer-lost"));
}

auto SendOperation::retryOrFinish(FailedAttempt failed, Answer finalAnswer) -> void
{
    const auto now = Clock::now();
    {
        const std::lock_guard lock(mutex_);
        mayHaveRun_ = mayHaveRun_ || !failed.knownNotRun_;
        failed.attempts_ = attempts_;
        failed.overloadRetries_ = overloadRetries_;
    }
    failed.idempotent_ = call_.class_.idempotent_;
    failed.deadline_ = call_.context_.deadline_;
    const auto decision
        = parts_.retryPolicy_.decide(failed, *call_.allowance_, sender_.budgetOf(call_.service_), now);
    if (!decision.retry()) {
        finish(std::move(finalAnswer));
        return;
    }
    const std::lock_guard lock(mutex_);
    if (done_) {
        return;
    }
    overloadRetries_ += failed.overloaded_ ? 1 : 0;
    backoff_.expires_after(decision.backoff_);
    backoff_.async_wait([self = shared_from_this()](const asio::error_code& error) {
        if (!error) {
            self->attempt();
        }
    });
}

auto SendOperation::finish(Answer answer) -> void
{
    CallResult result;
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(done_, true)) {
            return;
        }
        if (mayHaveRun_ && answer.outcome_ == Outcome::NotRun) {
            answer = unknownOutcome(answer.reason_);
        }
        result = { std::move(answer), subtreeLevel_, subtreeService_ };
    }
    callback_(std::move(result));
}

auto SendOperation::finishLater(Answer answer) -> void
{
    asio::post(parts_.context_, [self = shared_from_this(), answer = std::move(answer)]() mutable {
        self->finish(std::move(answer));
    });
}

auto SendOperation::cancel() -> void
{
    std::optional<Member> member;
    std::uint64_t requestId = 0;
    std::uint64_t localId = 0;
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(done_, true)) {
            return;
        }
        backoff_.cancel();
        member = current_;
        requestId = requestId_;
        localId = localId_;
    }
    if (!member) {
        return;
    }
    parts_.router_.ended(member->ref_, { AttemptEnd::Neutral, call_.context_.priority_ }, Clock::now());
    if (localId != 0) {
        parts_.executor_.cancel(parts_.self_, localId);
    } else if (requestId != 0) {
        parts_.transport_.cancel(requestId);
    }
}

CallSender::CallSender(CallSenderParts parts)
    : parts_(std::move(parts))
{
}

auto CallSender::send(OutgoingCall call, Callback callback) -> std::shared_ptr<CallHandle>
{
    budgetOf(call.service_).onFirstTry();
    auto operation = std::make_shared<SendOperation>(*this, std::move(call), std::move(callback));
    operation->attempt();
    return operation;
}

auto CallSender::budgetOf(const std::string& service) -> RetryBudget&
{
    const double share = parts_.config_.current()->retries_.budgetPercent_ / 100.0;
    const RetryBudgetOptions options { share, RetryBudgetOptions {}.burst_ };
    const std::lock_guard lock(mutex_);
    if (share != budgetShare_) {
        for (const auto& [name, known] : budgets_) {
            known->configure(options);
        }
    }
    budgetShare_ = share;
    auto& budget = budgets_[service];
    if (!budget) {
        budget = std::make_unique<RetryBudget>(options);
    }
    return *budget;
}

auto CallSender::calledServices() -> std::vector<std::string>
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> services;
    for (const auto& [service, budget] : budgets_) {
        services.push_back(service);
    }
    return services;
}

auto CallSender::nextAttempt() -> AttemptId
{
    return { parts_.self_, ++attempts_ };
}

auto peerTargetOf(const Member& member) -> PeerTarget
{
    return { member.ref_, member.zone_, member.peer_ };
}

auto channelOf(Priority priority) -> PeerChannel
{
    return priority == Priority::Bulk ? PeerChannel::Bulk : PeerChannel::Normal;
}

auto wireSize(const HttpRequest& request) -> std::size_t
{
    return frameOverheadBytes + request.target_.size() + headerBytes(request.headers_) + request.body_.size();
}

auto wireSize(const Answer& answer) -> std::size_t
{
    return frameOverheadBytes + headerBytes(answer.headers_) + answer.body_.size();
}

} // namespace wagtailhead
