#include "admission_model_test.h"

#include <algorithm>

namespace wagtailhead {

namespace {

constexpr Duration interval = milliseconds(100);
constexpr int frozenTicks = 10;

auto indexOf(Priority priority) -> std::size_t
{
    return static_cast<std::size_t>(priority);
}

auto isOverload(RefusalReason reason) -> bool
{
    return reason != RefusalReason::Deadline && reason != RefusalReason::Cancelled;
}

} // namespace

auto ModelResult::completed() const -> int
{
    int sum = 0;
    for (const auto& counts : counts_) {
        sum += counts.completed_;
    }
    return sum;
}

AdmissionModel::AdmissionModel(ModelOptions options)
    : options_(std::move(options))
    , admission_(options_.admission_)
    , levels_({}, options_.seed_)
    , checks_(options_.admission_.queue_ == Mechanism::Adaptive)
    , random_(options_.seed_)
    , now_(startTime())
    , end_(startTime())
{
    for (const auto& phase : options_.phases_) {
        end_ += phase.length_;
    }
}

auto AdmissionModel::startTime() -> TimePoint
{
    return TimePoint(seconds(1000));
}

auto AdmissionModel::run(const Observer& observer) -> ModelResult
{
    scheduleNextArrival();
    schedule(now_ + options_.tick_, EventKind::Tick);
    while (!events_.empty() && result_.violation_.empty()) {
        const auto event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at_);
        process(event);
        if (checks_) {
            checkLoad();
        }
        if (observer) {
            observer(admission_, now_);
        }
    }
    checkEnd();
    return result_;
}

auto AdmissionModel::schedule(TimePoint at, EventKind kind, AdmissionId id) -> void
{
    events_.push({ at, ++order_, kind, id });
}

auto AdmissionModel::chance(double share) -> bool
{
    return share > 0 && std::uniform_real_distribution(0.0, 1.0)(random_) < share;
}

auto AdmissionModel::phaseAt(TimePoint at) const -> const Phase*
{
    auto from = startTime();
    for (const auto& phase : options_.phases_) {
        from += phase.length_;
        if (at < from) {
            return &phase;
        }
    }
    return nullptr;
}

auto AdmissionModel::scheduleNextArrival() -> void
{
    auto at = now_;
    const Phase* phase = phaseAt(at);
    while (phase) {
        const double perSecond = phase->load_ * options_.realSlots_
            / std::chrono::duration<double>(options_.serviceTime_).count();
        const double gap = std::exponential_distribution(std::max(perSecond, 1e-3))(random_);
        at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        const auto* reached = phaseAt(at);
        // A gap that ends in another phase is drawn again at that phase's rate.
        if (reached == phase) {
            std::discrete_distribution<std::size_t> priorities(options_.mix_.begin(), options_.mix_.end());
            const auto priority = allPriorities.at(priorities(random_));
            ++result_.counts_.at(indexOf(priority)).requests_;
            addTry(priority, 1, at);
            return;
        }
        phase = reached;
    }
}

auto AdmissionModel::addTry(Priority priority, int number, TimePoint at) -> void
{
    const auto id = ++lastId_;
    const int invested = static_cast<int>(random_() % 3);
    Try attempt;
    attempt.call_ = { id, priority, random_(), invested, at + options_.deadline_, random_() % 2 };
    attempt.number_ = number;
    tries_.emplace(id, attempt);
    schedule(at, EventKind::Arrive, id);
    schedule(at + options_.deadline_, EventKind::Deadline, id);
    if (chance(options_.abandonShare_)) {
        const double share = std::uniform_real_distribution(0.0, 1.0)(random_);
        const auto after = std::chrono::duration_cast<Duration>(share * options_.deadline_);
        schedule(at + after, EventKind::Abandon, id);
    }
}

auto AdmissionModel::process(const Event& event) -> void
{
    switch (event.kind_) {
    case EventKind::Arrive:
        arrive(event.id_);
        break;
    case EventKind::Done:
        done(event.id_);
        break;
    case EventKind::Deadline:
    case EventKind::Abandon:
        giveUp(event.id_);
        break;
    case EventKind::Tick:
        tick();
        break;
    }
}

