#include "wagtailhead/admission.h"

#include "admission_queue.h"
#include "concurrency_limit.h"
#include "level_control.h"
#include "load_meter.h"
#include "service_times.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace wagtailhead {

namespace {

constexpr int queuedCallsPerSlot = 2;
constexpr int minQueueLimit = 16;

/// A full queue drains in `queuePlacesPerSlot` service times. A call that waits longer is continually
/// overtaken by more important ones.
constexpr int queueTimeServiceTimes = 3;

/// Critical calls are exempt from probe limits again after no critical calls have been shed for this time.
constexpr Duration criticalExemptionDelay = seconds(2);

struct RunningEntry {
    std::uint64_t group_ = 0;
    TimePoint startedAt_;
};

} // namespace

class AdmissionController::Impl {
public:
    explicit Impl(const AdmissionOptions& options)
        : options_(options)
        , limit_(ConcurrencyLimit::create(options))
        , queue_(AdmissionQueue::create(options.queue_))
        , levelControl_(LevelControl::create(options.shedding_))
    {
    }

    auto arrive(const AdmissionCall& call, TimePoint now) -> AdmissionDecision
    {
        const std::lock_guard lock(mutex_);
        ++stats_.arrived_;
        levelControl_->onArrival(call.priority_, call.rootHash_, serviceTimes_.mean(call.group_));
        AdmissionDecision decision;
        dropAndUpdateLevel(now, decision.others_);
        const auto refusal = refuseOnArrival(call, now);
        if (refusal) {
            decision.refusal_ = *refusal;
            countRefusal(*refusal);
        } else {
            queue_->push({ call, now });
            evictOverflow(call.id_, now, decision.others_);
        }
        startNext(now, decision.others_);
        reportState(now);
        if (!refusal) {
            extractArrived(call.id_, decision);
        }
        return decision;
    }

    auto finish(const FinishedCall& call, TimePoint now) -> AdmissionChange
    {
        const std::lock_guard lock(mutex_);
        AdmissionChange change;
        const auto found = running_.find(call.id_);
        if (found == running_.end()) {
            return change;
        }
        measure(found->second, call, now);
        running_.erase(found);
        processQueue(now, change);
        return change;
    }

    auto cancel(AdmissionId id, TimePoint now) -> AdmissionChange
    {
        const std::lock_guard lock(mutex_);
        AdmissionChange change;
        if (queue_->remove(id)) {
            drop(id, RefusalReason::Cancelled, false, change);
        }
        processQueue(now, change);
        return change;
    }

    auto tick(TimePoint now) -> AdmissionChange
    {
        const std::lock_guard lock(mutex_);
        AdmissionChange change;
        processQueue(now, change);
        return change;
    }

    auto resize(int slots, int connections, TimePoint now) -> AdmissionChange
    {
        const std::lock_guard lock(mutex_);
        options_.slots_ = slots;
        options_.connections_ = connections;
        limit_->resize(slots, connections);
        AdmissionChange change;
        processQueue(now, change);
        return change;
    }

    auto load() const -> LoadReport
    {
        const std::lock_guard lock(mutex_);
        return { inFlight(), static_cast<int>(queue_->size()), limit_->settledLimit(),
            levelControl_->level() };
    }

    auto stats() const -> AdmissionStats
    {
        const std::lock_guard lock(mutex_);
        auto stats = stats_;
        stats.limit_ = limit_->settledLimit();
        stats.inFlight_ = inFlight();
        stats.queued_ = static_cast<int>(queue_->size());
        stats.level_ = levelControl_->level();
        stats.serviceTime_ = serviceTimes_.overallMean();
        stats.latencyRatio_ = limit_->latencyRatio();
        return stats;
    }

private:
    auto inFlight() const -> int
    {
        return static_cast<int>(running_.size());
    }

    /// Returns the concurrency limit that applies to the start of a call of this priority. The lower limit
    /// during a probe applies to critical calls only if they alone exceed capacity.
    auto limitFor(Priority priority, TimePoint now) const -> int
    {
        const bool exempt
            = priority == Priority::Critical && now - lastCriticalShedAt_ > criticalExemptionDelay;
        return exempt ? limit_->settledLimit() : limit_->limit();
    }

    auto queueLimit() const -> std::size_t
    {
        const int limit = options_.queueLimit_ > 0
            ? options_.queueLimit_
            : std::max(queuedCallsPerSlot * options_.slots_, minQueueLimit);
        return static_cast<std::size_t>(limit);
    }

    /// Returns whether calls of this priority are refused here only, and not by the whole service.
    auto isLocal(Priority priority) const -> bool
    {
        const auto& level = levelControl_->level();
        return level == SheddingLevel {} || priority < level.priority_;
    }

