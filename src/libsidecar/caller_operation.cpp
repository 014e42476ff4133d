#include "caller_operation.h"

#include <charconv>

namespace wagtailhead {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// An attempt is not started with less time left than this, since it could not succeed.
constexpr Duration minAttemptTime = milliseconds(20);
/// How long to wait for a node to report whether a fenced attempt has started.
constexpr Duration fenceTimeout = milliseconds(800);
/// Maximum number of nodes to try for one request while each has no free capacity.
constexpr std::size_t maxRefusals = 3;
constexpr Duration assumedCallerTime = seconds(30);
/// A request waits for a token of its account's quota for this part of its objective at most.
constexpr int quotaWaitDivisor = 5;

/// Size of a large response before one has been seen.
constexpr std::size_t assumedBulkBytes = 262144;
constexpr std::size_t fallDivisor = 16;
/// A size without responses counts half as much after this time, so that a route whose responses were too
/// long is tried again.
constexpr Duration sizeHalfLife = seconds(5);
constexpr long mostHalvings = 30;
constexpr std::size_t mostBulkRoutes = 1024;

auto parseMilliseconds(std::string_view text) -> std::optional<Duration>
{
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    constexpr std::int64_t most = 86400000;
    if (result.ec != std::errc {} || result.ptr != text.data() + text.size() || value < 0 || value > most) {
        return std::nullopt;
    }
    return milliseconds(value);
}

} // namespace

auto BulkResponses::expected(const std::string& route, TimePoint now) const -> std::size_t
{
    const auto found = sizes_.find(route);
    if (found == sizes_.end()) {
        return assumedBulkBytes;
    }
    const auto halvings = std::min<long>((now - found->second.seen_) / sizeHalfLife, mostHalvings);
    return std::max(found->second.bytes_ >> halvings, assumedBulkBytes);
}

auto BulkResponses::onResponse(const std::string& route, std::size_t bytes, TimePoint now) -> void
{
    const auto found = sizes_.find(route);
    if (found != sizes_.end()) {
        // Falls slowly, so that one short response does not let in as many long ones.
        auto& size = found->second;
        size = { std::max(bytes, size.bytes_ - size.bytes_ / fallDivisor), now };
    } else if (sizes_.size() < mostBulkRoutes) {
        sizes_.emplace(route, Size { bytes, now });
    }
}

CallerOperation::CallerOperation(
    const CallerShared& shared, http1::Request request, std::shared_ptr<http1::Exchange> exchange)
    : shared_(shared)
    , request_(std::move(request))
    , exchange_(std::move(exchange))
{
    trace_.arrived_ = bootNow();
}

auto CallerOperation::start() -> void
{
    ++shared_.stats_.requests_;
    if (!prepare()) {
        return;
    }
    exchange_->onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onDisconnected();
        }
    });
    if (account_ != nullptr && account_->isLimited()) {
        takeQuota();
    } else {
        admit();
    }
}

auto CallerOperation::takeQuota() -> void
{
    const auto latest = std::min(deadline_, trace_.arrived_ + route_->goal_ / quotaWaitDivisor);
    quotaWait_
        = shared_.quota_.acquire(*account_, latest, [weak = weak_from_this()](const QuotaResult& result) {
              if (const auto self = weak.lock()) {
                  self->onQuota(result);
              }
          });
}

auto CallerOperation::onQuota(const QuotaResult& result) -> void
{
    quotaWait_ = 0;
    if (ended_) {
        if (result.decision_ == QuotaDecision::Admitted) {
            shared_.quota_.giveBack(trace_.account_, result.tokenExpires_);
        }
        return;
    }
    switch (result.decision_) {
    case QuotaDecision::Admitted:
        tokenExpires_ = result.tokenExpires_;
        admit();
        return;
    case QuotaDecision::Denied:
        ++shared_.stats_.overQuota_;
        refuseFor("quota", statusTooManyRequests, result.retryAfter_);
        return;
    case QuotaDecision::Unavailable:
        ++shared_.stats_.quotaUnavailable_;
        refuseFor("quota-unavailable", statusUnavailable, result.retryAfter_);
        return;
    }
}

