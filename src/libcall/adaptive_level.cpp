#include "adaptive_level.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>

namespace wagtailhead {

namespace {

constexpr Duration updateInterval = milliseconds(50);

/// Completions at full capacity over which the offered work is averaged, and bounds of the averaging time.
/// With fewer completions, the level of a slow service would follow random variation of its arrivals.
constexpr double averagedCalls = 30;
constexpr double minMemorySeconds = 0.3;
constexpr double maxMemorySeconds = 5;

/// Time constant with which the estimate of a fully shed priority decays.
constexpr double shedPriorityMemorySeconds = 5;

/// Admitted share of a priority from which its total work is extrapolated from the admitted arrivals.
constexpr double minExtrapolationShare = 0.02;

/// If the observed arrivals reach this share of the extrapolated work, they are taken as all arrivals. They
/// are counted exactly, whereas the extrapolation is noisy when few roots are admitted.
constexpr double minUnfilteredShare = 0.6;

/// Target queue length while shedding, and the queue length that alone starts shedding, as waiting time in
/// multiples of the mean service time.
constexpr double targetQueueWait = 0.75;
constexpr double overloadQueueWait = 1.5;

/// Time over which a deviation of the queue from its target is corrected: the longer of this many seconds
/// and this many mean service times.
constexpr double minCorrectionSeconds = 0.4;
constexpr double correctionServiceTimes = 2;

/// Greatest share of capacity that is reserved for reducing the queue.
constexpr double maxQueueDrainShare = 0.5;

/// Utilization of the concurrency limit below which the share refused by callers' nodes is not measured,
/// and the one below which too few calls are admitted while shedding.
constexpr double busyUtilization = 0.9;
constexpr double targetUtilization = 0.99;

/// Share of capacity that may be dropped from the queue. With random arrivals, slots stay idle at times
/// unless slightly more than the capacity is admitted.
constexpr double toleratedDropShare = 0.02;

/// Gain of the correction factor for small and large observed errors, and bounds of the factor. Large errors
/// are caused by a change of load or speed, small ones mostly by random variation.
constexpr double correctionGain = 0.3;
constexpr double largeErrorThreshold = 0.3;
constexpr double largeErrorGain = 0.5;
constexpr double minCorrection = 0.5;
constexpr double maxCorrection = 4;

/// Time constant with which the correction factor returns to 1 after shedding has ended. It does not
/// return at once, because the estimates that it corrects stay wrong for a while.
constexpr double correctionMemorySeconds = 0.5;

/// Fastest relaxation of the level in priorities per second: from dropping everything to dropping nothing
/// takes 1 s. While callers' nodes refuse most of the shed calls, the effect of a step is measurable only
/// later, so the relaxation is slower.
constexpr double relaxPerSecond = 4;
constexpr double filteredRelaxPerSecond = 2;

/// Time until callers' nodes apply a relaxed level: their LevelTable uses the strictest report of up to the
/// last 200 ms.
constexpr Duration propagationTime = milliseconds(150);

/// Callers' nodes count as filtering if less than this share of the work that the level drops is refused at
/// this node. Second constant: time constant of both sums.
constexpr double filteredShare = 0.5;
constexpr double filterMemorySeconds = 0.5;

/// The level is kept if the admitted work would change by less than this share of capacity, because a new
/// level reaches some hops earlier than others.
constexpr double deadBand = 0.02;

/// Critical calls alone must exceed capacity for this time before they are shed.
constexpr double criticalOverloadSeconds = 0.5;
constexpr double minCriticalShare = 0.05;

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the share of the roots of a priority that is admitted at a position.
auto admittedShare(double position, std::size_t priority) -> double
{
    return std::clamp(position - static_cast<double>(priority), 0.0, 1.0);
}

/// Returns the keepBelow_ value for a share of the root hashes.
auto keepBelowFor(double share) -> std::uint64_t
{
    constexpr double hashes = 18446744073709551616.0;
    return share >= 1 ? UINT64_MAX : static_cast<std::uint64_t>(share * hashes);
}

} // namespace

auto AdaptiveLevel::Offer::scale(double factor) -> void
{
    observedWork_ *= factor;
    admittedWork_ *= factor;
    rate_ *= factor;
}

auto AdaptiveLevel::Offer::update(double admittedShare, double elapsed, double memory) -> void
{
    const double decay = std::exp(-elapsed / memory);
    observedWork_ = observedWork_ * decay + passed_ + refused_;
    observedTime_ = observedTime_ * decay + elapsed;
    const double observed = observedWork_ / observedTime_;
    if (admittedShare >= minExtrapolationShare) {
        admittedWork_ = admittedWork_ * decay + passed_;
        admittedTime_ = admittedTime_ * decay + admittedShare * elapsed;
        const double extrapolated = admittedWork_ / admittedTime_;
        rate_ = observed >= minUnfilteredShare * extrapolated ? observed : extrapolated;
    } else {
        admittedWork_ *= decay;
        admittedTime_ *= decay;
        rate_ = std::max(observed, rate_ * std::exp(-elapsed / shedPriorityMemorySeconds));
    }
    passed_ = 0;
    refused_ = 0;
}

auto AdaptiveLevel::level() const -> const SheddingLevel&
{
    return level_;
}

auto AdaptiveLevel::onArrival(Priority priority, std::uint64_t rootHash, Duration work) -> void
{
    auto& offer = offers_.at(static_cast<std::size_t>(priority));
    (drops(level_, priority, rootHash) ? offer.refused_ : offer.passed_) += toSeconds(work);
}

auto AdaptiveLevel::isDue(TimePoint now) const -> bool
{
    return now - updatedAt_ >= updateInterval;
}

auto AdaptiveLevel::update(const LevelInput& input, TimePoint now) -> bool
{
    const bool first = updatedAt_ == TimePoint();
    const double elapsed = first ? toSeconds(updateInterval) : toSeconds(now - updatedAt_);
    updatedAt_ = now;
    const double memory = std::clamp(
        averagedCalls * toSeconds(input.serviceTime_) / input.limit_, minMemorySeconds, maxMemorySeconds);
    updateFiltered(input, elapsed);
    const double applied = appliedPosition();
    const double before = serviceTime_;
    serviceTime_ = toSeconds(input.serviceTime_);
    for (std::size_t i = 0; i < priorityCount; ++i) {
        offers_.at(i).scale(before > 0 ? serviceTime_ / before : 1);
        offers_.at(i).update(admittedShare(applied, i), elapsed, memory);
    }
    correctEstimates(input, elapsed);
    const auto oldLevel = level_;
    const double target = targetPosition(input, elapsed);
    const double relaxRate = filtered_ ? filteredRelaxPerSecond : relaxPerSecond;
    const double change = std::abs(admittedWork(target) - admittedWork(position_));
    if (target >= priorityCount || change >= deadBand * input.limit_) {
        setPosition(std::min(target, position_ + relaxRate * elapsed));
    }
    recordPosition(now);
    if (getenv("DBG"))
        printf("DBG pos %.3f fit %.3f corr %.3f used %.1f drop %.2f queued %.2f offers %.1f %.1f %.1f %.1f "
               "adm %.1f st %.1f\n",
            position_, target, correction_, input.inFlight_, input.droppedWork_ / (elapsed * input.limit_),
            (input.queued_[0] + input.queued_[1] + input.queued_[2] + input.queued_[3]) / input.limit_
                / toSeconds(input.serviceTime_),
            offers_[0].rate_, offers_[1].rate_, offers_[2].rate_, offers_[3].rate_, admittedWork(position_),
            1000 * toSeconds(input.serviceTime_));
    return isStricter(level_, oldLevel);
}

auto AdaptiveLevel::recordPosition(TimePoint now) -> void
{
    positions_.emplace_back(now, position_);
    while (now - positions_.front().first > propagationTime) {
        positions_.pop_front();
    }
}

auto AdaptiveLevel::appliedPosition() const -> double
{
    double applied = position_;
    for (const auto& [at, position] : positions_) {
        applied = std::min(applied, position);
    }
    return applied;
}

auto AdaptiveLevel::updateFiltered(const LevelInput& input, double elapsed) -> void
{
    // With idle slots, calls may be missing because the load has fallen, not because they were refused
    // elsewhere.
    if (input.inFlight_ < busyUtilization * input.presentLimit_) {
        return;
    }
    const double decay = std::exp(-elapsed / filterMemorySeconds);
    refusedLocally_ *= decay;
    droppedByLevel_ = droppedByLevel_ * decay + (offeredWork() - admittedWork(position_)) * elapsed;
    for (const auto& offer : offers_) {
        refusedLocally_ += offer.refused_;
    }
    filtered_ = refusedLocally_ < filteredShare * droppedByLevel_;
}

auto AdaptiveLevel::targetPosition(const LevelInput& input, double elapsed) -> double
{
    if (position_ >= priorityCount && !isOverloaded(input)) {
        criticalOverload_ = 0;
        return priorityCount;
    }
    const double serviceTime = toSeconds(input.serviceTime_);
    const double targetQueue = targetQueueWait * input.limit_ * serviceTime;
    const double correctionTime = std::max(minCorrectionSeconds, correctionServiceTimes * serviceTime);
    double queued = 0;
    double offered = 0;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        // Less important calls do not delay more important ones, so only the queue before them counts.
        queued += input.queued_.at(i);
        const double queueCorrection = (targetQueue - queued) / correctionTime;
        // Critical calls must not be shed because of drops of less important calls.
        const double factor = i == 0 ? std::max(correction_, 1.0) : correction_;
        const double capacity
            = factor * input.limit_ + std::max(queueCorrection, -maxQueueDrainShare * input.limit_);
        const double offerRate = offers_.at(i).rate_;
        if (offered + offerRate > capacity) {
            const double share = std::clamp((capacity - offered) / offerRate, 0.0, 1.0);
            return i == 0 ? criticalPosition(share, elapsed) : static_cast<double>(i) + share;
        }
        if (i == 0) {
            criticalOverload_ = 0;
        }
        offered += offerRate;
    }
    return priorityCount;
}

