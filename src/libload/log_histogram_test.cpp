#include "log_histogram.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::load;

/// Guards against buckets that overlap or leave gaps: every value must come back with a small error.
Test(log_histogram, error_is_bounded_at_every_magnitude)
{
    for (std::int64_t micros = 1; micros < 4'000'000'000; micros = micros * 9 / 8 + 1) {
        LogHistogram histogram;
        histogram.add(microseconds(micros));
        histogram.add(seconds(5'000)); // So that the value is not the largest one, which is exact.
        const auto found = std::chrono::duration<double, std::micro>(histogram.percentile(0.5)).count();
        const auto value = static_cast<double>(micros);
        cr_assert_float_eq(found, value, value * 0.016 + 0.01, "%f for %f", found, value);
    }
}

/// Guards against percentiles that are off by one rank, or that miss the largest value.
Test(log_histogram, percentiles_of_known_values)
{
    LogHistogram histogram;
    cr_assert(histogram.percentile(0.99) == Duration::zero());
    for (int i = 1; i <= 50; ++i) {
        histogram.add(microseconds(i));
    }
    cr_assert(histogram.percentile(0.5) == microseconds(25));
    cr_assert(histogram.percentile(0.98) == microseconds(49));
    cr_assert(histogram.percentile(1.0) == microseconds(50));
    cr_assert(histogram.percentile(0.0) == microseconds(1));
    cr_assert_eq(histogram.count(), 50U);
}

/// Guards against a merge that loses counts or the largest value.
Test(log_histogram, merge_adds_up)
{
    LogHistogram left;
    LogHistogram right;
    left.add(milliseconds(1));
    right.add(milliseconds(9));
    right.add(milliseconds(9));
    left.merge(right);
    cr_assert_eq(left.count(), 3U);
    cr_assert(left.max() == milliseconds(9));
    cr_assert_float_eq(toMilliseconds(left.percentile(0.6)), 9, 0.15);
}
