#include "adaptive_level.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>

namespace wagtailhead {

namespace {

constexpr Duration updateInterval = milliseconds(50);

/// Completions at full capacity over which the offered work is averaged, and bounds of that time. Fewer
/// would let the level follow chance arrivals of slow services.
constexpr double averagedCalls = 30;
constexpr double minMemorySeconds = 0.3;
constexpr double maxMemorySeconds = 5;

/// Time constant with which the estimate of a closed priority fades.
constexpr double closedMemorySeconds = 5;

/// Open share from which the admitted arrivals tell the work of a whole priority.
constexpr double measurableShare = 0.02;

/// Share of the estimate from admitted arrivals from which the arrivals seen count as all arrivals. They
/// are counted exactly, while that estimate is noisy when few roots are admitted.
constexpr double unfilteredShare = 0.6;

/// The queue that is aimed at while shedding, and the one that starts shedding by itself, in mean service
/// times of waiting.
constexpr double aimedWait = 0.75;
constexpr double longWait = 1.5;

/// Least time in which a deviation of the queue is corrected, and the same in service times.
constexpr double minCorrectionSeconds = 0.4;
constexpr double correctionServiceTimes = 2;

/// The queue never takes more than this share of capacity away.
constexpr double maxQueueing = 0.5;

/// Use of the slots from which shedding may start, and below which calls are missing while shedding.
constexpr double usedShare = 0.9;
constexpr double fullUse = 0.99;

/// Share of capacity that may be dropped from the queue. Random arrivals leave slots idle unless a little
/// more is admitted than fits.
constexpr double tolerableDrops = 0.02;

/// Share of an observed error by which the estimates are corrected in one update, and the bounds of the
/// correction. Large errors follow from a change of load or speed, small ones mostly from chance.
constexpr double correctionGain = 0.3;
constexpr double largeError = 0.3;
constexpr double largeErrorGain = 0.5;
constexpr double leastCorrection = 0.5;
constexpr double greatestCorrection = 4;

/// Time constant with which the correction fades when nothing is shed any more. The estimates it corrects
/// are still wrong for a while.
constexpr double correctionMemorySeconds = 0.5;

/// Greatest loosening in priorities per second: all is open again 1 s after a total closure. While callers'
/// nodes refuse on their own, the effect of a step is known later, and steps are smaller.
constexpr double loosenPerSecond = 4;
constexpr double filteredLoosenPerSecond = 2;

/// Time until a looser level has spread: the table of levels holds the strictest report of up to 200 ms.
constexpr Duration spreadTime = milliseconds(150);

/// Share of the dropped work that is refused here, below which callers' nodes count as filtering, and
/// the memory of both.
constexpr double filteredShare = 0.5;
constexpr double filterMemorySeconds = 0.5;

/// Changes of the admitted work below this share of capacity are not worth a new level, which some hops
/// would know earlier than others.
constexpr double deadBand = 0.02;

/// Critical calls alone must exceed capacity for this time before they are shed.
constexpr double criticalPatienceSeconds = 0.5;
constexpr double minCriticalShare = 0.05;

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the open share of the roots of a priority at a position.
auto openShare(double position, std::size_t priority) -> double
{
    return std::clamp(position - static_cast<double>(priority), 0.0, 1.0);
}

/// Returns the keepBelow_ value for a share of the root hashes.
auto hashBelow(double share) -> std::uint64_t
{
    constexpr double hashes = 18446744073709551616.0;
    return share >= 1 ? UINT64_MAX : static_cast<std::uint64_t>(share * hashes);
}

} // namespace

auto AdaptiveLevel::Offer::scale(double factor) -> void
{
    seenWork_ *= factor;
    openWork_ *= factor;
    rate_ *= factor;
}

auto AdaptiveLevel::Offer::update(double openShare, double elapsed, double memory) -> void
{
    const double fade = std::exp(-elapsed / memory);
    seenWork_ = seenWork_ * fade + passed_ + refused_;
    seenTime_ = seenTime_ * fade + elapsed;
    const double seen = seenWork_ / seenTime_;
    if (openShare >= measurableShare) {
        openWork_ = openWork_ * fade + passed_;
        openTime_ = openTime_ * fade + openShare * elapsed;
        const double open = openWork_ / openTime_;
        rate_ = seen >= unfilteredShare * open ? seen : open;
    } else {
        openWork_ *= fade;
        openTime_ *= fade;
        rate_ = std::max(seen, rate_ * std::exp(-elapsed / closedMemorySeconds));
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
    observeFilter(input, elapsed);
    const double applied = appliedPosition();
    const double before = serviceTime_;
    serviceTime_ = toSeconds(input.serviceTime_);
    for (std::size_t i = 0; i < priorityCount; ++i) {
        offers_.at(i).scale(before > 0 ? serviceTime_ / before : 1);
        offers_.at(i).update(openShare(applied, i), elapsed, memory);
    }
    correctEstimates(input, elapsed);
    const auto oldLevel = level_;
    const double fitting = fittingPosition(input, elapsed);
    const double pace = filtered_ ? filteredLoosenPerSecond : loosenPerSecond;
    const double change = std::abs(admittedWork(fitting) - admittedWork(position_));
    if (fitting >= priorityCount || change >= deadBand * input.limit_) {
        setPosition(std::min(fitting, position_ + pace * elapsed));
    }
    rememberPosition(now);
    if (getenv("DBG"))
        printf("DBG pos %.3f fit %.3f corr %.3f used %.1f drop %.2f queued %.2f offers %.1f %.1f %.1f %.1f "
               "adm %.1f st %.1f\n",
            position_, fitting, correction_, input.inFlight_, input.droppedWork_ / (elapsed * input.limit_),
            (input.queued_[0] + input.queued_[1] + input.queued_[2] + input.queued_[3]) / input.limit_
                / toSeconds(input.serviceTime_),
            offers_[0].rate_, offers_[1].rate_, offers_[2].rate_, offers_[3].rate_, admittedWork(position_),
            1000 * toSeconds(input.serviceTime_));
    return isStricter(level_, oldLevel);
}

auto AdaptiveLevel::rememberPosition(TimePoint now) -> void
{
    positions_.emplace_back(now, position_);
    while (now - positions_.front().first > spreadTime) {
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

auto AdaptiveLevel::observeFilter(const LevelInput& input, double elapsed) -> void
{
    // When slots are idle, calls are missing because the load has fallen.
    if (input.inFlight_ < usedShare * input.presentLimit_) {
        return;
    }
    const double fade = std::exp(-elapsed / filterMemorySeconds);
    refusedHere_ *= fade;
    droppedByLevel_ = droppedByLevel_ * fade + (offeredWork() - admittedWork(position_)) * elapsed;
    for (const auto& offer : offers_) {
        refusedHere_ += offer.refused_;
    }
    filtered_ = refusedHere_ < filteredShare * droppedByLevel_;
}

auto AdaptiveLevel::fittingPosition(const LevelInput& input, double elapsed) -> double
{
    if (position_ >= priorityCount && !isOverloaded(input)) {
        criticalOverload_ = 0;
        return priorityCount;
    }
    const double serviceTime = toSeconds(input.serviceTime_);
    const double aimedQueue = aimedWait * input.limit_ * serviceTime;
    const double correctionTime = std::max(minCorrectionSeconds, correctionServiceTimes * serviceTime);
    double queued = 0;
    double offered = 0;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        // Less important calls do not delay more important ones, so only the queue before them counts.
        queued += input.queued_.at(i);
        const double queueing = (aimedQueue - queued) / correctionTime;
        // The factor must not shed critical calls for what happened to others.
        const double factor = i == 0 ? std::max(correction_, 1.0) : correction_;
        const double capacity = factor * input.limit_ + std::max(queueing, -maxQueueing * input.limit_);
        const double own = offers_.at(i).rate_;
        if (offered + own > capacity) {
            const double share = std::clamp((capacity - offered) / own, 0.0, 1.0);
            return i == 0 ? criticalPosition(share, elapsed) : static_cast<double>(i) + share;
        }
        if (i == 0) {
            criticalOverload_ = 0;
        }
        offered += own;
    }
    return priorityCount;
}

auto AdaptiveLevel::correctEstimates(const LevelInput& input, double elapsed) -> void
{
    if (position_ >= priorityCount) {
        correction_ += (1 - correction_) * std::min(elapsed / correctionMemorySeconds, 1.0);
        return;
    }
    // A change needs about a service time to show, so errors of slow services are corrected more slowly.
    const double serviceTime = std::max(toSeconds(input.serviceTime_), 1e-3);
    const double looserAfter = filtered_ ? std::max(serviceTime, toSeconds(spreadTime)) : serviceTime;
    const auto step = [elapsed](double error, double after) {
        return std::min(elapsed / after, 1.0) * error
            * (error > largeError ? largeErrorGain : correctionGain);
    };
    const double dropped = input.droppedWork_ / (elapsed * input.limit_) - tolerableDrops;
    const double idle = fullUse - input.inFlight_ / input.presentLimit_;
    if (dropped > 0) {
        if (input.presentLimit_ < input.limit_) {
            return;
        }
        correction_ *= 1 - step(std::min(dropped, 1.0), serviceTime);
    } else if (idle > 0) {
        correction_ *= 1 + step(idle, looserAfter);
    }
    correction_ = std::clamp(correction_, leastCorrection, greatestCorrection);
}

auto AdaptiveLevel::criticalPosition(double share, double elapsed) -> double
{
    criticalOverload_ += elapsed;
    return criticalOverload_ < criticalPatienceSeconds ? 1.0 : std::max(share, minCriticalShare);
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
    return offeredWork() > input.limit_ || queued > longWait * input.limit_ * toSeconds(input.serviceTime_);
}

auto AdaptiveLevel::admittedWork(double position) const -> double
{
    double work = 0;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        work += offers_.at(i).rate_ * openShare(position, i);
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
    level_ = { allPriorities.at(priority), hashBelow(position - static_cast<double>(priority)) };
}

} // namespace wagtailhead
