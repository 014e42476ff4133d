#include "gate.h"

#include "wagtailhead/log.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace wagtailhead {

namespace {

constexpr std::array<const char*, 11> reasonNames { "none", "busy", "draining", "unavailable",
    "wrong-service", "expired", "lost", "malformed", "timeout", "duplicate", "stopping" };

/// How long all requests are refused after the backend server did not accept a connection.
constexpr Duration unreachablePause = milliseconds(200);
/// Extra time after the deadline: the backend server enforces the deadline itself, and its own response is
/// better than a closed connection.
constexpr Duration deadlineGrace = milliseconds(60);
/// A non-idempotent request uses only connections that were idle for less than this.
constexpr Duration maxIdleNonIdempotent = milliseconds(1500);
constexpr double serviceTimeWeight = 0.05; ///< Weight of the newest request in the moving average.
constexpr Duration recordSweepInterval = seconds(1);
/// Capacity assumed until the backend server has reported one.
constexpr int assumedCapacity = 8;

/// Limit for log lines about requests that were refused or failed at this gate; lines above the limit are
/// only counted.
constexpr int logLinesPerSecond = 20;
/// The shedding level is logged when it has changed by loggedLevelStep, at most once per levelLogInterval.
constexpr double loggedLevelStep = 0.5;
constexpr Duration levelLogInterval = seconds(1);

constexpr std::array<const char*, 3> outcomeNames { "answered", "not-run", "unknown" };

constexpr int statusMisdirected = 421;
constexpr int statusOk = 200;
constexpr int statusRedirect = 300;
constexpr int statusServerError = 500;
/// With fewer recent responses, the share of failed ones says too little.
constexpr double minOutcomes = 1.5;

auto notRun(GateReason reason, bool arrived = false) -> GateReply
{
    GateReply reply;
    reply.outcome_ = GateOutcome::NotRun;
    reply.reason_ = reason;
    reply.arrived_ = arrived;
    return reply;
}

auto unknown(GateReason reason) -> GateReply
{
    GateReply reply;
    reply.outcome_ = GateOutcome::Unknown;
    reply.reason_ = reason;
    reply.arrived_ = true;
    return reply;
}

} // namespace

auto gateReasonName(GateReason reason) -> const char*
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

Gate::Gate(GateOptions options, std::shared_ptr<http1::Pool> pool, RequestMetrics& metrics)
    : options_(std::move(options))
    , pool_(std::move(pool))
    , metrics_(metrics)
    , logBudget_(logLinesPerSecond)
{
}

auto Gate::limit() const -> int
{
    const int slots = instance_.capacity_ > 0 ? instance_.capacity_ : assumedCapacity;
    const int capacity = std::max(static_cast<int>(slots * options_.usedSlotShare_), 1);
    return maxConnections_ > 0 ? std::min(capacity, static_cast<int>(maxConnections_)) : capacity;
}

auto Gate::isUnreachable() const -> bool
{
    return bootNow() < unreachableUntil_;
}

auto Gate::refusalFor(const GateCall& call) const -> GateReason
{
    if (call.service_ != options_.service_) {
        return GateReason::WrongService;
    }
    if (stopping_ || call.deadline_ > latestDeadline_) {
        return GateReason::Stopping;
    }
    switch (instance_.phase_) {
    case BackendPhase::Unknown:
    case BackendPhase::Gone:
        return GateReason::Unavailable;
    case BackendPhase::Draining:
        return GateReason::Draining;
    case BackendPhase::Ready:
        break;
    }
    if (isUnreachable()) {
        return GateReason::Unavailable;
    }
    if (call.deadline_ <= bootNow()) {
        return GateReason::Expired;
    }
    if (running_ >= limit()) {
        if (expectedWait(queuePositionOf(call)) > longestWait(call)) {
            return GateReason::Busy;
        }
    }
    return GateReason::None;
}

auto Gate::queuePositionOf(const GateCall& call) const -> int
{
    // Calls of backend servers go first: work has already been done for the requests that wait for them.
    return origins_.isInternalRoute(call.route_) ? -1 : call.rank_;
}

