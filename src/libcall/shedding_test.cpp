#include "wagtailhead/shedding.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };
constexpr std::uint64_t half = std::uint64_t { 1 } << 63;

auto withoutProbes() -> LevelTableOptions
{
    LevelTableOptions options;
    options.probeShare_ = 0;
    return options;
}

auto refuses(LevelTable& table, Priority priority, std::uint64_t rootHash, TimePoint now) -> bool
{
    return table.check("orders", "/orders", priority, rootHash, now).verdict_ == LevelVerdict::Refuse;
}

} // namespace

/// Guards against refusals of the wrong roots, and of calls that do not reach the overloaded service.
Test(shedding, refuses_exactly_what_the_strictest_level_drops)
{
    LevelTable table(withoutProbes(), 1);
    table.learn("orders", "/orders", { Priority::Internal, half }, "stock", start);
    table.learn("orders", "/orders", { Priority::Interactive, half }, "catalogue", start);
    cr_assert(!refuses(table, Priority::Critical, UINT64_MAX, start));
    cr_assert(!refuses(table, Priority::Interactive, half, start));
    cr_assert(refuses(table, Priority::Interactive, half + 1, start));
    cr_assert(refuses(table, Priority::Internal, 0, start));
    const auto answer = table.check("orders", "/orders", Priority::Bulk, 0, start);
    cr_assert_eq(answer.service_, "catalogue");
    cr_assert_eq(table.check("orders", "/other", Priority::Bulk, 0, start).verdict_, LevelVerdict::Pass);
    cr_assert_eq(table.check("files", "/orders", Priority::Bulk, 0, start).verdict_, LevelVerdict::Pass);
}

/// Guards against refusals that continue after reports of a level have stopped.
Test(shedding, levels_expire)
{
    LevelTable table(withoutProbes(), 1);
    table.learn("orders", "/orders", { Priority::Critical, half }, "stock", start);
    cr_assert(refuses(table, Priority::Bulk, 0, start + milliseconds(1999)));
    cr_assert(!refuses(table, Priority::Bulk, 0, start + milliseconds(2000)));
    cr_assert_eq(table.size(), 0);
}

/// Guards against a level that changes with each reply of a different backend server, and against one
/// that stays strict while all replies report recovery.
Test(shedding, strictest_report_holds_for_a_short_time)
{
    LevelTable table(withoutProbes(), 1);
    table.learn("orders", "/orders", { Priority::Interactive, half }, "stock", start);
    table.learn("orders", "/orders", {}, "stock", start + milliseconds(1));
    cr_assert(refuses(table, Priority::Bulk, 0, start + milliseconds(1)));
    for (int at = 100; at <= 500; at += 50) {
        table.learn("orders", "/orders", {}, "stock", start + milliseconds(at));
    }
    cr_assert(!refuses(table, Priority::Bulk, UINT64_MAX, start + milliseconds(500)));
}

/// Guards against a node that refuses every call and therefore receives no reply that shows recovery.
Test(shedding, a_small_share_passes_as_probes)
{
    LevelTable table({}, 1);
    table.learn("orders", "/orders", { Priority::Critical, 0 }, "stock", start);
    int probes = 0;
    for (int i = 0; i < 10'000; ++i) {
        const auto verdict = table.check("orders", "/orders", Priority::Bulk, 1, start).verdict_;
        cr_assert_neq(verdict, LevelVerdict::Pass);
        probes += verdict == LevelVerdict::Probe ? 1 : 0;
    }
    cr_assert(probes > 100 && probes < 300, "%d", probes);
}

/// Guards against a table that grows with the names that callers send.
Test(shedding, table_is_bounded)
{
    auto options = withoutProbes();
    options.maxEntries_ = 2;
    LevelTable table(options, 1);
    for (const auto* group : { "/a", "/b", "/c" }) {
        table.learn("orders", group, { Priority::Critical, 0 }, "stock", start);
    }
    cr_assert_eq(table.size(), 2);
    table.learn("orders", "/c", { Priority::Critical, 0 }, "stock", start + seconds(3));
    cr_assert_eq(
        table.check("orders", "/c", Priority::Bulk, 1, start + seconds(3)).verdict_, LevelVerdict::Refuse);
}

/// Guards against a naive version that refuses calls.
Test(shedding, naive_version_passes_everything)
{
    auto options = withoutProbes();
    options.mechanism_ = Mechanism::Naive;
    LevelTable table(options, 1);
    table.learn("orders", "/orders", { Priority::Critical, 0 }, "stock", start);
    cr_assert(!refuses(table, Priority::Bulk, 1, start));
}
