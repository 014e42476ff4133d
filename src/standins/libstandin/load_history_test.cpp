#include "load_history.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::standin;

/// Guards against a lagging report that shows the present, or that has forgotten the past it needs.
Test(load_history, answers_with_the_load_at_a_past_time)
{
    const TimePoint base { seconds(100) };
    LoadHistory history;
    cr_assert(history.at(base) == Load {});
    for (int i = 0; i < 100; ++i) {
        history.record({ static_cast<std::size_t>(i), 0 }, base + seconds(i), seconds(5));
    }
    const auto now = base + seconds(99);
    cr_assert_eq(history.at(now).running_, 99U);
    cr_assert_eq(history.at(now - seconds(5)).running_, 94U);
    cr_assert_eq(history.at(now - milliseconds(4500)).running_, 94U);
    cr_assert_eq(history.at(base).running_, 94U);
}
