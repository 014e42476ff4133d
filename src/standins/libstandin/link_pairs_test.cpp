#include "link_pairs.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::standin;

namespace {

auto exampleRoutes() -> LinkRoutes
{
    return valueOf(parseLinkRoutes("zone a1 a\nzone a2 a\nzone b1 b\nzone b2 b\n"
                                   "route 127.0.0.1:1 127.0.0.1:9 a1 a2\n"
                                   "route 127.0.0.1:2 127.0.0.1:9 a1 b1\n"
                                   "route 127.0.0.1:3 127.0.0.1:9 a2 b2\n"));
}

const LinkDefaults defaults { microseconds(500), microseconds(30'000), 3'750'000 };

} // namespace

/// Guards against a rate limit that each pair of zones has for itself, or that holds inside a region.
Test(link_pairs, regions_share_one_rate_for_each_direction)
{
    LinkPairs pairs(exampleRoutes(), defaults);
    cr_assert_eq(pairs.at("a1", "a2").delay_, microseconds(500));
    cr_assert_eq(pairs.at("a1", "b1").delay_, microseconds(30'000));
    cr_assert_eq(pairs.at("a1", "b1").region_, pairs.at("a2", "b2").region_);
    cr_assert_neq(pairs.at("a1", "b1").region_, pairs.at("b1", "a1").region_);
    cr_assert_eq(pairs.at("a1", "a2").region_->rate_.bytesPerSecond(), 0U);
    cr_assert_eq(pairs.at("a1", "b1").region_->rate_.bytesPerSecond(), 3'750'000U);
}

/// Guards against a cut that hits other pairs, or only one direction when both are asked for.
Test(link_pairs, changes_reach_exactly_the_named_pairs)
{
    LinkPairs pairs(exampleRoutes(), defaults);
    const auto one = valueOf(parsePairChange(R"({"from":"a1","to":"b1","cut":true})"));
    cr_assert_eq(pairs.matching(one).size(), 1U);
    auto both = one;
    both.both_ = true;
    cr_assert_eq(pairs.matching(both).size(), 2U);
    const auto zone = valueOf(parsePairChange(R"({"from":"a1","to":"*","both":true,"cut":true})"));
    cr_assert_eq(pairs.matching(zone).size(), 4U);
    for (auto* pair : pairs.matching(zone)) {
        applyChange(zone, *pair);
    }
    cr_assert(pairs.at("b1", "a1").cut_);
    cr_assert(!pairs.at("a2", "b2").cut_);
    cr_assert_eq(pairs.at("a1", "b1").delay_, microseconds(30'000), "the delay was not named");
    cr_assert(pairs.matching(valueOf(parsePairChange(R"({"from":"a1","to":"c"})"))).empty());
}

/// Guards against silence of existing connections that also hits new ones.
Test(link_pairs, silence_of_existing_connections_leaves_new_ones)
{
    const auto existing = valueOf(parsePairChange(R"({"from":"a1","to":"b1","silent":"existing"})"));
    cr_assert(existing.silenceExisting_ && !existing.silentNew_.value());
    const auto all = valueOf(parsePairChange(R"({"from":"a1","to":"b1","silent":"all"})"));
    cr_assert(all.silenceExisting_ && all.silentNew_.value());
    const auto none = valueOf(parsePairChange(R"({"from":"a1","to":"b1","silent":"none"})"));
    cr_assert(!none.silenceExisting_ && !none.silentNew_.value());
    const auto absent = valueOf(parsePairChange(R"({"from":"a1","to":"b1","delayUs":1})"));
    cr_assert(!absent.silenceExisting_ && !absent.silentNew_.has_value());
    cr_assert(!isOk(parsePairChange(R"({"from":"a1","cut":true})")));
    cr_assert(!isOk(parsePairChange(R"({"from":"a1","to":"b1","silent":"some"})")));
}
