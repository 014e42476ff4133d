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
    auto onStarted(Duration waited) -> void;

    /// Ends a window of observation if it is long enough. `usedShare` is the share of the slots in use.
    auto update(double usedShare, TimePoint now) -> void;

    auto level() const -> ShedLevel
    {
        return level_;
    }

private:
    ShedLevel level_ = 0;
    int arrivals_ = 0;
    int refused_ = 0;
    int started_ = 0;
    Duration waited_ {};
    double usedSum_ = 0;
    int usedCount_ = 0;
    TimePoint windowStart_;
};

/// Returns the share of requests to refuse: `place` counts the ranks in use from the least important one.
auto refusedShare(ShedLevel level, int place) -> double;

} // namespace wagtailhead