    auto processQueue(TimePoint now, AdmissionChange& change) -> void
    {
        dropAndUpdateLevel(now, change);
        startNext(now, change);
        reportState(now);
    }

    /// Drops expired and overdue calls from the queue, and updates the level when it is due.
    auto dropAndUpdateLevel(TimePoint now, AdmissionChange& change) -> void
    {
        for (const auto& queued : queue_->takeExpired(now)) {
            drop(queued, RefusalReason::Deadline, change);
        }
        const auto overdueBefore = now - queueTimeLimit(now);
        for (const auto& queued : queue_->takeOverdue(overdueBefore)) {
            drop(queued, RefusalReason::QueueTime, change);
        }
        queue_->promoteOverdue(overdueBefore);
        const bool stricter = levelControl_->isDue(now) && levelControl_->update(levelInput(now), now);
        if (levelControl_->level().priority_ == Priority::Critical) {
            lastCriticalShedAt_ = now;
        }
        if (stricter) {
            for (const auto& queued : queue_->takeShed(levelControl_->level())) {
                drop(queued, RefusalReason::Shed, change);
            }
        }
    }

    auto queueTimeLimit(TimePoint now) const -> Duration
    {
        const bool overloaded = queue_->size() > 0 && now - lastQueueEmptyAt_ >= options_.overloadAfter_;
        return std::max(overloaded ? options_.overloadQueueTime_ : options_.queueTime_,
            queueTimeServiceTimes * serviceTimes_.overallMean());
    }

    auto levelInput(TimePoint now) -> LevelInput
    {
        LevelInput input;
        input.limit_ = limit_->settledLimit();
        input.presentLimit_ = limit_->limit();
        input.serviceTime_ = serviceTimes_.overallMean();
        meter_.read(input, queue_->counts(), now);
        return input;
    }

    /// Returns the refusal if the call is to be refused without being queued.
    auto refuseOnArrival(const AdmissionCall& call, TimePoint now) const -> std::optional<Refusal>
    {
        if (drops(levelControl_->level(), call.priority_, call.rootHash_)) {
            return Refusal { call.id_, RefusalReason::Shed, false };
        }
        if (options_.queue_ == Mechanism::Naive) {
            return std::nullopt;
        }
        if (!canMeetDeadline(call, now)) {
            return Refusal { call.id_, RefusalReason::Deadline, false };
        }
        if (!canMeetDeadline(call, now + expectedWait(call.priority_))) {
            return Refusal { call.id_, RefusalReason::Deadline, isLocal(call.priority_) };
        }
        return std::nullopt;
    }

    auto canMeetDeadline(const AdmissionCall& call, TimePoint startAt) const -> bool
    {
        return startAt + serviceTimes_.optimistic(call.group_, startAt) < call.deadline_;
    }

