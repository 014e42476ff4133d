#include "byte_rate.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::standin;

/// Guards against connections that each get the whole rate, and against saved-up rate after a pause.
Test(byte_rate, reservations_share_the_rate_in_order)
{
    const TimePoint now { seconds(100) };
    ByteRate rate(1'000);
    cr_assert_eq(rate.reserve(500, now), now + milliseconds(500));
    cr_assert_eq(rate.reserve(500, now), now + milliseconds(1'000));
    const auto later = now + seconds(60);
    cr_assert_eq(rate.reserve(1'000, later), later + seconds(1));
}

/// Guards against a division by zero, and against a queue that outlives the removal of the limit.
Test(byte_rate, no_limit_passes_at_once)
{
    const TimePoint now { seconds(100) };
    ByteRate rate(10);
    rate.reserve(1'000, now);
    rate.setBytesPerSecond(0);
    cr_assert_eq(rate.reserve(1'000'000, now), now);
}