auto CallerOperation::admit() -> void
{
    const auto now = Clock::now();
    trace_.level_ = shared_.shedding_.levelFor(trace_.service_, *route_, now);
    if (shared_.shedding_.shouldRefuse(
            *configuration_, *route_, trace_.account_, trace_.rank_, trace_.level_.level_, now)) {
        ++shared_.stats_.shed_;
        refuse("shed");
        return;
    }
    if (route_->bulk_) {
        const auto expected = shared_.bulk_.expected(route_->name_, now);
        if (!shared_.hasRoom_(shared_.bulk_.reserved() + expected)) {
            refuse("memory");
            return;
        }
        reservedBytes_ = expected;
        shared_.bulk_.reserve(expected);
    }
    shared_.budgets_.onFirstTry(trace_.service_, now);
    if (shared_.shedding_.learnsCallsOf(*route_)) {
        shared_.gate_.callProfile().onCall(route_->name_);
    }
    attempt();
}

auto CallerOperation::prepare() -> bool
{
    configuration_ = shared_.configuration_();
    const auto& headers = request_.headers_;
    trace_.attemptId_ = headers.find(shared_.headers_.attemptId_);
    const auto remaining = parseMilliseconds(headers.find(shared_.headers_.remainingMs_));
    trace_.timeLeft_ = remaining.value_or(assumedCallerTime);
    if (shared_.stopping_) {
        refuse(gateReasonName(GateReason::Stopping));
        return false;
    }
    if (!configuration_) {
        refuse("no-configuration");
        return false;
    }
    trace_.configVersion_ = configuration_->version();
    route_ = configuration_->match(headers.find("Host"), request_.target_);
    if (route_ == nullptr) {
        ++shared_.stats_.noRoute_;
        fail(statusNotFound, "no-route");
        return false;
    }
    if (trace_.attemptId_.empty()) {
        fail(statusBadRequest, "no-attempt-id");
        return false;
    }
    trace_.route_ = route_->name_;
    if (!authenticate()) {
        ++shared_.stats_.noAccount_;
        fail(statusUnauthorized, "no-account");
        return false;
    }
    trace_.rank_ = account_ != nullptr && account_->rank_ ? *account_->rank_ : route_->rank_;
    trace_.timeLeft_ = std::min(trace_.timeLeft_, route_->timeout_);
    trace_.service_ = shared_.chooseDestination_(*route_);
    deadline_ = trace_.arrived_ + trace_.timeLeft_;
    if (!endsInTime()) {
        refuse(gateReasonName(GateReason::Stopping));
        return false;
    }
    requestBytes_ = request_.body_.size();
    request_.headers_.removeHopByHop();
    request_.headers_.remove(shared_.headers_.remainingMs_);
    request_.headers_.remove(shared_.headers_.callerService_);
    request_.headers_.remove(shared_.headers_.targetInstance_);
    return true;
}

auto CallerOperation::authenticate() -> bool
{
    const auto& names = shared_.headers_;
    auto& headers = request_.headers_;
    const auto& accounts = configuration_->accounts();
    const auto keys = headers.count(names.apiKey_);
    if (keys == 1 && !accounts.isEmpty()) {
        account_ = accounts.findByKey(headers.find(names.apiKey_));
        trace_.account_ = account_ != nullptr ? account_->name_ : std::string();
    }
    headers.remove(names.apiKey_);
    headers.remove(names.account_);
    // Several keys name no account. Backend servers call anonymous routes, without a key.
    return accounts.isEmpty() || account_ != nullptr || route_->anonymous_;
}

auto CallerOperation::gateCall() const -> GateCall
{
    GateCall call;
    call.attemptId_ = trace_.attemptId_;
    call.route_ = route_->name_;
    call.service_ = trace_.service_;
    call.callerService_ = shared_.service_;
    call.callerNode_ = shared_.node_;
    call.account_ = trace_.account_;
    call.method_ = request_.method_;
    call.target_ = request_.target_;
    call.headers_ = request_.headers_;
    call.body_ = request_.body_;
    call.idempotent_ = route_->idempotent_;
    call.rank_ = trace_.rank_;
    call.goal_ = route_->goal_;
    call.deadline_ = deadline_;
    return call;
}

