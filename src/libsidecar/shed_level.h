/// How much of the less important work a service has callers' nodes refuse.
#pragma once

#include "wagtailhead/clock.h"

namespace wagtailhead {

/// A level counts ranks from the least important one: 0.3 refuses 30% of the least important requests,
/// 1.5 all of them and half of the next rank.
using ShedLevel = double;

/// Lets the level of one backend server follow its load: it rises while requests wait or are refused, and
/// falls while there is room. Not thread safe.
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

    /// Moves the level by what has happened since the last update. `usedShare` is the mean share of the
    /// slots in use since then, `queuedShare` the number of waiting requests for each slot now.
    auto update(double usedShare, double queuedShare, TimePoint now) -> void;

    auto level() const -> ShedLevel
    {
        return level_;
    }

private:
    /// Returns by how much the demand is above (or below) what the slots can do.
    auto excess(double usedShare, double queuedShare) const -> double;

    ShedLevel level_ = 0;
    double lastExcess_ = 0;
    int arrivals_ = 0;
    int refused_ = 0;
    TimePoint lastUpdate_;
};

/// Returns the share of requests to refuse: `place` counts the ranks in use from the least important one.
auto refusedShare(ShedLevel level, int place) -> double;

} // namespace wagtailhead