auto Gate::longestWait(const GateCall& call) const -> Duration
{
    if (costControl_ && origins_.isInternalRoute(call.route_)) {
        const auto left = std::max<Duration>(call.deadline_ - bootNow(), Duration::zero());
        return std::min<Duration>(
            std::chrono::duration_cast<Duration>(left * options_.callQueueShare_), call.goal_);
    }
    return std::chrono::duration_cast<Duration>(call.goal_ * options_.queueShare_);
}

auto Gate::setCostControl(bool on) -> void
{
    costControl_ = on;
    level_.setResponseDelay(on ? options_.responseDelay_ : Duration::zero());
}

auto Gate::expectedWait(int queuePosition) const -> Duration
{
    std::size_t ahead = 0;
    for (const auto& [queuedPosition, tickets] : queue_) {
        if (queuedPosition <= queuePosition) {
            ahead += tickets.size();
        }
    }
    return meanServiceTime_ * static_cast<long>(ahead + 1) / std::max(limit(), 1);
}

auto Gate::submit(GateCall call, GateCallback callback) -> TicketId
{
    origins_.count(call.route_, call.callerService_, call.callerNode_, bootNow());
    level_.onArrival();
    const bool fromBackend = origins_.isInternalRoute(call.route_);
    auto refusal = refusalFor(call);
    if (!call.idempotent_ && refusal == GateReason::None) {
        const auto earlier = records_.find(call.attemptId_);
        if (earlier != records_.end()) {
            refusal = GateReason::Duplicate;
        }
    }
    if (refusal != GateReason::None) {
        ++stats_.refused_;
        if (refusal == GateReason::Busy) {
            level_.onRefused();
        }
        logRefused(call, refusal);
        auto reply = refusal == GateReason::Duplicate ? unknown(refusal) : notRun(refusal);
        reply.load_ = load();
        reply.fromBackend_ = fromBackend;
        callback(std::move(reply));
        return 0;
    }
    auto ticket = std::make_shared<Ticket>();
    ticket->id_ = ++lastId_;
    ticket->call_ = std::move(call);
    ticket->callback_ = std::move(callback);
    ticket->arrived_ = bootNow();
    ticket->queuePosition_ = queuePositionOf(ticket->call_);
    ticket->longestWait_ = longestWait(ticket->call_);
    tickets_[ticket->id_] = ticket;
    if (!ticket->call_.idempotent_) {
        records_[ticket->call_.attemptId_]
            = { AttemptState::Waiting, ticket->call_.deadline_ + options_.recordRetention_, ticket->id_ };
    }
    ++stats_.admitted_;
    const auto id = ticket->id_;
    if (running_ < limit()) {
        start(ticket);
    } else {
        ++waiting_;
        queue_[ticket->queuePosition_].push_back(ticket);
    }
    return id;
}

auto Gate::firstWaiting() const -> TicketPtr
{
    for (const auto& [position, tickets] : queue_) {
        if (!tickets.empty()) {
            return tickets.front();
        }
    }
    return nullptr;
}

auto Gate::startWaiting() -> void
{
    const bool notAccepting = stopping_ || instance_.phase_ != BackendPhase::Ready;
    while (waiting_ > 0 && (notAccepting || running_ < limit())) {
        const auto next = firstWaiting();
        if (notAccepting) {
            dropWaiting(next, stopping_ ? GateReason::Stopping : GateReason::Draining);
            continue;
        }
        if (next->call_.deadline_ <= bootNow()) {
            dropWaiting(next, GateReason::Expired);
            continue;
        }
        queue_[next->queuePosition_].pop_front();
        --waiting_;
        start(next);
    }
}

auto Gate::dropWaiting(const TicketPtr& ticket, GateReason reason) -> void
{
    auto& tickets = queue_[ticket->queuePosition_];
    const auto found = std::find(tickets.begin(), tickets.end(), ticket);
    if (found == tickets.end()) {
        return;
    }
    tickets.erase(found);
    --waiting_;
    records_.erase(ticket->call_.attemptId_);
    ++stats_.refused_;
    if (!ticket->abandoned_) {
        level_.onRefused();
    }
    finish(ticket, notRun(reason));
}

auto Gate::changeRunning(int change) -> void
{
    const auto now = bootNow();
    const std::chrono::duration<double> span = now - runningChangedAt_;
    busySeconds_ += running_ * span.count();
    runningChangedAt_ = now;
    running_ += change;
}

