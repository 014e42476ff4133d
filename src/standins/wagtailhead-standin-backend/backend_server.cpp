#include "backend_server.h"

#include "wagtailhead/log.h"
#include "wagtailhead/metrics.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace wagtailhead::standin {

namespace {

/// The time limit of a call whose request names none; the longest deadline of the product.
constexpr auto longestDeadline = milliseconds(60'000);

constexpr std::size_t defaultBodyBytes = 0;

/// Returns a refusal of a call that has not been executed.
auto refusal(std::string_view reason) -> HttpResponse
{
    auto response = reasonResponse(503, reason);
    response.headers_.emplace_back("Retry-After", "1");
    return response;
}

auto countExecution(ExecutionState state) -> void
{
    static const std::string name = "standin_backend_executions";
    static const std::string help = "Ended executions by state.";
    static auto& done = counter(name, help, { { "state", "done" } });
    static auto& cancelled = counter(name, help, { { "state", "cancelled" } });
    static auto& failed = counter(name, help, { { "state", "failed" } });
    (state == ExecutionState::Done ? done : state == ExecutionState::Failed ? failed : cancelled).Increment();
}

} // namespace

BackendServer::BackendServer(asio::io_context& context, HttpClient& client, BackendOptions options)
    : context_(context)
    , client_(client)
    , options_(std::move(options))
    , slots_(options_.slots_)
    , serviceTimes_(options_.serviceTimes_, Clock::now())
    , errorRandom_(options_.serviceTimes_.seed_ + 1)
{
    recordLoad();
}

auto BackendServer::handle(HttpRequest request, const Responder& responder) -> void
{
    const auto target = parseTarget(request.target_);
    if (request.method_ == "GET" && (target.path_ == "/health" || target.path_ == "/load")) {
        answerProbe(target.path_ == "/health", responder);
    } else if (auto response = handleControl(request, target)) {
        responder->respond(std::move(*response));
    } else if (draining_) {
        responder->respond(refusal("draining"));
    } else {
        admit(std::move(request), responder);
    }
}

auto BackendServer::makeCall(HttpRequest request, const Responder& responder) const -> std::unique_ptr<Call>
{
    const auto header = [&request](std::string_view name) {
        return findHeader(request.headers_, name).value_or("");
    };
    auto call = std::make_unique<Call>();
    call->identity_ = { header("Idempotency-Key"), header("Wagtailhead-Attempt"), header("Wagtailhead-Class"),
        header("Wagtailhead-Request-Id"), request.method_,
        std::string(pathInService(options_.service_, request.target_)) };
    call->contextToken_ = header("Wagtailhead-Context");
    call->responder_ = responder;
    const auto remaining = parseUnsigned(header("Wagtailhead-Deadline-Ms"));
    const auto longest = static_cast<std::uint64_t>(longestDeadline.count());
    call->deadline_ = Clock::now() + milliseconds(std::min(remaining.value_or(longest), longest));
    call->body_ = std::move(request.body_);
    return call;
}

auto BackendServer::admit(HttpRequest request, const Responder& responder) -> void
{
    const auto id = nextCall_++;
    watchDeadline(id, *calls_.emplace(id, makeCall(std::move(request), responder)).first->second);
    responder->onCallerGone([this, id] {
        abort(id, refusal("caller-gone"));
    });
    if (!calls_.contains(id)) {
        return; // The caller was gone already.
    }
    if (slots_.enter(id)) {
        execute(id);
    }
    recordLoad();
}

auto BackendServer::watchDeadline(CallId id, Call& call) -> void
{
    call.deadlineTimer_ = std::make_unique<asio::steady_timer>(context_, call.deadline_);
    call.deadlineTimer_->async_wait([this, id](const std::error_code& error) {
        if (!error) {
            abort(id, reasonResponse(504, "deadline"));
        }
    });
}

auto BackendServer::execute(CallId id) -> void
{
    auto& call = *calls_.at(id);
    call.execution_ = audit_.begin(call.identity_, WallClock::now());
    const auto time = serviceTimes_.next(Clock::now(), faults_.serviceTimeFactor_);
    call.serviceTimer_ = std::make_unique<asio::steady_timer>(context_, time);
    call.serviceTimer_->async_wait([this, id](const std::error_code& error) {
        if (!error) {
            serve(id);
        }
    });
}

auto BackendServer::serve(CallId id) -> void
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    auto& call = *found->second;
    if (std::bernoulli_distribution(faults_.errorRate_)(errorRandom_)) {
        end(id, ExecutionState::Failed, reasonResponse(500, "injected-error"));
        return;
    }
    const auto* subCalls = options_.calls_.find(call.identity_.method_, call.identity_.path_);
    if (subCalls == nullptr || subCalls->empty()) {
        finish(id, {});
        return;
    }
    call.subCalls_ = std::make_shared<SubCallSet>(client_, options_.subCalls_, *subCalls,
        SubCallParent { call.identity_, call.contextToken_, call.deadline_ },
        [this, id](std::vector<SubCallOutcome> outcomes) {
            finish(id, std::move(outcomes));
        });
    call.subCalls_->start();
}

auto BackendServer::finish(CallId id, std::vector<SubCallOutcome> subCalls) -> void
{
    const auto& call = *calls_.at(id);
    const bool succeeded = std::all_of(subCalls.begin(), subCalls.end(), [](const SubCallOutcome& outcome) {
        return outcome.succeeded();
    });
    const auto* size = options_.bodySizes_.find(call.identity_.method_, call.identity_.path_);
    auto text = backendAnswer(options_.service_, call.identity_, call.body_, subCalls,
        succeeded && size != nullptr ? *size : defaultBodyBytes);
    end(id, succeeded ? ExecutionState::Done : ExecutionState::Failed,
        jsonTextResponse(succeeded ? 200 : 502, std::move(text)));
}

auto BackendServer::abort(CallId id, HttpResponse response) -> void
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    if (found->second->execution_) {
        end(id, ExecutionState::Cancelled, std::move(response));
        return;
    }
    slots_.abandon(id);
    found->second->responder_->respond(std::move(response));
    calls_.erase(found);
    recordLoad();
    stopIfIdle();
}

auto BackendServer::end(CallId id, ExecutionState state, HttpResponse response) -> void
{
    auto node = calls_.extract(id);
    const auto& call = *node.mapped();
    audit_.end(*call.execution_, state, WallClock::now());
    countExecution(state);
    logEvent(LogLevel::Debug, "execution",
        { { "request_id", call.identity_.requestId_ }, { "key", call.identity_.key_ },
            { "attempt", call.identity_.attempt_ }, { "path", call.identity_.path_ },
            { "state", executionStateName(state) } });
    if (call.subCalls_) {
        call.subCalls_->cancel();
    }
    if (faults_.loseAnswers_ > 0 && state == ExecutionState::Done) {
        --faults_.loseAnswers_;
        unanswered_.keep(call.responder_);
    } else {
        call.responder_->respond(std::move(response));
    }
    if (const auto next = slots_.leave()) {
        execute(*next);
    }
    recordLoad();
    stopIfIdle();
}

auto BackendServer::recordLoad() -> void
{
    loads_.record({ slots_.running(), slots_.waiting() }, Clock::now(), faults_.loadLag_);
}

auto BackendServer::stopWhenIdle() -> void
{
    draining_ = true;
    stopping_ = true;
    stopIfIdle();
}

auto BackendServer::stopIfIdle() -> void
{
    if (stopping_ && calls_.empty()) {
        // Posted, so that the answer that was just given is written first.
        asio::post(context_, [this] {
            context_.stop();
        });
    }
}

} // namespace wagtailhead::standin