auto AdmissionModel::arrive(AdmissionId id) -> void
{
    auto& attempt = tries_.at(id);
    if (attempt.number_ == 1) {
        scheduleNextArrival();
    }
    if (isFiltered(attempt)) {
        ++result_.counts_.at(indexOf(attempt.call_.priority_)).filtered_;
        const auto filtered = attempt;
        tries_.erase(id);
        if (filtered.callerWaits_) {
            retry(filtered);
        }
        return;
    }
    const auto decision = admission_.arrive(attempt.call_, now_);
    std::vector<Refusal> refused = decision.others_.dropped_;
    std::vector<AdmissionId> started = decision.others_.start_;
    if (decision.action_ == AdmissionAction::Queue) {
        attempt.state_ = TryState::Queued;
        queuedByDeadline_.emplace(attempt.call_.deadline_, id);
        ++queued_.at(indexOf(attempt.call_.priority_));
    } else if (decision.action_ == AdmissionAction::Refuse) {
        refused.push_back(decision.refusal_);
    } else {
        started.push_back(id);
    }
    apply({ started, refused });
}

auto AdmissionModel::done(AdmissionId id) -> void
{
    const auto found = tries_.find(id);
    if (found == tries_.end() || found->second.state_ != TryState::Running) {
        return;
    }
    const auto attempt = found->second;
    const bool failed = chance(options_.failShare_);
    const bool useful = attempt.callerWaits_ && !failed;
    countWork(attempt, useful);
    leaveBackend(id);
    if (useful) {
        ++result_.counts_.at(indexOf(attempt.call_.priority_)).completed_;
        const auto index = static_cast<std::size_t>((now_ - startTime()) / interval);
        result_.completedPerInterval_.resize(std::max(result_.completedPerInterval_.size(), index + 1));
        ++result_.completedPerInterval_.at(index);
    } else if (attempt.callerWaits_) {
        retry(attempt);
    }
    apply(admission_.finish({ id, failed ? CallEnd::Failed : CallEnd::Completed }, now_));
    learnLevel();
}

auto AdmissionModel::giveUp(AdmissionId id) -> void
{
    const auto found = tries_.find(id);
    if (found == tries_.end() || !found->second.callerWaits_) {
        return;
    }
    auto& attempt = found->second;
    attempt.callerWaits_ = false;
    retry(attempt);
    if (!options_.cancels_) {
        return;
    }
    if (attempt.state_ == TryState::Queued) {
        apply(admission_.cancel(id, now_));
    } else if (attempt.state_ == TryState::Accepted || attempt.state_ == TryState::Running) {
        countWork(attempt, false);
        leaveBackend(id);
        apply(admission_.finish({ id, CallEnd::Cancelled }, now_));
    }
}

auto AdmissionModel::tick() -> void
{
    const bool frozen = chance(options_.freezeShare_);
    apply(admission_.tick(now_));
    if (now_ < end_ || !tries_.empty()) {
        schedule(now_ + options_.tick_, EventKind::Tick);
    }
    if (frozen) {
        now_ += frozenTicks * options_.tick_;
    }
}

auto AdmissionModel::apply(const AdmissionChange& change) -> void
{
    const auto takeFromQueue = [this](AdmissionId id) {
        const auto& attempt = tries_.at(id);
        if (attempt.state_ == TryState::Queued) {
            queuedByDeadline_.erase({ attempt.call_.deadline_, id });
            --queued_.at(indexOf(attempt.call_.priority_));
        }
    };
    for (const auto& refusal : change.dropped_) {
        takeFromQueue(refusal.id_);
    }
    for (const auto id : change.start_) {
        takeFromQueue(id);
    }
    if (checks_) {
        checkDecision(change.dropped_, change.start_);
    }
    for (const auto& refusal : change.dropped_) {
        refuse(refusal);
    }
    for (const auto id : change.start_) {
        start(id);
    }
}

auto AdmissionModel::start(AdmissionId id) -> void
{
    ++started_;
    auto& attempt = tries_.at(id);
    if (running_ < workingSlots()) {
        runAtBackend(id);
    } else {
        attempt.state_ = TryState::Accepted;
        acceptQueue_.push_back(id);
    }
}

auto AdmissionModel::workingSlots() const -> int
{
    const auto* phase = phaseAt(now_);
    return phase ? std::max(static_cast<int>(phase->slotShare_ * options_.realSlots_), 1)
                 : options_.realSlots_;
}

auto AdmissionModel::runAtBackend(AdmissionId id) -> void
{
    auto& attempt = tries_.at(id);
    attempt.state_ = TryState::Running;
    attempt.runsSince_ = now_;
    ++running_;
    double factor = 1;
    if (options_.spread_ == Spread::Uniform) {
        factor = std::uniform_real_distribution(0.5, 1.5)(random_);
    } else if (options_.spread_ == Spread::Exponential) {
        factor = std::exponential_distribution(1.0)(random_);
    }
    const auto* phase = phaseAt(now_);
    const double slowness = phase ? phase->slowness_ : 1;
    const auto time = std::chrono::duration_cast<Duration>(factor * slowness * options_.serviceTime_);
    schedule(now_ + std::max<Duration>(time, microseconds(1)), EventKind::Done, id);
}