auto CallerOperation::placementWork() const -> PlacementWork
{
    PlacementWork work;
    work.goal_ = route_->goal_;
    if (configuration_->asksForCostControl()) {
        work.cost_ = shared_.costModel_.expected(route_->name_, trace_.account_, requestBytes_);
        work.bytes_ = requestBytes_ + shared_.shedding_.costs().responseBytes(route_->name_);
    }
    return work;
}

auto CallerOperation::attempt() -> void
{
    if (deadline_ - bootNow() < minAttemptTime) {
        giveUp("no-time");
        return;
    }
    // It may have waited, or is repeated; its response would be lost if it ran beyond the end of the process.
    if (!endsInTime()) {
        giveUp(gateReasonName(GateReason::Stopping));
        return;
    }
    auto picked = shared_.directory_.pick(trace_.service_, placementWork(), tried_, Clock::now());
    if (!picked) {
        giveUp("no-backend");
        return;
    }
    current_ = picked->entry_;
    tried_.push_back(current_->node_);
    AttemptTrace trace;
    trace.picked_ = std::move(*picked);
    trace.sent_ = bootNow();
    trace_.attempts_.push_back(std::move(trace));
    shared_.directory_.started(current_->node_);
    ticket_ = 0;
    linkCall_ = 0;
    const auto self = shared_from_this();
    if (current_->node_ == shared_.node_) {
        const auto ticket = shared_.gate_.submit(gateCall(), [self](GateReply reply) {
            self->onReply(std::move(reply));
        });
        if (current_ && current_->node_ == shared_.node_ && linkCall_ == 0) {
            ticket_ = ticket;
        }
        return;
    }
    linkCall_ = shared_.links_.call(*current_, gateCall(), [self](LinkResult result) {
        self->onLinkResult(std::move(result));
    });
}

auto CallerOperation::endAttempt(const char* outcome, GateReason reason, bool arrived) -> void
{
    auto& trace = trace_.attempts_.back();
    trace.time_ = bootNow() - trace.sent_;
    trace.outcome_ = outcome;
    trace.reason_ = gateReasonName(reason);
    trace.arrived_ = arrived;
    trace.next_ = "end";
    arrivals_ += arrived ? 1 : 0;
    if (current_) {
        shared_.directory_.ended(current_->node_);
        current_.reset();
    }
}

auto CallerOperation::onLinkResult(LinkResult result) -> void
{
    if (auto* reply = std::get_if<GateReply>(&result.value_)) {
        onReply(std::move(*reply));
        return;
    }
    if (ended_ || !current_) {
        return;
    }
    shared_.directory_.onUnreachable(current_->node_, Clock::now());
    if (std::get<LinkFailure>(result.value_) == LinkFailure::NotSent) {
        GateReply reply;
        reply.outcome_ = GateOutcome::NotRun;
        reply.reason_ = GateReason::Unavailable;
        onNotRun(reply);
    } else if (!route_->idempotent_) {
        fence(result.incarnation_);
    } else {
        onUnknown(GateReason::Lost);
    }
}

auto CallerOperation::fence(std::uint64_t incarnation) -> void
{
    const auto node = *current_;
    shared_.directory_.ended(node.node_);
    current_.reset();
    const auto timeout = std::min<Duration>(fenceTimeout, std::max(deadline_ - bootNow(), Duration::zero()));
    // The attempt may run until the reply to the fence arrives.
    mayHaveRun_ = true;
    shared_.links_.fence(
        node, incarnation, trace_.attemptId_, timeout, [self = shared_from_this()](bool neverRuns) {
            if (self->ended_) {
                return;
            }
            if (neverRuns) {
                self->mayHaveRun_ = false;
                GateReply reply;
                reply.outcome_ = GateOutcome::NotRun;
                reply.reason_ = GateReason::Unavailable;
                self->onNotRun(reply);
            } else {
                self->onUnknown(GateReason::Lost);
            }
        });
}

