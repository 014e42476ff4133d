#include "caller_entry.h"

#include "wagtailhead/log.h"

#include <charconv>

namespace wagtailhead {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// Lines about requests that were not served, for each process; the rest is counted.
constexpr int logLinesPerSecond = 40;
/// How long after the deadline the backend server's own answer is awaited.
constexpr Duration answerGrace = milliseconds(90);
/// Without this much time left another attempt cannot succeed.
constexpr Duration leastAttemptTime = milliseconds(20);
/// How long a node may take to say whether an attempt has started.
constexpr Duration fenceTimeout = milliseconds(800);
/// Most nodes that are asked for one request when each has no room.
constexpr std::size_t mostRefusals = 3;
/// Bounds of the time after which a refused caller may come back.
constexpr Duration shortestRetryAfter = milliseconds(200);
constexpr Duration longestRetryAfter = seconds(5);
/// How fast a level falls when there is room again, in ranks a second.
constexpr double levelFallPerSecond = 0.5;
constexpr Duration assumedCallerTime = seconds(30);
/// A service that the backend server has not called for this long does not count as called.
constexpr Duration calledLife = seconds(2);
/// A backend server that has made no calls for this long is taken to make none.
constexpr Duration callsLife = std::chrono::minutes(1);
/// Above this level a service fails for want of room, and repeats make it worse.
constexpr ShedLevel overloadLevel = 0.1;

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

/// One request of a caller until its final answer.
class CallerEntry::Operation : public std::enable_shared_from_this<CallerEntry::Operation> {
public:
    Operation(CallerEntry& entry, http1::Request request, std::shared_ptr<http1::Exchange> exchange)
        : entry_(entry)
        , request_(std::move(request))
        , exchange_(std::move(exchange))
    {
    }

    auto start() -> void;
    auto onDeadline() -> void;

private:
    auto prepare() -> bool;
    auto attempt() -> void;
    auto gateCall() const -> GateCall;
    auto onReply(GateReply reply) -> void;
    auto onLinkResult(LinkResult result) -> void;
    auto onAnswered(GateReply reply) -> void;
    auto onNotRun(const GateReply& reply) -> void;
    auto onUnknown(GateReason reason) -> void;
    auto fence(std::uint64_t incarnation) -> void;
    auto mayRepeat(bool ran) -> bool;
    auto refuse(const char* reason) -> void;
    auto fail(int status, const char* reason) -> void;
    auto giveUp(const char* reason) -> void;
    auto respond(http1::Response response) -> void;
    auto onGone() -> void;
    auto stopAttempt() -> void;
    auto close() -> void;
    auto logEnd(LogLevel level, int status, const char* reason) -> void;

    CallerEntry& entry_;
    http1::Request request_;
    std::shared_ptr<http1::Exchange> exchange_;
    SiteConfigurationPtr configuration_; ///< Keeps the route alive.
    const SiteRoute* route_ = nullptr;
    std::string service_;
    std::string attemptId_;
    TimePoint arrived_ = bootNow();
    TimePoint callerDeadline_;
    TimePoint deadline_; ///< The earlier of the caller's and the route's.
    std::vector<std::string> tried_;
    std::optional<NodeEntry> current_; ///< Where the present attempt is.
    Gate::TicketId ticket_ = 0;
    LinkClient::CallId linkCall_ = 0;
    int arrivals_ = 0; ///< Attempts that have reached a backend server, or may have.
    bool mayHaveRun_ = false;
    bool done_ = false;
    std::optional<http1::Response> lastAnswer_; ///< A failure that a backend server has answered.
};

auto CallerEntry::Operation::start() -> void
{
    ++entry_.stats_.requests_;
    if (!prepare()) {
        return;
    }
    entry_.operations_.emplace(deadline_, shared_from_this());
    exchange_->onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onGone();
        }
    });
    if (entry_.shouldShed(*configuration_, *route_, service_)) {
        ++entry_.stats_.shed_;
        refuse("shed");
        return;
    }
    auto& budgets = entry_.budgetsOf(service_);
    budgets.ran_.onFirstTry();
    budgets.rejected_.onFirstTry();
    attempt();
}

