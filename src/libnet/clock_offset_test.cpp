#include "clock_offset.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

constexpr auto senderStart = microseconds(7000000);

auto at(Duration sinceStart) -> TimePoint
{
    return TimePoint(seconds(100000)) + sinceStart;
}

auto senderClock(Duration sinceStart) -> microseconds
{
    return senderStart + std::chrono::duration_cast<microseconds>(sinceStart);
}

} // namespace

/// Guards against work that waited in a socket buffer being taken for new: its age must show.
Test(clock_offset, delayed_frame_shows_its_age)
{
    ClockOffset offset;
    offset.observe(senderClock(seconds(0)), at(milliseconds(1)));
    const auto sentAt = offset.observe(senderClock(seconds(1)), at(seconds(9)));
    cr_assert(at(seconds(9)) - sentAt >= milliseconds(7999));
}

/// Guards against the frames of a long freeze becoming the new reference when they are read.
Test(clock_offset, frames_read_after_a_long_freeze_stay_old)
{
    ClockOffset offset;
    for (int second = 0; second < 70; ++second) {
        offset.observe(senderClock(seconds(second)), at(seconds(second)));
    }
    const auto resumed = at(seconds(400));
    for (int i = 0; i < 50; ++i) {
        const auto sentAt = offset.observe(senderClock(seconds(71) + milliseconds(i)), resumed);
        cr_assert(resumed - sentAt > seconds(300), "frame %d looks new", i);
    }
}

/// Guards against drift between two clocks adding up until all work looks expired.
Test(clock_offset, slow_drift_is_forgotten)
{
    ClockOffset offset;
    TimePoint sentAt;
    TimePoint now;
    for (int second = 0; second < 24 * 3600; ++second) {
        now = at(seconds(second));
        sentAt = offset.observe(senderClock(seconds(second) - microseconds(second * 50)), now);
    }
    cr_assert(now - sentAt < milliseconds(10));
}