    /// Returns half of the estimated time until the queued calls of at least this priority have started.
    /// Half is used so that only calls that almost certainly miss their deadline are refused on arrival.
    auto expectedWait(Priority priority) const -> Duration
    {
        int ahead = 0;
        for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
            ahead += queue_->counts().at(i);
        }
        return serviceTimes_.overallMean() * ahead / (2 * std::max(limit_->settledLimit(), 1));
    }

    /// Drops the least important calls while the queue exceeds its limit.
    auto evictOverflow(AdmissionId arrived, TimePoint now, AdmissionChange& change) -> void
    {
        if (options_.queue_ == Mechanism::Naive) {
            return;
        }
        // Calls that can start at once do not count towards the queue limit.
        const auto free = static_cast<std::size_t>(
            std::max(limitFor(queue_->front()->call_.priority_, now) - inFlight(), 0));
        while (queue_->size() > queueLimit() + free) {
            const auto victim = *queue_->back();
            queue_->remove(victim.call_.id_);
            const bool isNew = victim.call_.id_ == arrived;
            drop(victim, isNew ? RefusalReason::QueueFull : RefusalReason::Evicted, change);
        }
    }

    auto startNext(TimePoint now, AdmissionChange& change) -> void
    {
        while (const auto* next = queue_->front()) {
            const auto call = next->call_;
            if (inFlight() >= limitFor(call.priority_, now)) {
                return;
            }
            queue_->remove(call.id_);
            if (options_.queue_ != Mechanism::Naive && !canMeetDeadline(call, now)) {
                drop(call.id_, RefusalReason::Deadline, isLocal(call.priority_), change);
                continue;
            }
            running_[call.id_] = { call.group_, now };
            ++stats_.started_;
            change.start_.push_back(call.id_);
        }
    }

    /// Records the service time and latency of an ended call.
    auto measure(const RunningEntry& entry, const FinishedCall& call, TimePoint now) -> void
    {
        const auto total = now - entry.startedAt_;
        if (call.end_ == CallEnd::Completed) {
            const auto subCalls = std::clamp(call.subCallTime_, Duration::zero(), total);
            serviceTimes_.record(entry.group_, total, now);
            limit_->onCompletion(entry.group_, total - subCalls, now);
            ++stats_.completed_;
        } else if (call.end_ == CallEnd::Cancelled && total > serviceTimes_.mean(entry.group_)) {
            // The call would have taken even longer. Without this sample, the estimate for a backend server
            // that is too slow for most deadlines would reflect only the few calls that it completes.
            serviceTimes_.record(entry.group_, total, now);
        }
    }

    /// Reports the state after a decision to the limit and the load meter.
    auto reportState(TimePoint now) -> void
    {
        if (queue_->size() == 0) {
            lastQueueEmptyAt_ = now;
        }
        limit_->onInFlight(inFlight(), queue_->size() > 0, now);
        meter_.onInFlight(inFlight(), now);
    }

    auto drop(const QueuedCall& queued, RefusalReason reason, AdmissionChange& change) -> void
    {
        if (reason != RefusalReason::Shed) {
            meter_.onDrop();
        }
        const bool local = reason != RefusalReason::Shed && isLocal(queued.call_.priority_);
        drop(queued.call_.id_, reason, local, change);
    }

    auto drop(AdmissionId id, RefusalReason reason, bool local, AdmissionChange& change) -> void
    {
        change.dropped_.push_back({ id, reason, local });
        countRefusal(change.dropped_.back());
    }

    auto countRefusal(const Refusal& refusal) -> void
    {
        ++stats_.refused_.at(static_cast<std::size_t>(refusal.reason_));
    }

    /// Moves the result for the arrived call from the change to the decision.
    static auto extractArrived(AdmissionId id, AdmissionDecision& decision) -> void
    {
        decision.action_ = AdmissionAction::Queue;
        auto& change = decision.others_;
        if (std::erase(change.start_, id) > 0) {
            decision.action_ = AdmissionAction::Start;
        }
        const auto dropped
            = std::find_if(change.dropped_.begin(), change.dropped_.end(), [id](const Refusal& refusal) {
                  return refusal.id_ == id;
              });
        if (dropped != change.dropped_.end()) {
            decision.action_ = AdmissionAction::Refuse;
            decision.refusal_ = *dropped;
            change.dropped_.erase(dropped);
        }
    }

    mutable std::mutex mutex_;
    AdmissionOptions options_;
    std::unique_ptr<ConcurrencyLimit> limit_;
    std::unique_ptr<AdmissionQueue> queue_;
    std::unique_ptr<LevelControl> levelControl_;
    ServiceTimes serviceTimes_;
    std::unordered_map<AdmissionId, RunningEntry> running_;
    TimePoint lastQueueEmptyAt_;
    TimePoint lastCriticalShedAt_;
    LoadMeter meter_;
    AdmissionStats stats_;
};

AdmissionController::AdmissionController(const AdmissionOptions& options)
    : impl_(std::make_unique<Impl>(options))
{
}

AdmissionController::~AdmissionController() = default;

auto AdmissionController::arrive(const AdmissionCall& call, TimePoint now) -> AdmissionDecision
{
    return impl_->arrive(call, now);
}

auto AdmissionController::finish(const FinishedCall& call, TimePoint now) -> AdmissionChange
{
    return impl_->finish(call, now);
}

auto AdmissionController::cancel(AdmissionId id, TimePoint now) -> AdmissionChange
{
    return impl_->cancel(id, now);
}

auto AdmissionController::tick(TimePoint now) -> AdmissionChange
{
    return impl_->tick(now);
}

auto AdmissionController::resize(int slots, int connections, TimePoint now) -> AdmissionChange
{
    return impl_->resize(slots, connections, now);
}

auto AdmissionController::load() const -> LoadReport
{
    return impl_->load();
}

auto AdmissionController::stats() const -> AdmissionStats
{
    return impl_->stats();
}

auto admissionCallOf(AdmissionId id, const CallContext& context, std::uint64_t group) -> AdmissionCall
{
    return { id, context.priority_, context.rootHash_, context.invested_, context.deadline_, group };
}

auto refusalReasonName(RefusalReason reason) -> const char*
{
    static constexpr std::array<const char*, refusalReasonCount> names { "shed", "queue-full", "evicted",
        "queue-time", "deadline", "cancelled" };
    return names.at(static_cast<std::size_t>(reason));
}

auto naiveAdmissionOptions(int slots, int connections) -> AdmissionOptions
{
    AdmissionOptions options;
    options.slots_ = slots;
    options.connections_ = connections;
    options.limit_ = Mechanism::Naive;
    options.queue_ = Mechanism::Naive;
    options.shedding_ = Mechanism::Naive;
    return options;
}

} // namespace wagtailhead
