#include "shed_level.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Integral integralGain: change of the level in ranks per second for each unit of excess demand.
constexpr double integralGain = 1.0;
/// Proportional integralGain: share of a change of the excess that is added to the level immediately.
constexpr double proportionalGain = 0.1;
/// Queued requests per slot that do not count as excess, since arrivals are uneven.
constexpr double toleratedQueue = 0.25;
/// Weight of the refused share of the arrivals, relative to queued requests per slot.
constexpr double refusedWeight = 2;
constexpr double maxExcess = 1.2;
/// Weight of the free share of the slots, relative to queued requests per slot.
constexpr double freeWeight = 3;
/// The level falls only while a smaller share of the slots than this is in use.
constexpr double fullLoadShare = 0.92;
/// Limits the step after the process was paused.
constexpr Duration maxStep = milliseconds(250);
/// All requests of three ranks are refused.
constexpr ShedLevel maxLevel = 3;
/// A small share of each rank is always admitted, so that recovery is detected.
constexpr double maxRefusedShare = 0.97;

} // namespace

auto LevelController::excess(double usedShare, double queuedShare) const -> double
{
    const double refused = arrivals_ > 0 ? static_cast<double>(refused_) / arrivals_ : 0;
    const double waiting = std::max(queuedShare - toleratedQueue, 0.0) + refused * refusedWeight;
    return waiting > 0 ? std::min(waiting, maxExcess) : freeWeight * std::min(usedShare - fullLoadShare, 0.0);
}

auto LevelController::update(double usedShare, double queuedShare, TimePoint now) -> void
{
    const std::chrono::duration<double> passed = std::min<Duration>(now - lastUpdate_, maxStep);
    lastUpdate_ = now;
    const double current = excess(usedShare, queuedShare);
    level_ += integralGain * current * passed.count() + proportionalGain * (current - lastExcess_);
    level_ = std::clamp(level_, 0.0, maxLevel);
    lastExcess_ = current;
    arrivals_ = refused_ = 0;
}

auto refusedShare(ShedLevel level, int ranksBelow) -> double
{
    return std::clamp(level - ranksBelow, 0.0, maxRefusedShare);
}

} // namespace wagtailhead