auto CallerEntry::Operation::prepare() -> bool
{
    configuration_ = entry_.parts_.configuration_();
    const auto& headers = request_.headers_;
    attemptId_ = headers.find(entry_.options_.headers_.attemptId_);
    const auto remaining = parseMilliseconds(headers.find(entry_.options_.headers_.remainingMs_));
    callerDeadline_ = arrived_ + remaining.value_or(assumedCallerTime);
    deadline_ = callerDeadline_;
    if (!configuration_) {
        refuse("no-configuration");
        return false;
    }
    route_ = configuration_->match(headers.find("Host"), request_.target_);
    if (route_ == nullptr) {
        ++entry_.stats_.noRoute_;
        fail(statusNotFound, "no-route");
        return false;
    }
    if (attemptId_.empty()) {
        fail(statusBadRequest, "no-attempt-id");
        return false;
    }
    deadline_ = std::min(callerDeadline_, arrived_ + route_->timeout_);
    service_ = entry_.chooseDestination(*route_);
    request_.headers_.removeHopByHop();
    request_.headers_.remove(entry_.options_.headers_.remainingMs_);
    request_.headers_.remove(entry_.options_.headers_.callerService_);
    request_.headers_.remove(entry_.options_.headers_.targetInstance_);
    return true;
}

auto CallerEntry::Operation::gateCall() const -> GateCall
{
    GateCall call;
    call.attemptId_ = attemptId_;
    call.route_ = route_->name_;
    call.service_ = service_;
    call.callerService_ = entry_.options_.service_;
    call.callerNode_ = entry_.options_.node_;
    call.method_ = request_.method_;
    call.target_ = request_.target_;
    call.headers_ = request_.headers_;
    call.body_ = request_.body_;
    call.idempotent_ = route_->idempotent_;
    call.rank_ = route_->rank_;
    call.goal_ = route_->goal_;
    call.deadline_ = deadline_;
    return call;
}

auto CallerEntry::Operation::attempt() -> void
{
    if (deadline_ - bootNow() < leastAttemptTime) {
        giveUp("no-time");
        return;
    }
    current_ = entry_.parts_.directory_.pick(service_, route_->goal_, tried_, Clock::now());
    if (!current_) {
        giveUp("no-backend");
        return;
    }
    tried_.push_back(current_->node_);
    entry_.parts_.directory_.started(current_->node_);
    ticket_ = 0;
    linkCall_ = 0;
    const auto self = shared_from_this();
    if (current_->node_ == entry_.options_.node_) {
        const auto ticket = entry_.parts_.gate_.submit(gateCall(), [self](GateReply reply) {
            self->onReply(std::move(reply));
        });
        if (current_ && current_->node_ == entry_.options_.node_ && linkCall_ == 0) {
            ticket_ = ticket;
        }
        return;
    }
    linkCall_ = entry_.parts_.links_.call(*current_, gateCall(), [self](LinkResult result) {
        self->onLinkResult(std::move(result));
    });
}

auto CallerEntry::Operation::onLinkResult(LinkResult result) -> void
{
    if (auto* reply = std::get_if<GateReply>(&result.value_)) {
        onReply(std::move(*reply));
        return;
    }
    if (done_ || !current_) {
        return;
    }
    entry_.parts_.directory_.onUnreachable(current_->node_);
    if (std::get<LinkFailure>(result.value_) == LinkFailure::NotSent) {
        GateReply reply;
        reply.outcome_ = GateOutcome::NotRun;
        reply.reason_ = GateReason::Unavailable;
        entry_.parts_.directory_.ended(current_->node_);
        onNotRun(reply);
    } else if (!route_->idempotent_) {
        entry_.parts_.directory_.ended(current_->node_);
        fence(result.incarnation_);
    } else {
        entry_.parts_.directory_.ended(current_->node_);
        onUnknown(GateReason::Lost);
    }
}

