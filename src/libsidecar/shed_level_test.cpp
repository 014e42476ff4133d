#include "route_origins.h"
#include "shed_level.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };

/// Lets `count` windows pass in which each arrival is refused with `refusedShare`.
auto run(LevelController& level, TimePoint& now, int count, double used, int refusedOfTen) -> void
{
    for (int i = 0; i < count; ++i) {
        for (int n = 0; n < 10; ++n) {
            level.onArrival();
            if (n < refusedOfTen) {
                level.onRefused();
            }
        }
        now += milliseconds(260);
        level.update(used, now);
    }
}

} // namespace

Test(shed_level, rises_while_requests_are_refused_and_falls_with_room)
{
    LevelController level;
    auto now = start;
    run(level, now, 4, 1.0, 5);
    const auto high = level.level();
    cr_assert(high > 0.5);
    run(level, now, 4, 0.3, 0);
    cr_assert(level.level() < high / 2);
    run(level, now, 40, 0.3, 0);
    cr_assert(level.level() == 0);
}

Test(shed_level, stays_while_the_slots_are_used_without_waiting)
{
    LevelController level;
    auto now = start;
    run(level, now, 3, 1.0, 5);
    const auto before = level.level();
    run(level, now, 10, 0.95, 0);
    cr_assert(level.level() == before);
}

Test(shed_level, refuses_the_least_important_ranks_first)
{
    cr_assert(refusedShare(0.4, 0) == 0.4);
    cr_assert(refusedShare(0.4, 1) == 0);
    cr_assert(refusedShare(1.5, 0) < 1, "a share passes, so that recovery is noticed");
    cr_assert(refusedShare(1.5, 1) == 0.5);
}

Test(route_origins, a_route_that_some_services_never_use_is_a_call)
{
    RouteOrigins origins;
    for (int i = 0; i < 30; ++i) {
        origins.count("browse", "shop");
        origins.count("browse", "stock");
        origins.count("batch", "shop");
    }
    origins.judge({ { "shop", 0.5 }, { "stock", 0.5 } });
    cr_assert(!origins.isCall("browse"));
    cr_assert(origins.isCall("batch"));
    cr_assert(!origins.isCall("unknown"));
}

Test(route_origins, few_requests_show_nothing)
{
    RouteOrigins origins;
    for (int i = 0; i < 10; ++i) {
        origins.count("batch", "shop");
    }
    origins.judge({ { "shop", 0.5 }, { "stock", 0.5 } });
    cr_assert(!origins.isCall("batch"));
}
