#include "load_meter.h"

#include <algorithm>

namespace wagtailhead {

auto LoadMeter::onInFlight(int inFlight, TimePoint now) -> void
{
    inFlightSeconds_
        += inFlight_ * std::max(std::chrono::duration<double>(now - integratedUntil_).count(), 0.0);
    integratedUntil_ = now;
    inFlight_ = inFlight;
}

auto LoadMeter::onDrop() -> void
{
    ++dropped_;
}

auto LoadMeter::read(LevelInput& input, const std::array<int, priorityCount>& queued, TimePoint now) -> void
{
    const double serviceTime = std::chrono::duration<double>(input.serviceTime_).count();
    for (std::size_t i = 0; i < priorityCount; ++i) {
        input.queued_.at(i) = queued.at(i) * serviceTime;
    }
    onInFlight(inFlight_, now);
    const double length = std::chrono::duration<double>(now - periodStart_).count();
    input.inFlight_ = length > 0 ? inFlightSeconds_ / length : inFlight_;
    input.droppedWork_ = dropped_ * serviceTime;
    periodStart_ = now;
    inFlightSeconds_ = 0;
    dropped_ = 0;
}

} // namespace wagtailhead
