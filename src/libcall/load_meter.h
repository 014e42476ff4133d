/// Measures the inputs of the shedding level. Internal to libcall.
#pragma once

#include "level_control.h"

namespace wagtailhead {

/// Collects the calls in flight over time and the calls dropped from the queue. Not thread safe.
class LoadMeter {
public:
    /// Reports the number of running calls from `now` on.
    auto onInFlight(int inFlight, TimePoint now) -> void;

    /// Reports a call that was admitted, but dropped from the queue.
    auto onDrop() -> void;

    /// Fills in `inFlight_` and `droppedWork_` for the time since the last call of this function, and
    /// `queued_` from the counts of the queue. Precondition: `input.serviceTime_` is set.
    auto read(LevelInput& input, const std::array<int, priorityCount>& queued, TimePoint now) -> void;

private:
    TimePoint periodStart_;
    TimePoint integratedUntil_;
    double inFlightSeconds_ = 0;
    int inFlight_ = 0;
    int dropped_ = 0;
};

} // namespace wagtailhead
