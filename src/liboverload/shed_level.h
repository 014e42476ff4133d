/// Shedding level: which share of the less important requests the callers' nodes refuse for a service.
#pragma once

#include "wagtailhead/clock.h"

#include <deque>

namespace wagtailhead {

/// The number of ranks to refuse, counted from the least important one: 0.3 refuses 30% of the requests of
/// the least important rank, 1.5 refuses all of them and half of the next rank.
using ShedLevel = double;

/// Adjusts the shedding level of one backend server to its load: the level rises while requests are queued or
/// refused, and falls while capacity is free. Not thread safe.
class LevelController {
public:
    auto onArrival() -> void
    {
        ++arrivals_;
    }
    auto onRefused() -> void
    {
        ++refused_;
    }

    /// Sets how long requests that were admitted before a rise of the level go on arriving. What the level
    /// has risen in this time counts as effective already, so that it does not overshoot. Zero is for a level
    /// that takes effect at once.
    auto setResponseDelay(Duration delay) -> void
    {
        if (delay != responseDelay_) {
            responseDelay_ = delay;
            history_.clear();
        }
    }

    /// Adjusts the level to the load since the last update. `usedShare` is the mean share of the slots in use
    /// since then, `queuedShare` the current number of queued requests per slot.
    auto update(double usedShare, double queuedShare, TimePoint now) -> void;

    auto level() const -> ShedLevel
    {
        return level_;
    }

private:
    /// Returns by how much the demand exceeds the capacity of the slots; negative if capacity is free.
    auto excess(double usedShare, double queuedShare) const -> double;

    /// Returns by how much the level has risen within the response delay.
    auto recentRise(TimePoint now) -> double;

    ShedLevel level_ = 0;
    Duration responseDelay_ {};
    std::deque<std::pair<TimePoint, ShedLevel>>
        history_; ///< Levels within the response delay, the oldest in front.
    double lastExcess_ = 0;
    int arrivals_ = 0;
    int refused_ = 0;
    TimePoint lastUpdate_;
};

/// Returns the share of the requests of a rank to refuse. `ranksBelow` is the number of less important ranks
/// in use.
auto refusedShare(ShedLevel level, int ranksBelow) -> double;

} // namespace wagtailhead
