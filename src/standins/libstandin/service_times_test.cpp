#include "service_times.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <vector>

using namespace wagtailhead;
using namespace wagtailhead::standin;

namespace {

const TimePoint start { seconds(100) };

auto draw(ServiceTimes& times, int count) -> std::vector<Duration>
{
    std::vector<Duration> drawn;
    drawn.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        drawn.push_back(times.next(start, 1.0));
    }
    return drawn;
}

} // namespace

/// Guards against runs that cannot be repeated, and against the mean being taken for the median.
Test(service_times, same_seed_gives_same_times_around_the_median)
{
    ServiceTimes first({ milliseconds(10), 0.5, Duration::zero(), 1.0, 7 }, start);
    ServiceTimes second({ milliseconds(10), 0.5, Duration::zero(), 1.0, 7 }, start);
    auto drawn = draw(first, 2001);
    cr_assert(drawn == draw(second, 2001));
    std::sort(drawn.begin(), drawn.end());
    cr_assert(std::abs(toMilliseconds(drawn[1000]) - 10.0) < 0.7);
    cr_assert_gt(toMilliseconds(drawn[1900]), 17.0);
}

/// Guards against a cold start that never ends, or that is not felt.
Test(service_times, cold_start_decays_to_the_usual_time)
{
    ServiceTimes times({ milliseconds(10), 0.0, seconds(10), 5.0, 1 }, start);
    cr_assert_eq(times.next(start, 1.0), milliseconds(50));
    cr_assert_eq(times.next(start + seconds(5), 1.0), milliseconds(30));
    cr_assert_eq(times.next(start + seconds(10), 1.0), milliseconds(10));
    cr_assert_eq(times.next(start + seconds(60), 3.0), milliseconds(30));
}