auto CallerEntry::Operation::fence(std::uint64_t incarnation) -> void
{
    const auto node = *current_;
    current_.reset();
    const auto timeout = std::min<Duration>(fenceTimeout, std::max(deadline_ - bootNow(), Duration::zero()));
    entry_.parts_.links_.fence(
        node, incarnation, attemptId_, timeout, [self = shared_from_this()](bool neverRuns) {
            if (self->done_) {
                return;
            }
            if (neverRuns) {
                GateReply reply;
                reply.outcome_ = GateOutcome::NotRun;
                reply.reason_ = GateReason::Unavailable;
                self->onNotRun(reply);
            } else {
                self->onUnknown(GateReason::Lost);
            }
        });
}

auto CallerEntry::Operation::onReply(GateReply reply) -> void
{
    if (done_ || !current_) {
        return;
    }
    auto& directory = entry_.parts_.directory_;
    directory.ended(current_->node_);
    directory.onLoad(current_->node_, reply.load_, Clock::now());
    entry_.takeReply(service_, *route_, reply);
    switch (reply.outcome_) {
    case GateOutcome::Answered:
        onAnswered(std::move(reply));
        return;
    case GateOutcome::NotRun:
        if (reply.arrived_) {
            directory.onFailure(current_->node_, Clock::now());
        } else if (reply.reason_ != GateReason::Busy && reply.reason_ != GateReason::Expired) {
            directory.onUnavailable(current_->node_, Clock::now());
        }
        onNotRun(reply);
        return;
    case GateOutcome::Unknown:
        directory.onFailure(current_->node_, Clock::now());
        onUnknown(reply.reason_);
        return;
    }
}

auto CallerEntry::Operation::mayRepeat(bool ran) -> bool
{
    return arrivals_ < route_->maxAttempts_ && deadline_ - bootNow() > leastAttemptTime
        && entry_.takeRepeat(service_, ran);
}

auto CallerEntry::Operation::onAnswered(GateReply reply) -> void
{
    ++arrivals_;
    mayHaveRun_ = true;
    const bool failed = reply.response_.status_ >= statusServerError;
    if (failed) {
        entry_.parts_.directory_.onFailure(current_->node_, Clock::now());
    } else {
        entry_.parts_.directory_.onSuccess(current_->node_);
    }
    const bool timedOut = reply.response_.status_ == statusGatewayTimeout;
    if (failed && !timedOut && route_->idempotent_ && mayRepeat(true)) {
        ++entry_.stats_.retries_;
        lastAnswer_ = std::move(reply.response_);
        current_.reset();
        attempt();
        return;
    }
    if (failed) {
        logEnd(LogLevel::Info, reply.response_.status_, "backend-failed");
    }
    respond(std::move(reply.response_));
}

auto CallerEntry::Operation::onNotRun(const GateReply& reply) -> void
{
    current_.reset();
    arrivals_ += reply.arrived_ ? 1 : 0;
    const auto* reason = gateReasonName(reply.reason_);
    if (reply.reason_ == GateReason::Expired || tried_.size() >= mostRefusals) {
        giveUp(reason);
        return;
    }
    if (reply.arrived_ && !mayRepeat(false)) {
        giveUp(reason);
        return;
    }
    attempt();
}

auto CallerEntry::Operation::onUnknown(GateReason reason) -> void
{
    current_.reset();
    ++arrivals_;
    mayHaveRun_ = true;
    if (route_->idempotent_ && reason != GateReason::Timeout && mayRepeat(true)) {
        ++entry_.stats_.retries_;
        attempt();
        return;
    }
    fail(reason == GateReason::Timeout ? statusGatewayTimeout : statusBadGateway, gateReasonName(reason));
}