auto CallerOperation::onReply(GateReply reply) -> void
{
    if (ended_ || !current_) {
        return;
    }
    const auto now = Clock::now();
    const auto node = current_->node_;
    auto& directory = shared_.directory_;
    directory.onLoad(node, reply.load_, now);
    shared_.shedding_.onReply(trace_.service_, *route_, reply.fromBackend_, now);
    if (reply.spent_ > Duration::zero() && reply.response_.status_ < statusServerError) {
        onCost(node, reply, now);
    }
    switch (reply.outcome_) {
    case GateOutcome::Answered:
        onAnswered(std::move(reply));
        return;
    case GateOutcome::NotRun:
        if (reply.arrived_) {
            directory.onFailure(node, now);
        } else if (reply.reason_ != GateReason::Busy && reply.reason_ != GateReason::Expired) {
            directory.onUnavailable(node, now);
        }
        onNotRun(reply);
        return;
    case GateOutcome::Unknown:
        directory.onFailure(node, now);
        onUnknown(reply.reason_);
        return;
    }
}

auto CallerOperation::onCost(const std::string& node, const GateReply& reply, TimePoint now) -> void
{
    auto& costs = shared_.shedding_.costs();
    costs.onReply(route_->name_, reply.spent_, reply.calledCostMs_, reply.response_.body_.size());
    if (shared_.shedding_.learnsCallsOf(*route_)) {
        // The request is a call of the backend server of this VM.
        shared_.gate_.callProfile().onCallCost(route_->name_, costs.deepest(route_->name_));
    }
    auto& model = shared_.costModel_;
    const auto expected = model.expected(route_->name_, trace_.account_, requestBytes_);
    if (expected > Duration::zero()) {
        const std::chrono::duration<double> spent = reply.spent_;
        const double usual = reply.load_.slowdown_ > 0 ? reply.load_.slowdown_ : 1;
        shared_.directory_.onSlowness(node, spent / expected / usual, now);
    }
    // Not corrected by the learned slowness of the server: each would take the other's error as its own.
    const double slowdown = reply.load_.slowdown_ > 0 ? reply.load_.slowdown_ : 1;
    model.learn(route_->name_, trace_.account_, requestBytes_, reply.spent_, slowdown);
}

auto CallerOperation::retryDecision(bool ran) -> const char*
{
    if (arrivals_ >= route_->maxAttempts_) {
        return "max-attempts";
    }
    if (deadline_ - bootNow() <= minAttemptTime) {
        return "no-time";
    }
    return retryGrantName(shared_.budgets_.take(trace_.service_, ran, Clock::now()));
}

auto CallerOperation::mayRetry(bool ran) -> bool
{
    auto& next = trace_.attempts_.back().next_;
    next = retryDecision(ran);
    return next == retryGrantName(RetryGrant::Granted);
}

auto CallerOperation::onAnswered(GateReply reply) -> void
{
    const auto node = current_->node_;
    endAttempt("answered", GateReason::None, true);
    mayHaveRun_ = true;
    const bool failed = reply.response_.status_ >= statusServerError;
    if (failed) {
        shared_.directory_.onFailure(node, Clock::now());
    } else {
        shared_.directory_.onSuccess(node);
        shared_.runTimes_.onResponse(route_->name_, trace_.attempts_.back().time_);
    }
    const bool timedOut = reply.response_.status_ == statusGatewayTimeout;
    if (failed && !timedOut && route_->idempotent_ && mayRetry(true)) {
        ++shared_.stats_.retries_;
        lastErrorResponse_ = std::move(reply.response_);
        attempt();
        return;
    }
    if (route_->bulk_) {
        shared_.bulk_.onResponse(route_->name_, reply.response_.body_.size(), Clock::now());
    }
    if (route_->idempotent_ && !shared_.hasRoom_(reply.response_.body_.size())) {
        // Its caller may repeat it, unlike the orders that would be lost with the process.
        fail(statusBadGateway, "memory");
        return;
    }
    respond(std::move(reply.response_), RequestOutcome::Answered, failed ? "backend-failed" : "");
}

auto CallerOperation::onNotRun(const GateReply& reply) -> void
{
    endAttempt("not-run", reply.reason_, reply.arrived_);
    const auto* reason = gateReasonName(reply.reason_);
    if (reply.reason_ == GateReason::Expired) {
        giveUp(reason);
        return;
    }
    if (tried_.size() >= maxRefusals) {
        trace_.attempts_.back().next_ = "enough-refusals";
        giveUp(reason);
        return;
    }
    if (reply.arrived_ && !mayRetry(false)) {
        giveUp(reason);
        return;
    }
    trace_.attempts_.back().next_ = "repeat";
    attempt();
}

