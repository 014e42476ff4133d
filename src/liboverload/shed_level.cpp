#include "shed_level.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// How the level follows the excess demand.
struct Gains {
    double integral_; ///< Change of the level in ranks per second for each unit of excess demand.
    double proportional_; ///< Share of a change of the excess that is added to the level immediately.
    /// Excess demand that one rank of a rise within the response delay is taken to remove.
    double pending_;
};
constexpr Gains promptGains { 1.0, 0.1, 0 };
/// A slower rise with a larger first step. With the prompt gains a lasting excess of a half made the level
/// swing between 0 and 1.5 every 3 s, as its effect comes a second late.
constexpr Gains delayedGains { 0.3, 0.3, 1.5 };
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

auto LevelController::recentRise(TimePoint now) -> double
{
    if (responseDelay_ == Duration::zero()) {
        return 0;
    }
    while (history_.size() > 1 && now - history_[1].first >= responseDelay_) {
        history_.pop_front();
    }
    // A level that falls too far rises again soon; one that falls too late refuses requests for nothing.
    return history_.empty() ? 0 : std::max(level_ - history_.front().second, 0.0);
}

auto LevelController::update(double usedShare, double queuedShare, TimePoint now) -> void
{
    const std::chrono::duration<double> passed = std::min<Duration>(now - lastUpdate_, maxStep);
    lastUpdate_ = now;
    const auto& gains = responseDelay_ > Duration::zero() ? delayedGains : promptGains;
    const double current = excess(usedShare, queuedShare) - gains.pending_ * recentRise(now);
    level_ += gains.integral_ * current * passed.count() + gains.proportional_ * (current - lastExcess_);
    level_ = std::clamp(level_, 0.0, maxLevel);
    lastExcess_ = current;
    arrivals_ = refused_ = 0;
    if (responseDelay_ > Duration::zero()) {
        history_.emplace_back(now, level_);
    }
}

auto refusedShare(ShedLevel level, int ranksBelow) -> double
{
    return std::clamp(level - ranksBelow, 0.0, maxRefusedShare);
}

} // namespace wagtailhead
