#include "call_entry.h"

#include "caller_answer.h"
#include "overload_counts.h"
#include "path_group.h"
#include "wagtailhead/log.h"
#include "wagtailhead/metrics.h"

namespace wagtailhead {

namespace {

constexpr int statusBadRequest = 400;

auto outcomeCounter(Outcome outcome, Priority priority) -> prometheus::Counter&
{
    static const auto counters = [] {
        std::array<std::array<prometheus::Counter*, priorityCount>, 3> all {};
        for (const auto value : { Outcome::Completed, Outcome::NotRun, Outcome::Unknown }) {
            for (const auto each : allPriorities) {
                all.at(static_cast<std::size_t>(value)).at(static_cast<std::size_t>(each))
                    = &counter("wagtailhead_requests_total", "Answered requests of callers and sub-calls.",
                        { { "outcome", outcomeName(value) }, { "priority", priorityName(each) } });
            }
        }
        return all;
    }();
    return *counters.at(static_cast<std::size_t>(outcome)).at(static_cast<std::size_t>(priority));
}

/// Returns the key of an operation that runs at most once under a running call: the one that the backend
/// server sent, or one derived from the parent's key, so that a repeat of the sub-call has the same key.
auto subCallKey(const ParsedRequest& parsed, const CallContext& parent) -> std::string
{
    if (!parsed.key_.empty()) {
        return parsed.key_;
    }
    const auto& base = parent.idempotencyKey_;
    const auto prefixEnd = base.find(':');
    // The region or zone in front of the parent's key places the sub-call near its parent.
    const auto place = prefixEnd == std::string::npos ? std::string() : base.substr(0, prefixEnd + 1);
    auto hash = stableHash(base.empty() ? formatId(parent.rootId_) : base);
    for (const auto& part :
        { parsed.service_, parsed.http_.method_, parsed.http_.target_, parsed.http_.body_ }) {
        hash = stableHash(part, hash);
    }
    return place + "sub-" + formatId(hash) + formatId(stableHash(base, hash));
}

} // namespace

/// One request that waits for its answer. The handle is set and used under the entry's mutex.
struct CallEntry::Request {
    std::shared_ptr<HttpResponder> responder_;
    std::shared_ptr<CallHandle> handle_;
    TimePoint arrivedAt_ = Clock::now();
    std::string requestId_;
    std::string service_;
    std::string pathGroup_;
    Priority priority_ = Priority::Bulk;
    ContextToken parent_ = 0; ///< 0 for a root.
    SubCallId subCall_ = 0;
    bool answered_ = false;
};

CallEntry::CallEntry(CallEntryParts parts, std::uint64_t seed)
    : parts_(parts)
    , random_(seed)
{
}

auto CallEntry::newRootId() -> RootId
{
    const std::lock_guard lock(mutex_);
    return random_();
}

auto CallEntry::onCallerRequest(HttpRequest httpRequest, const std::shared_ptr<HttpResponder>& responder)
    -> void
{
    auto request = std::make_shared<Request>();
    request->responder_ = responder;
    if (leaving_) {
        answer(request, notRun("leaving"));
        return;
    }
    const auto config = parts_.config_.current();
    auto parsed = parseRequest(std::move(httpRequest), *config, true);
    if (const auto* wrong = std::get_if<Answer>(&parsed)) {
        answer(request, *wrong);
        return;
    }
    auto& good = std::get<ParsedRequest>(parsed);
    if (!config->isComplete() && !good.class_.idempotent_ && good.http_.method_ != "GET") {
        // Without the classes nobody knows whether this operation must run at most once.
        answer(request, notRun("no-configuration"));
        return;
    }
    const auto priority = good.class_.priority_;
    startRoot(request, std::move(good), priority);
}

auto CallEntry::startRoot(const RequestPtr& request, ParsedRequest parsed, Priority priority) -> void
{
    const auto now = Clock::now();
    const auto config = parts_.config_.current();
    OutgoingCall call;
    call.context_.rootId_ = newRootId();
    call.context_.rootHash_ = rootHashOf(call.context_.rootId_);
    call.context_.priority_ = priority;
    call.context_.deadline_ = now + parsed.deadline_;
    call.context_.idempotencyKey_ = parsed.key_;
    call.allowance_ = std::make_shared<RetryAllowance>(config->retries_.allowance_);
    call.acceptedAt_ = now;
    call.service_ = parsed.service_;
    call.class_ = parsed.class_;
    call.http_ = std::move(parsed.http_);
    request->requestId_ = formatId(call.context_.rootId_);
    request->service_ = call.service_;
    request->pathGroup_ = pathGroup(call.http_);
    request->priority_ = priority;
    const auto level
        = parts_.levels_.check(call.service_, request->pathGroup_, priority, call.context_.rootHash_, now);
    // An order that an earlier attempt may have started is the business of the key's owner alone.
    if (level.verdict_ == LevelVerdict::Refuse && !call.class_.once_) {
        overloadCounts().countShed(call.service_, priority, now);
        answer(request, notRun("shed"));
        return;
    }
    send(request, std::move(call));
}

auto CallEntry::onSubCall(HttpRequest httpRequest, const std::shared_ptr<HttpResponder>& responder) -> void
{
    auto request = std::make_shared<Request>();
    request->responder_ = responder;
    const auto tokenText = findHeader(httpRequest.headers_, headers::context);
    const auto token = tokenText ? parseContextToken(*tokenText) : std::nullopt;
    const auto config = parts_.config_.current();
    auto parsed = parseRequest(std::move(httpRequest), *config, !token);
    if (const auto* wrong = std::get_if<Answer>(&parsed)) {
        answer(request, *wrong);
        return;
    }
    if (token) {
        startSubCall(request, std::move(std::get<ParsedRequest>(parsed)), *token);
    } else {
        startRoot(request, std::move(std::get<ParsedRequest>(parsed)), Priority::Bulk);
    }
}

auto CallEntry::startSubCall(const RequestPtr& request, ParsedRequest parsed, ContextToken parent) -> void
{
    const auto now = Clock::now();
    const auto running = parts_.calls_.find(parent);
    const SubCallKey key { parsed.http_.method_, "/" + parsed.service_ + parsed.http_.target_,
        stableHash(parsed.http_.body_) };
    auto begun = parts_.calls_.beginSubCall(parent, key, now);
    if (const auto* refusal = std::get_if<SubCallRefusal>(&begun)) {
        answer(request,
            notRun(
                subCallRefusalName(*refusal), *refusal == SubCallRefusal::TooDeep ? statusBadRequest : 503));
        return;
    }
    auto& grant = std::get<SubCallGrant>(begun);
    request->parent_ = parent;
    request->subCall_ = grant.id_;
    request->requestId_ = formatId(grant.context_.rootId_);
    request->service_ = parsed.service_;
    request->pathGroup_ = pathGroup(parsed.http_);
    request->priority_ = grant.context_.priority_;
    OutgoingCall call;
    call.context_ = grant.context_;
    call.context_.deadline_ = std::min(call.context_.deadline_, now + parsed.deadline_);
    if (parsed.class_.once_ && running) {
        call.context_.idempotencyKey_ = subCallKey(parsed, running->context_);
    }
    call.allowance_ = grant.allowance_;
    call.acceptedAt_ = now;
    call.service_ = parsed.service_;
    call.class_ = parsed.class_;
    call.http_ = std::move(parsed.http_);
    {
        const std::lock_guard lock(mutex_);
        subCalls_[grant.id_] = request;
    }
    send(request, std::move(call));
}

auto CallEntry::send(const RequestPtr& request, OutgoingCall call) -> void
{
    {
        const std::lock_guard lock(mutex_);
        ++inFlight_;
    }
    auto callback = [this, request](CallResult result) {
        onResult(request, std::move(result));
    };
    auto handle = call.class_.once_ ? parts_.once_.send(std::move(call), std::move(callback))
                                    : parts_.sender_.send(std::move(call), std::move(callback));
    {
        const std::lock_guard lock(mutex_);
        if (!request->answered_) {
            request->handle_ = std::move(handle);
        }
    }
    request->responder_->onCallerGone([this, weak = std::weak_ptr(request)] {
        if (const auto open = weak.lock()) {
            onCallerGone(open);
        }
    });
}

auto CallEntry::onResult(const RequestPtr& request, CallResult result) -> void
{
    const auto now = Clock::now();
    parts_.levels_.learn(
        request->service_, request->pathGroup_, result.subtreeLevel_, result.subtreeService_, now);
    if (request->parent_ != 0) {
        parts_.calls_.endSubCall(
            request->parent_, request->subCall_, { result.subtreeLevel_, result.subtreeService_ }, now);
    }
    {
        const std::lock_guard lock(mutex_);
        --inFlight_;
    }
    answer(request, result.answer_);
}

auto CallEntry::answer(const RequestPtr& request, const Answer& answer) -> void
{
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(request->answered_, true)) {
            return;
        }
        request->handle_.reset();
        subCalls_.erase(request->subCall_);
        auto& count = answer.outcome_ == Outcome::Completed ? stats_.completed_
            : answer.outcome_ == Outcome::NotRun            ? stats_.notRun_
                                                            : stats_.unknown_;
        ++count;
    }
    outcomeCounter(answer.outcome_, request->priority_).Increment();
    request->responder_->respond(toHttpResponse(answer, request->requestId_));
    if (answer.outcome_ == Outcome::Unknown) {
        overloadCounts().countUnknown(request->priority_, Clock::now());
        logEvent(LogLevel::Info, "request_unknown",
            { { "request", request->requestId_ }, { "service", request->service_ },
                { "reason", answer.reason_ } });
    }
}

auto CallEntry::onCallerGone(const RequestPtr& request) -> void
{
    std::shared_ptr<CallHandle> handle;
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(request->answered_, true)) {
            return;
        }
        handle = std::move(request->handle_);
        subCalls_.erase(request->subCall_);
        --inFlight_;
    }
    if (handle) {
        handle->cancel();
    }
    if (request->parent_ != 0) {
        parts_.calls_.endSubCall(request->parent_, request->subCall_, {}, Clock::now());
    }
}

auto CallEntry::cancelSubCalls(const std::vector<SubCallId>& ids) -> void
{
    for (const auto id : ids) {
        RequestPtr request;
        {
            const std::lock_guard lock(mutex_);
            const auto found = subCalls_.find(id);
            request = found == subCalls_.end() ? nullptr : found->second.lock();
        }
        if (request) {
            onCallerGone(request);
        }
    }
}

auto CallEntry::startLeaving() -> void
{
    leaving_ = true;
}

auto CallEntry::stats() const -> CallEntryStats
{
    const std::lock_guard lock(mutex_);
    return stats_;
}

auto CallEntry::inFlight() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return inFlight_;
}

} // namespace wagtailhead