auto Gate::backendRequest(GateCall& call) const -> http1::Request
{
    http1::Request request;
    request.method_ = call.method_;
    request.target_ = call.target_;
    request.headers_ = std::move(call.headers_);
    const auto left = std::chrono::duration_cast<milliseconds>(call.deadline_ - bootNow()).count();
    request.headers_.add(options_.headers_.remainingMs_, std::to_string(std::max<std::int64_t>(left, 1)));
    request.headers_.add(options_.headers_.callerService_, call.callerService_);
    request.headers_.add(options_.headers_.targetInstance_, instance_.id_);
    if (!call.account_.empty()) {
        request.headers_.add(options_.headers_.account_, call.account_);
    }
    request.body_ = std::move(call.body_);
    return request;
}

auto Gate::start(const TicketPtr& ticket) -> void
{
    auto& call = ticket->call_;
    ticket->running_ = true;
    ticket->sent_ = bootNow();
    changeRunning(1);
    if (costControl_) {
        profile_.onRequest(call.route_);
    }
    if (!call.idempotent_) {
        records_[call.attemptId_].state_ = AttemptState::Sent;
    }
    http1::PoolCall poolCall;
    poolCall.request_ = backendRequest(call);
    poolCall.id_ = call.attemptId_;
    poolCall.timeout_ = call.deadline_ - ticket->sent_ + deadlineGrace;
    if (!call.idempotent_) {
        poolCall.maxIdle_ = maxIdleNonIdempotent;
    }
    poolCall.done_ = [this, ticket](http1::CallResult result) {
        onResult(ticket, std::move(result));
    };
    ticket->poolCall_ = pool_->send(std::move(poolCall));
}

auto Gate::onResult(const TicketPtr& ticket, http1::CallResult result) -> void
{
    changeRunning(-1);
    auto reply = replyFor(*ticket, std::move(result));
    if (reply.outcome_ == GateOutcome::NotRun) {
        records_.erase(ticket->call_.attemptId_);
    }
    finish(ticket, std::move(reply));
    startWaiting();
}

auto Gate::replyFor(const Ticket& ticket, http1::CallResult result) -> GateReply
{
    if (auto* response = std::get_if<http1::Response>(&result)) {
        return replyForResponse(ticket, std::move(*response));
    }
    const auto failure = std::get<http1::Failure>(result);
    logEvent(LogLevel::Warning, "backend_call_failed",
        { { "attempt", ticket.call_.attemptId_ }, { "backend", instance_.id_ },
            { "failure", http1::failureName(failure) },
            { "after_ms", toMilliseconds(bootNow() - ticket.sent_) } });
    switch (failure) {
    case http1::Failure::NotSent:
        unreachableUntil_ = bootNow() + unreachablePause;
        return notRun(GateReason::Unavailable);
    case http1::Failure::Malformed:
        ++stats_.malformed_;
        return unknown(GateReason::Malformed);
    case http1::Failure::Timeout:
        return unknown(GateReason::Timeout);
    case http1::Failure::Lost:
        break;
    }
    ++stats_.lost_;
    return unknown(GateReason::Lost);
}

auto Gate::replyForResponse(const Ticket& ticket, http1::Response response) -> GateReply
{
    const auto& names = options_.headers_;
    const auto echo = response.headers_.find(names.attemptId_);
    const bool success = response.status_ >= statusOk && response.status_ < statusRedirect;
    const bool rejected = response.headers_.has(names.notRun_) || response.status_ == statusMisdirected;
    // A rejection is a promise, so it has to name the attempt that must not run twice.
    const bool unproven = rejected && !ticket.call_.idempotent_ && echo.empty();
    const bool mismatched = response.headers_.has("Content-Encoding")
        || (!echo.empty() && echo != ticket.call_.attemptId_) || unproven
        || (success && !response.headers_.has(names.seal_));
    if (mismatched) {
        ++stats_.malformed_;
        logEvent(LogLevel::Warning, "answer_rejected",
            { { "attempt", ticket.call_.attemptId_ }, { "backend", instance_.id_ },
                { "status", response.status_ }, { "echo", echo } });
        return unknown(GateReason::Malformed);
    }
    if (const auto stated = parseBackendLoad(response.headers_.find(names.load_));
        stated && stated->slowdown_) {
        slowdown_.add(*stated->slowdown_, bootNow());
    }
    if (rejected) {
        ++stats_.rejectedByBackend_;
        return notRun(
            response.status_ == statusMisdirected ? GateReason::Unavailable : GateReason::Busy, true);
    }
    const auto spent = bootNow() - ticket.sent_;
    meanServiceTime_ += std::chrono::duration_cast<Duration>((spent - meanServiceTime_) * serviceTimeWeight);
    ++stats_.answered_;
    outcomes_.add(response.status_ >= statusServerError, bootNow());
    GateReply reply;
    reply.outcome_ = GateOutcome::Answered;
    reply.arrived_ = true;
    if (costControl_) {
        reply.spent_ = spent;
        reply.calledCostMs_ = profile_.calledCost(ticket.call_.route_);
    }
    reply.response_ = std::move(response);
    reply.response_.headers_.removeHopByHop();
    reply.response_.keepAlive_ = true; // It concerned the connection to the backend server.
    return reply;
}

