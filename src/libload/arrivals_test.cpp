#include "arrivals.h"

#include <criterion/criterion.h>
#include <vector>

using namespace wagtailhead;
using namespace wagtailhead::load;

namespace {

auto all(const Phases& phases, std::uint64_t seed) -> std::vector<Duration>
{
    Arrivals arrivals(phases, seed);
    std::vector<Duration> times;
    while (const auto next = arrivals.next()) {
        times.push_back(*next);
    }
    return times;
}

auto countIn(const std::vector<Duration>& times, Duration from, Duration to) -> double
{
    return static_cast<double>(std::count_if(times.begin(), times.end(), [&](Duration time) {
        return time >= from && time < to;
    }));
}

} // namespace

/// Guards against a rate that does not follow the phases, and against arrivals in a pause or after the end.
Test(arrivals, rate_follows_phases)
{
    const auto times = all(
        { { "before", seconds(40), 50 }, { "pause", seconds(10), 0 }, { "surge", seconds(40), 200 } }, 7);
    cr_assert(std::is_sorted(times.begin(), times.end()));
    // Five standard deviations of a Poisson count on either side.
    cr_assert_float_eq(countIn(times, seconds(0), seconds(40)), 2000, 224);
    cr_assert_eq(countIn(times, seconds(40), seconds(50)), 0);
    cr_assert_float_eq(countIn(times, seconds(50), seconds(90)), 8000, 448);
    cr_assert_lt(times.back().count(), Duration(seconds(90)).count());
}

/// Guards against regular arrivals, which would hide bursts: the gaps of a Poisson process have a standard
/// deviation equal to their mean.
Test(arrivals, gaps_are_exponential)
{
    const auto times = all({ { "steady", seconds(100), 100 } }, 3);
    double sum = 0;
    double squares = 0;
    for (std::size_t i = 1; i < times.size(); ++i) {
        const auto gap = toMilliseconds(times[i] - times[i - 1]);
        sum += gap;
        squares += gap * gap;
    }
    const auto count = static_cast<double>(times.size() - 1);
    const auto mean = sum / count;
    cr_assert_float_eq(mean, 10, 0.5);
    cr_assert_float_eq(squares / count - mean * mean, 100, 15);
}

/// Guards against runs that cannot be repeated.
Test(arrivals, equal_seeds_give_equal_times)
{
    const Phases phases { { "steady", seconds(5), 100 } };
    cr_assert(all(phases, 1) == all(phases, 1));
    cr_assert(all(phases, 1) != all(phases, 2));
}

/// Guards against phases whose starts are counted wrongly, which would shift faults and the surge.
Test(arrivals, starts_of_phases)
{
    const Phases phases { { "a", seconds(3), 1 }, { "b", seconds(4), 1 }, { "c", seconds(5), 1 } };
    cr_assert(startOf(phases, 0) == Duration::zero());
    cr_assert(startOf(phases, 2) == seconds(7));
    cr_assert(totalLength(phases) == seconds(12));
}