auto CallerOperation::onUnknown(GateReason reason) -> void
{
    endAttempt("unknown", reason, true);
    mayHaveRun_ = true;
    if (route_->idempotent_ && reason != GateReason::Timeout && mayRetry(true)) {
        ++shared_.stats_.retries_;
        attempt();
        return;
    }
    if (!route_->idempotent_) {
        trace_.attempts_.back().next_ = "may-have-run";
    }
    fail(reason == GateReason::Timeout ? statusGatewayTimeout : statusBadGateway, gateReasonName(reason));
}

auto CallerOperation::onDeadline() -> void
{
    if (ended_) {
        return;
    }
    // An attempt that was sent to a gate may run until the gate reports otherwise.
    mayHaveRun_ = mayHaveRun_ || current_.has_value();
    stopAttempt();
    fail(statusGatewayTimeout, "timeout");
}

auto CallerOperation::giveUp(const char* reason) -> void
{
    if (lastErrorResponse_) {
        respond(std::move(*lastErrorResponse_), RequestOutcome::Answered, "backend-failed");
    } else if (mayHaveRun_) {
        fail(statusBadGateway, reason);
    } else {
        refuse(reason);
    }
}

auto CallerOperation::refuse(const char* reason) -> void
{
    const int ranksBelow = route_ == nullptr ? 0 : configuration_->ranksBelow(trace_.rank_);
    refuseFor(reason, statusUnavailable, shared_.shedding_.retryAfter(trace_.level_.level_, ranksBelow));
}

auto CallerOperation::refuseFor(const char* reason, int status, Duration retryAfter) -> void
{
    ++shared_.stats_.refused_;
    http1::Response response;
    response.status_ = status;
    response.headers_.add("Retry-After", std::to_string(std::chrono::duration<double>(retryAfter).count()));
    respond(std::move(response), RequestOutcome::Refused, reason);
}

auto CallerOperation::fail(int status, const char* reason) -> void
{
    ++shared_.stats_.failed_;
    http1::Response response;
    response.status_ = status;
    respond(std::move(response), RequestOutcome::Failed, reason);
}

auto CallerOperation::respond(http1::Response response, RequestOutcome outcome, const char* reason) -> void
{
    ++shared_.stats_.answered_;
    const auto self = shared_from_this();
    end(outcome, response.status_, reason);
    exchange_->respond(std::move(response));
}

auto CallerOperation::stopAttempt() -> void
{
    if (!current_) {
        return;
    }
    endAttempt("abandoned", GateReason::None, true);
    if (ticket_ != 0) {
        shared_.gate_.cancel(ticket_);
    } else if (linkCall_ != 0) {
        shared_.links_.cancel(linkCall_);
    }
}

auto CallerOperation::onDisconnected() -> void
{
    if (ended_) {
        return;
    }
    ++shared_.stats_.cancelled_;
    const auto self = shared_from_this();
    // An attempt that was sent to a gate may run although it is cancelled.
    mayHaveRun_ = mayHaveRun_ || current_.has_value();
    stopAttempt();
    end(RequestOutcome::Cancelled, 0, "caller-gone");
}

auto CallerOperation::end(RequestOutcome outcome, int status, const char* reason) -> void
{
    ended_ = true;
    if (quotaWait_ != 0) {
        shared_.quota_.cancel(trace_.account_, std::exchange(quotaWait_, 0));
    }
    shared_.bulk_.release(std::exchange(reservedBytes_, 0));
    const auto token = std::exchange(tokenExpires_, std::nullopt);
    if (token && !mayHaveRun_) {
        shared_.quota_.giveBack(trace_.account_, *token);
    }
    request_ = {};
    trace_.time_ = bootNow() - trace_.arrived_;
    shared_.metrics_.onRequest(trace_, outcome, reason);
    shared_.log_.onEnd(trace_, outcome, status, reason, Clock::now());
    shared_.onEnded_(shared_from_this());
}

} // namespace wagtailhead