auto AdmissionModel::leaveBackend(AdmissionId id) -> void
{
    --started_;
    const bool ran = tries_.at(id).state_ == TryState::Running;
    tries_.erase(id);
    if (!ran) {
        acceptQueue_.erase(std::find(acceptQueue_.begin(), acceptQueue_.end(), id));
        return;
    }
    --running_;
    while (!acceptQueue_.empty() && running_ < workingSlots()) {
        const auto next = acceptQueue_.front();
        acceptQueue_.pop_front();
        runAtBackend(next);
    }
}

auto AdmissionModel::refuse(const Refusal& refusal) -> void
{
    learnLevel();
    const auto attempt = tries_.at(refusal.id_);
    tries_.erase(refusal.id_);
    if (isOverload(refusal.reason_)) {
        ++result_.counts_.at(indexOf(attempt.call_.priority_)).refusals_;
    }
    if (attempt.callerWaits_) {
        retry(attempt);
    }
}

auto AdmissionModel::retry(const Try& attempt) -> void
{
    if (attempt.number_ < options_.tries_) {
        addTry(attempt.call_.priority_, attempt.number_ + 1, now_ + options_.retryDelay_);
    }
}

auto AdmissionModel::isFiltered(const Try& attempt) -> bool
{
    const auto& call = attempt.call_;
    return options_.filters_
        && levels_.check("service", "/", call.priority_, call.rootHash_, now_).verdict_
        == LevelVerdict::Refuse;
}

auto AdmissionModel::learnLevel() -> void
{
    if (options_.filters_) {
        levels_.learn("service", "/", admission_.load().level_, "service", now_);
    }
}

auto AdmissionModel::countWork(const Try& attempt, bool useful) -> void
{
    if (attempt.state_ != TryState::Running) {
        return;
    }
    const double work = std::chrono::duration<double>(now_ - attempt.runsSince_).count();
    result_.work_ += work;
    result_.wastedWork_ += useful ? 0 : work;
}

auto AdmissionModel::checkDecision(
    const std::vector<Refusal>& refused, const std::vector<AdmissionId>& started) -> void
{
    const auto level = admission_.load().level_;
    const bool critical = std::any_of(refused.begin(), refused.end(), [this](const Refusal& refusal) {
        return isOverload(refusal.reason_) && tries_.at(refusal.id_).call_.priority_ == Priority::Critical;
    });
    const bool shedsCritical = level.priority_ == Priority::Critical && level.keepBelow_ != UINT64_MAX;
    for (const auto id : started) {
        const auto& call = tries_.at(id).call_;
        if (call.deadline_ <= now_) {
            violate("a call started after its deadline");
        }
        if ((critical || shedsCritical) && call.priority_ != Priority::Critical) {
            violate("a less important call started while critical calls were refused");
        }
    }
    if (!started.empty() && !queuedByDeadline_.empty() && queuedByDeadline_.begin()->first <= now_) {
        violate("expired work in the queue at a start decision");
    }
    if (critical && queued_.at(0) != static_cast<int>(queuedByDeadline_.size())) {
        violate("less important calls stay queued when a critical call is refused");
    }
}

auto AdmissionModel::checkLoad() -> void
{
    const auto load = admission_.load();
    if (load.inFlight_ != started_ || load.inFlight_ > options_.admission_.slots_) {
        violate("calls in flight do not match, or exceed the slots");
    }
    if (load.queued_ != static_cast<int>(queuedByDeadline_.size())) {
        violate("queued calls do not match");
    }
    if (load.queued_ > std::max(2 * options_.admission_.slots_, 16)) {
        violate("the queue exceeds its bound");
    }
    if (load.queued_ > 0 && load.inFlight_ == 0) {
        violate("calls wait although nothing runs");
    }
}

auto AdmissionModel::checkEnd() -> void
{
    if (!tries_.empty()) {
        violate("a call has neither run nor been refused");
    }
}

auto AdmissionModel::violate(const std::string& text) -> void
{
    if (result_.violation_.empty()) {
        result_.violation_ = text + " (seed " + std::to_string(options_.seed_) + ", at "
            + std::to_string(toMilliseconds(now_ - startTime())) + " ms)";
    }
}

} // namespace wagtailhead