auto Gate::finish(const TicketPtr& ticket, GateReply reply) -> void
{
    tickets_.erase(ticket->id_);
    logEnded(*ticket, reply);
    if (ticket->abandoned_) {
        return;
    }
    reply.load_ = load();
    reply.fromBackend_ = origins_.isInternalRoute(ticket->call_.route_);
    auto callback = std::exchange(ticket->callback_, nullptr);
    callback(std::move(reply));
}

auto Gate::logRefused(const GateCall& call, GateReason reason) -> void
{
    metrics_.onGate("refused", gateReasonName(reason), {}, {});
    if (!isLogged(call.attemptId_) && !logBudget_.allow(1, bootNow())) {
        return;
    }
    const auto bound = longestWait(call);
    logEvent(LogLevel::Info, "gate_refused",
        { { "attempt", call.attemptId_ }, { "from_node", call.callerNode_ },
            { "from_service", call.callerService_ }, { "route", call.route_ },
            { "reason", gateReasonName(reason) }, { "running", running_ }, { "queued", waiting_ },
            { "limit", limit() }, { "expected_wait_ms", toMilliseconds(expectedWait(queuePositionOf(call))) },
            { "longest_wait_ms", toMilliseconds(bound) }, { "phase", backendPhaseName(instance_.phase_) },
            { "backend", instance_.id_ }, { "time_left_ms", toMilliseconds(call.deadline_ - bootNow()) } });
}

auto Gate::logEnded(const Ticket& ticket, const GateReply& reply) -> void
{
    const auto now = bootNow();
    const auto sent = ticket.running_ ? ticket.sent_ : now;
    const auto* outcome = outcomeNames.at(static_cast<std::size_t>(reply.outcome_));
    metrics_.onGate(outcome, gateReasonName(reply.reason_), sent - ticket.arrived_, now - sent);
    const auto& id = ticket.call_.attemptId_;
    const bool answered = reply.outcome_ == GateOutcome::Answered;
    if (!isLogged(id) && (answered || !logBudget_.allow(1, now))) {
        return;
    }
    logEvent(LogLevel::Info, "gate_ended",
        { { "attempt", id }, { "from_node", ticket.call_.callerNode_ },
            { "from_service", ticket.call_.callerService_ }, { "route", ticket.call_.route_ },
            { "outcome", outcome }, { "reason", gateReasonName(reply.reason_) },
            { "status", reply.response_.status_ }, { "abandoned", static_cast<int>(ticket.abandoned_) },
            { "arrived", static_cast<int>(reply.arrived_) },
            { "queued_ms", toMilliseconds(sent - ticket.arrived_) },
            { "backend_ms", toMilliseconds(now - sent) }, { "running", running_ }, { "queued", waiting_ },
            { "limit", limit() }, { "backend", instance_.id_ } });
}

auto Gate::logLevel(TimePoint now) -> void
{
    const double level = level_.level();
    const bool moved = std::abs(level - loggedLevel_) >= loggedLevelStep || (level > 0) != (loggedLevel_ > 0);
    if (!moved || now < nextLevelLog_) {
        return;
    }
    nextLevelLog_ = now + levelLogInterval;
    logEvent(LogLevel::Info, "level_changed",
        { { "shed_level", level }, { "before", loggedLevel_ }, { "running", running_ },
            { "queued", waiting_ }, { "limit", limit() },
            { "service_time_ms", toMilliseconds(meanServiceTime_) } });
    loggedLevel_ = level;
}

