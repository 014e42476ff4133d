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
        now += milliseconds(100);
        level.update(used, 0, now);
    }
}

} // namespace

Test(shed_level, rises_while_requests_are_refused_and_falls_with_room)
{
    LevelController level;
    auto now = start;
    run(level, now, 10, 1.0, 5);
    const auto high = level.level();
    cr_assert(high > 0.5);
    run(level, now, 10, 0.3, 0);
    cr_assert(level.level() < high / 2);
    run(level, now, 40, 0.3, 0);
    cr_assert(level.level() == 0);
}

Test(shed_level, stays_while_the_slots_are_used_without_waiting)
{
    LevelController level;
    auto now = start;
    run(level, now, 3, 1.0, 5);
    run(level, now, 1, 0.95, 0);
    const auto before = level.level();
    run(level, now, 10, 0.95, 0);
    cr_assert(level.level() == before);
}

Test(shed_level, rises_with_the_queue_before_requests_are_refused)
{
    LevelController level;
    auto now = start;
    for (int i = 0; i < 5; ++i) {
        now += milliseconds(100);
        level.update(1.0, 0.05, now);
    }
    cr_assert(level.level() == 0, "a short queue is usual");
    now += milliseconds(100);
    level.update(1.0, 1.0, now);
    cr_assert(level.level() > 0.1);
}

Test(shed_level, a_long_pause_is_no_long_step)
{
    LevelController level;
    level.update(1.0, 1.0, start);
    level.update(1.0, 1.0, start + seconds(20));
    cr_assert(level.level() < 1);
}

Test(shed_level, refuses_the_least_important_ranks_first)
{
    cr_assert(refusedShare(0.4, 0) == 0.4);
    cr_assert(refusedShare(0.4, 1) == 0);
    cr_assert(refusedShare(1.5, 0) < 1, "a share passes, so that recovery is noticed");
    cr_assert(refusedShare(1.5, 1) == 0.5);
}

namespace {

/// Two VMs with backend servers of one service each send requests for some seconds.
struct OriginsWorld {
    auto run(int judgements, bool stockBrowses) -> void
    {
        for (int i = 0; i < judgements; ++i) {
            for (int n = 0; n < 30; ++n) {
                origins_.count("browse", "shop", "n1", now_);
                if (stockBrowses) {
                    origins_.count("browse", "stock", "n2", now_);
                } else {
                    origins_.count("other", "stock", "n2", now_);
                }
                origins_.count("batch", "shop", "n1", now_);
            }
            now_ += seconds(1);
            origins_.judge(now_);
        }
    }

    RouteOrigins origins_;
    TimePoint now_ = start;
};

} // namespace

Test(route_origins, a_route_that_some_services_never_use_is_a_call)
{
    OriginsWorld world;
    world.run(4, true);
    cr_assert(!world.origins_.isCall("browse"));
    cr_assert(world.origins_.isCall("batch"));
    cr_assert(!world.origins_.isCall("unknown"));
}

Test(route_origins, one_judgement_makes_no_call)
{
    OriginsWorld world;
    world.run(10, true);
    world.run(1, false);
    cr_assert(!world.origins_.isCall("browse"));
}

Test(route_origins, vms_that_send_nothing_do_not_count)
{
    OriginsWorld world;
    for (int i = 0; i < 4; ++i) {
        for (int n = 0; n < 30; ++n) {
            world.origins_.count("browse", "shop", "n1", world.now_);
        }
        world.now_ += seconds(1);
        world.origins_.judge(world.now_);
    }
    cr_assert(!world.origins_.isCall("browse"), "nodes prefer gates of their zone");
}

Test(route_origins, few_requests_show_nothing)
{
    RouteOrigins origins;
    for (int i = 0; i < 10; ++i) {
        origins.count("batch", "shop", "n1", start);
        origins.count("browse", "stock", "n2", start);
    }
    for (int i = 0; i < 4; ++i) {
        origins.judge(start);
    }
    cr_assert(!origins.isCall("batch"));
}
