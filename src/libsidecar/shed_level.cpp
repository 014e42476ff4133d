#include "shed_level.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Steps of a second for each unit of excess demand, in ranks.
constexpr double gain = 1.0;
/// The share of a change of the excess that the level follows at once.
constexpr double lead = 0.1;
/// Waiting requests for each slot that are no excess: arrivals are uneven.
constexpr double usualQueue = 0.25;
/// What a refused share of the arrivals counts against queued requests for each slot.
constexpr double refusedWeight = 2;
constexpr double mostExcess = 1.2;
/// What a free share of the slots counts against queued requests for each slot.
constexpr double freeWeight = 3;
/// With this share of the slots in use the level stays.
constexpr double fullShare = 0.92;
/// A process that was held up does not make up for it in one step.
constexpr Duration longestStep = milliseconds(250);
/// Three ranks, all refused.
constexpr ShedLevel highestLevel = 3;
/// A small share of each rank always passes, so that recovery is noticed.
constexpr double mostRefused = 0.97;

} // namespace

auto LevelController::excess(double usedShare, double queuedShare) const -> double
{
    const double refused = arrivals_ > 0 ? static_cast<double>(refused_) / arrivals_ : 0;
    const double waiting = std::max(queuedShare - usualQueue, 0.0) + refused * refusedWeight;
    return waiting > 0 ? std::min(waiting, mostExcess) : freeWeight * std::min(usedShare - fullShare, 0.0);
}

auto LevelController::update(double usedShare, double queuedShare, TimePoint now) -> void
{
    const std::chrono::duration<double> passed = std::min<Duration>(now - lastUpdate_, longestStep);
    lastUpdate_ = now;
    const double current = excess(usedShare, queuedShare);
    level_ += gain * current * passed.count() + lead * (current - lastExcess_);
    level_ = std::clamp(level_, 0.0, highestLevel);
    lastExcess_ = current;
    arrivals_ = refused_ = 0;
}

auto refusedShare(ShedLevel level, int place) -> double
{
    return std::clamp(level - place, 0.0, mostRefused);
}

} // namespace wagtailhead