auto CallerEntry::Operation::onDeadline() -> void
{
    if (done_) {
        return;
    }
    // What has been handed to a gate may run until the gate says otherwise.
    mayHaveRun_ = mayHaveRun_ || current_.has_value();
    stopAttempt();
    fail(statusGatewayTimeout, "timeout");
}

auto CallerEntry::Operation::giveUp(const char* reason) -> void
{
    if (lastAnswer_) {
        respond(std::move(*lastAnswer_));
    } else if (mayHaveRun_) {
        fail(statusBadGateway, reason);
    } else {
        refuse(reason);
    }
}

auto CallerEntry::Operation::refuse(const char* reason) -> void
{
    ++entry_.stats_.refused_;
    logEnd(LogLevel::Info, statusUnavailable, reason);
    const auto pause = entry_.comeBackAfter(route_, service_, configuration_.get());
    http1::Response response;
    response.status_ = statusUnavailable;
    response.headers_.add("Retry-After", std::to_string(std::chrono::duration<double>(pause).count()));
    respond(std::move(response));
}

auto CallerEntry::Operation::fail(int status, const char* reason) -> void
{
    ++entry_.stats_.failed_;
    logEnd(LogLevel::Info, status, reason);
    http1::Response response;
    response.status_ = status;
    respond(std::move(response));
}

auto CallerEntry::Operation::logEnd(LogLevel level, int status, const char* reason) -> void
{
    if (!entry_.log_.allow(Clock::now())) {
        return;
    }
    logEvent(level, "request_ended",
        { { "attempt", attemptId_ }, { "route", route_ == nullptr ? "" : route_->name_ },
            { "service", service_ }, { "status", status }, { "reason", reason }, { "arrivals", arrivals_ },
            { "nodes", tried_.empty() ? "" : tried_.back() }, { "ms", toMilliseconds(bootNow() - arrived_) },
            { "config", configuration_ ? configuration_->version() : 0 } });
}

auto CallerEntry::Operation::respond(http1::Response response) -> void
{
    ++entry_.stats_.answered_;
    const auto self = shared_from_this();
    const auto exchange = exchange_;
    close();
    exchange->respond(std::move(response));
}

auto CallerEntry::Operation::stopAttempt() -> void
{
    if (!current_) {
        return;
    }
    entry_.parts_.directory_.ended(current_->node_);
    current_.reset();
    if (ticket_ != 0) {
        entry_.parts_.gate_.cancel(ticket_);
    } else if (linkCall_ != 0) {
        entry_.parts_.links_.cancel(linkCall_);
    }
}

auto CallerEntry::Operation::onGone() -> void
{
    if (done_) {
        return;
    }
    ++entry_.stats_.cancelled_;
    const auto self = shared_from_this();
    stopAttempt();
    close();
}

auto CallerEntry::Operation::close() -> void
{
    done_ = true;
    entry_.operations_.erase({ deadline_, shared_from_this() });
    request_ = {};
}

CallerEntry::CallerEntry(CallerEntryOptions options, CallerEntryParts parts, std::uint64_t seed)
    : options_(std::move(options))
    , parts_(std::move(parts))
    , random_(seed)
    , log_(logLinesPerSecond)
{
}

CallerEntry::~CallerEntry() = default;

auto CallerEntry::onRequest(http1::Request request, std::shared_ptr<http1::Exchange> exchange) -> void
{
    std::make_shared<Operation>(*this, std::move(request), std::move(exchange))->start();
}

auto CallerEntry::tick() -> void
{
    const auto now = bootNow();
    while (!operations_.empty() && operations_.begin()->first + answerGrace < now) {
        const auto operation = operations_.begin()->second;
        operation->onDeadline();
    }
}

auto CallerEntry::budgetOptions(double part) const -> RetryBudgetOptions
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(parts_.directory_.size(), 1));
    return { options_.retryShare_ * part, std::max(options_.retryBurst_ * part / nodes, 1.0) };
}

