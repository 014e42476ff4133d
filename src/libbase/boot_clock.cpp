#include "wagtailhead/boot_clock.h"

#include <ctime>

namespace wagtailhead {

auto bootNow() -> TimePoint
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace wagtailhead