auto Gate::cancel(TicketId id) -> void
{
    const auto found = tickets_.find(id);
    if (found == tickets_.end()) {
        return;
    }
    const auto ticket = found->second;
    ticket->abandoned_ = true;
    if (!ticket->running_) {
        dropWaiting(ticket, GateReason::Expired);
        return;
    }
    if (ticket->call_.idempotent_) {
        pool_->cancel(ticket->poolCall_);
        changeRunning(-1);
        logEnded(*ticket, unknown(GateReason::None));
        tickets_.erase(id);
        startWaiting();
    }
}

auto Gate::fence(const std::string& attemptId) -> bool
{
    auto& record = records_[attemptId];
    if (record.ticket_ == 0) {
        record = { AttemptState::Fenced, bootNow() + std::chrono::minutes(1), 0 };
        return true;
    }
    if (record.state_ != AttemptState::Waiting) {
        return record.state_ == AttemptState::Fenced;
    }
    const auto found = tickets_.find(record.ticket_);
    if (found != tickets_.end()) {
        const auto ticket = found->second;
        ticket->abandoned_ = true;
        dropWaiting(ticket, GateReason::Expired);
    }
    records_[attemptId] = { AttemptState::Fenced, bootNow() + std::chrono::minutes(1), 0 };
    return true;
}

auto Gate::setInstance(const BackendInstance& instance) -> void
{
    if (!(instance.address_ == instance_.address_) || instance.id_ != instance_.id_
        || instance.bornMs_ != instance_.bornMs_) {
        unreachableUntil_ = {};
        pool_->setServer(instance.address_);
    }
    instance_ = instance;
    startWaiting();
}

auto Gate::setMaxConnections(std::size_t count) -> void
{
    maxConnections_ = count;
    if (count > 0) {
        pool_->setMaxConnections(count);
    }
}

auto Gate::stopAdmitting() -> void
{
    stopping_ = true;
    startWaiting();
}

auto Gate::judgeOrigins() -> void
{
    origins_.classify(bootNow());
}

auto Gate::tick() -> void
{
    const auto now = bootNow();
    std::vector<std::pair<TicketPtr, GateReason>> overdue;
    for (const auto& [position, tickets] : queue_) {
        for (const auto& ticket : tickets) {
            // The time left shrinks while the request waits, so the wait is compared with what it was at
            // first.
            const auto bound = ticket->longestWait_;
            if (ticket->call_.deadline_ <= now) {
                overdue.emplace_back(ticket, GateReason::Expired);
            } else if (now - ticket->arrived_ > 2 * bound) {
                overdue.emplace_back(ticket, GateReason::Busy);
            }
        }
    }
    for (const auto& [ticket, reason] : overdue) {
        dropWaiting(ticket, reason);
    }
    startWaiting();
    if (costControl_) {
        profile_.update(now);
    }
    changeRunning(0);
    const double slots = limit();
    const std::chrono::duration<double> span = now - busyIntervalStart_;
    const double used = span.count() > 0 ? busySeconds_ / span.count() / slots : 0;
    level_.update(used, waiting_ / slots, now);
    busySeconds_ = 0;
    busyIntervalStart_ = now;
    logLevel(now);
    if (now >= nextRecordSweep_) {
        nextRecordSweep_ = now + recordSweepInterval;
        expireRecords(now);
    }
}

auto Gate::expireRecords(TimePoint now) -> void
{
    std::erase_if(records_, [&](const auto& item) {
        return item.second.expires_ < now && tickets_.count(item.second.ticket_) == 0;
    });
}

auto Gate::load() const -> GateLoad
{
    const ReportedLevel downstream { downstreamLevel_.level_,
        downstreamLevel_.age_ + (bootNow() - downstreamLevelSet_) };
    return { running_, waiting_, limit(), meanServiceTime_, level_.level(), downstream, calls_, failedShare(),
        costControl_ ? slowdown_.now(bootNow()) : 0 };
}

auto Gate::failedShare() const -> double
{
    return outcomes_.failedShare(minOutcomes, bootNow());
}

} // namespace wagtailhead