auto CallerEntry::setRetryBounds(double share, double burst) -> void
{
    options_.retryShare_ = share;
    options_.retryBurst_ = burst;
    for (const auto& [service, budgets] : budgets_) {
        budgets->ran_.configure(budgetOptions(options_.ranPart_));
        budgets->rejected_.configure(budgetOptions(options_.rejectedPart_));
    }
}

auto CallerEntry::budgetsOf(const std::string& service) -> Budgets&
{
    auto& budgets = budgets_[service];
    if (!budgets) {
        budgets = std::make_unique<Budgets>(
            budgetOptions(options_.ranPart_), budgetOptions(options_.rejectedPart_));
    }
    return *budgets;
}

auto CallerEntry::takeRepeat(const std::string& service, bool ran) -> bool
{
    auto& budgets = budgetsOf(service);
    const auto& directory = parts_.directory_;
    const bool leaf = directory.callsNothing(service);
    // Where nothing is called, a repeat costs less than the tree that fails without it.
    if (!leaf && directory.level(service, Clock::now()).level_ >= overloadLevel) {
        return false;
    }
    return ran && !leaf ? budgets.ran_.tryTake() : budgets.rejected_.tryTake();
}

auto CallerEntry::makesCalls() const -> bool
{
    const auto now = Clock::now();
    return std::any_of(calledServices_.begin(), calledServices_.end(), [&](const auto& item) {
        return now - item.second < callsLife;
    });
}

auto CallerEntry::calledLevel() const -> ReportedLevel
{
    const auto now = Clock::now();
    ReportedLevel highest;
    for (const auto& [service, lastCall] : calledServices_) {
        if (now - lastCall < calledLife && service != options_.service_) {
            const auto level = parts_.directory_.level(service, now);
            highest = level.level_ > highest.level_ ? level : highest;
        }
    }
    return highest;
}

auto CallerEntry::takeReply(const std::string& service, const SiteRoute& route, const GateReply& reply)
    -> void
{
    if (reply.fromBackend_) {
        calledServices_[service] = Clock::now();
        callRoutes_.insert(route.name_);
    } else {
        callRoutes_.erase(route.name_);
    }
}

auto CallerEntry::shouldShed(
    const SiteConfiguration& configuration, const SiteRoute& route, const std::string& service) -> bool
{
    const auto level = parts_.directory_.level(service, Clock::now()).level_;
    if (level <= 0 || callRoutes_.count(route.name_) > 0) {
        return false;
    }
    const double share = refusedShare(level, configuration.ranksBelow(route.rank_));
    return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share;
}

auto CallerEntry::comeBackAfter(
    const SiteRoute* route, const std::string& service, const SiteConfiguration* configuration) -> Duration
{
    double wait = 0;
    if (route != nullptr) {
        const auto level = parts_.directory_.level(service, Clock::now()).level_;
        wait = std::max(level - configuration->ranksBelow(route->rank_), 0.0) / levelFallPerSecond;
    }
    // Spread over time, so that those who are refused together do not come back together.
    const auto spread = std::uniform_real_distribution<>(1, 2)(random_);
    const auto pause
        = std::chrono::duration<double>(shortestRetryAfter) + std::chrono::duration<double>(wait);
    return std::min<Duration>(std::chrono::duration_cast<Duration>(pause * spread), longestRetryAfter);
}

auto CallerEntry::chooseDestination(const SiteRoute& route) -> const std::string&
{
    if (route.destinations_.size() == 1) {
        return route.destinations_.front().service_;
    }
    double sum = 0;
    for (const auto& destination : route.destinations_) {
        sum += destination.weight_;
    }
    double place = std::uniform_real_distribution<>(0, sum)(random_);
    for (const auto& destination : route.destinations_) {
        if (place < destination.weight_) {
            return destination.service_;
        }
        place -= destination.weight_;
    }
    return route.destinations_.back().service_;
}

} // namespace wagtailhead