auto AdaptiveLevel::correctEstimates(const LevelInput& input, double elapsed) -> void
{
    if (position_ >= priorityCount) {
        correction_ += (1 - correction_) * std::min(elapsed / correctionMemorySeconds, 1.0);
        return;
    }
    // A change becomes measurable after about one service time, so errors are corrected more slowly for
    // slow services.
    const double serviceTime = std::max(toSeconds(input.serviceTime_), 1e-3);
    const double relaxEffectTime
        = filtered_ ? std::max(serviceTime, toSeconds(propagationTime)) : serviceTime;
    const auto step = [elapsed](double error, double effectTime) {
        return std::min(elapsed / effectTime, 1.0) * error
            * (error > largeErrorThreshold ? largeErrorGain : correctionGain);
    };
    const double dropped = input.droppedWork_ / (elapsed * input.limit_) - toleratedDropShare;
    const double idle = targetUtilization - input.inFlight_ / input.presentLimit_;
    if (dropped > 0) {
        if (input.presentLimit_ < input.limit_) {
            return;
        }
        correction_ *= 1 - step(std::min(dropped, 1.0), serviceTime);
    } else if (idle > 0) {
        correction_ *= 1 + step(idle, relaxEffectTime);
    }
    correction_ = std::clamp(correction_, minCorrection, maxCorrection);
}

