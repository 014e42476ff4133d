/// Time types used in every signature. Decision code takes the current time as an argument.
#pragma once

#include <chrono>

namespace wagtailhead {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using WallClock = std::chrono::system_clock;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Converts a duration to fractional milliseconds, for logs and reports.
inline auto toMilliseconds(Duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace wagtailhead
