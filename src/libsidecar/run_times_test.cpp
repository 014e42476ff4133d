/// Estimates of how long requests run.
#include "run_times.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

// Guards against estimates that a single slow response dominates, and against those that do not follow a
// service that has become slow.
Test(run_times, follow_what_most_requests_take)
{
    RunTimes times;
    cr_assert(times.usual("order") == Duration::zero(), "nothing is known");
    for (int i = 0; i < 100; ++i) {
        times.onResponse("order", milliseconds(i % 2 == 0 ? 90 : 110));
    }
    cr_expect(times.usual("order") > milliseconds(100) && times.usual("order") < milliseconds(130));
    times.onResponse("order", seconds(2));
    cr_expect(times.usual("order") < seconds(1), "one slow response");
    for (int i = 0; i < 40; ++i) {
        times.onResponse("order", seconds(2));
    }
    cr_expect(times.usual("order") > milliseconds(1900) && times.usual("order") < milliseconds(2300));
    cr_assert(times.usual("read") == Duration::zero(), "another route");
}

// Guards against memory that grows with the names of routes that have gone.
Test(run_times, are_bounded)
{
    RunTimes times;
    for (int i = 0; i < 5000; ++i) {
        times.onResponse("r" + std::to_string(i), milliseconds(5));
    }
    cr_assert(times.usual("r0") > Duration::zero() && times.usual("r4999") == Duration::zero());
}