auto AdaptiveLevel::criticalPosition(double share, double elapsed) -> double
{
    criticalOverload_ += elapsed;
    return criticalOverload_ < criticalOverloadSeconds ? 1.0 : std::max(share, minCriticalShare);
}

auto AdaptiveLevel::offeredWork() const -> double
{
    return std::accumulate(offers_.begin(), offers_.end(), 0.0, [](double sum, const Offer& offer) {
        return sum + offer.rate_;
    });
}

auto AdaptiveLevel::isOverloaded(const LevelInput& input) const -> bool
{
    const double queued = std::accumulate(input.queued_.begin(), input.queued_.end(), 0.0);
    return offeredWork() > input.limit_
        || queued > overloadQueueWait * input.limit_ * toSeconds(input.serviceTime_);
}

auto AdaptiveLevel::admittedWork(double position) const -> double
{
    double work = 0;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        work += offers_.at(i).rate_ * admittedShare(position, i);
    }
    return work;
}

auto AdaptiveLevel::setPosition(double position) -> void
{
    position_ = position;
    if (position >= priorityCount) {
        level_ = {};
        return;
    }
    const auto priority = static_cast<std::size_t>(position);
    level_ = { allPriorities.at(priority), keepBelowFor(position - static_cast<double>(priority)) };
}

} // namespace wagtailhead
