#include "shed_level.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// What callers' nodes refuse after a step shows here within this time.
constexpr Duration window = milliseconds(250);
/// A mean wait above this shows more demand than slots.
constexpr Duration longWait = milliseconds(12);
/// Steps of one window, in ranks.
constexpr double leastRise = 0.03;
constexpr double risePerRefusedShare = 0.6;
constexpr double mostRise = 0.3;
constexpr double fallPerFreeShare = 0.4;
/// With this share of the slots in use the level stays.
constexpr double fullShare = 0.92;
/// Three ranks, all refused.
constexpr ShedLevel highestLevel = 3;
/// A small share of each rank always passes, so that recovery is noticed.
constexpr double mostRefused = 0.97;

} // namespace

auto LevelController::onStarted(Duration waited) -> void
{
    ++started_;
    waited_ += waited;
}

auto LevelController::update(double usedShare, TimePoint now) -> void
{
    usedSum_ += usedShare;
    ++usedCount_;
    if (now - windowStart_ < window) {
        return;
    }
    const double used = usedSum_ / usedCount_;
    const double refused = arrivals_ > 0 ? static_cast<double>(refused_) / arrivals_ : 0;
    const auto meanWait = started_ > 0 ? waited_ / started_ : Duration::zero();
    if (refused_ > 0 || meanWait > longWait) {
        level_ += std::min(leastRise + refused * risePerRefusedShare, mostRise);
    } else if (used < fullShare) {
        level_ -= fallPerFreeShare * (fullShare - used);
    }
    level_ = std::clamp(level_, 0.0, highestLevel);
    arrivals_ = refused_ = started_ = usedCount_ = 0;
    waited_ = {};
    usedSum_ = 0;
    windowStart_ = now;
}

auto refusedShare(ShedLevel level, int place) -> double
{
    return std::clamp(level - place, 0.0, mostRefused);
}

} // namespace wagtailhead
