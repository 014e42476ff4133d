#include "route_origins.h"
#include "shed_level.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };

/// Simulates `count` update intervals of 10 arrivals each, of which `refusedOfTen` are refused.
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

Test(shed_level, rises_while_requests_are_refused_and_falls_with_free_capacity)
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

Test(shed_level, is_stable_while_slots_are_used_and_the_queue_is_empty)
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
    cr_assert(level.level() == 0, "a short queue is tolerated");
    now += milliseconds(100);
    level.update(1.0, 1.0, now);
    cr_assert(level.level() > 0.1);
}

Test(shed_level, a_long_pause_does_not_cause_a_large_step)
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
    cr_assert(refusedShare(1.5, 0) < 1, "a share is admitted, so that recovery is detected");
    cr_assert(refusedShare(1.5, 1) == 0.5);
}

namespace {

/// Two VMs with backend servers of one service each send requests for some seconds.
struct RouteOriginsFixture {
    auto run(int updates, bool stockBrowses) -> void
    {
        for (int i = 0; i < updates; ++i) {
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
            origins_.classify(now_);
        }
    }

    RouteOrigins origins_;
    TimePoint now_ = start;
};

} // namespace

Test(route_origins, a_route_without_requests_from_some_service_is_internal)
{
    RouteOriginsFixture fixture;
    fixture.run(4, true);
    cr_assert(!fixture.origins_.isInternalRoute("browse"));
    cr_assert(fixture.origins_.isInternalRoute("batch"));
    cr_assert(!fixture.origins_.isInternalRoute("unknown"));
}

Test(route_origins, a_single_update_does_not_make_a_route_internal)
{
    RouteOriginsFixture fixture;
    fixture.run(10, true);
    fixture.run(1, false);
    cr_assert(!fixture.origins_.isInternalRoute("browse"));
}

Test(route_origins, vms_that_send_no_requests_are_ignored)
{
    RouteOriginsFixture fixture;
    for (int i = 0; i < 4; ++i) {
        for (int n = 0; n < 30; ++n) {
            fixture.origins_.count("browse", "shop", "n1", fixture.now_);
        }
        fixture.now_ += seconds(1);
        fixture.origins_.classify(fixture.now_);
    }
    cr_assert(!fixture.origins_.isInternalRoute("browse"), "nodes prefer gates of their zone");
}

Test(route_origins, few_requests_do_not_classify_a_route)
{
    RouteOrigins origins;
    for (int i = 0; i < 10; ++i) {
        origins.count("batch", "shop", "n1", start);
        origins.count("browse", "stock", "n2", start);
    }
    for (int i = 0; i < 4; ++i) {
        origins.classify(start);
    }
    cr_assert(!origins.isInternalRoute("batch"));
}
