/// Finds out how long an overload outlasts its cause.
#pragma once

#include "series.h"

#include <optional>
#include <vector>

namespace wagtailhead::load {

struct RecoveryOptions {
    /// The mesh settles during this first part of the load, which does not count as the level before.
    Duration settling_ = seconds(3);
    /// A window is at the level before if its share of good requests is at most this much lower than that of
    /// all windows before the surge together ...
    double shareTolerance_ = 0.05;
    /// ... and its p99 is at most this factor above the median p99 before, or not above the worst one.
    double latencyTolerance_ = 1.5;
};

/// The level before a surge.
struct LevelBefore {
    double goodShare_ = 1.0;
    Duration medianP99_ = Duration::zero();
    Duration worstP99_ = Duration::zero();
    std::size_t windows_ = 0;
};

struct Recovery {
    LevelBefore before_;
    /// From the end of the surge to the end of the last window that is not at the level before; zero if all
    /// are. Empty if there is no level before, or if the last window of the load is not back at it.
    std::optional<Duration> time_;
};

/// Judges the windows of a whole load. `surgeBegin` and `surgeEnd` count from the begin of the load, as the
/// windows do. A window without arrivals is at the level before.
auto findRecovery(const std::vector<Window>& windows, Duration surgeBegin, Duration surgeEnd,
    const RecoveryOptions& options = {}) -> Recovery;

} // namespace wagtailhead::load
