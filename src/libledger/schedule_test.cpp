#include "schedule_world.h"

#include <atomic>
#include <criterion/criterion.h>
#include <cstdlib>
#include <mutex>
#include <thread>

using namespace wagtailhead;
using namespace wagtailhead::schedule;

namespace {

constexpr std::uint64_t schedulesInCi = 300;
constexpr unsigned mostThreads = 4;

auto setting(const char* name, std::uint64_t fallback) -> std::uint64_t
{
    const auto* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

struct Totals {
    Verdict sum_;
    int schedulesWithDuplicates_ = 0;
    std::vector<std::string> failures_;
};

/// Runs schedules first to first + count - 1 in a few threads.
auto runAll(std::uint64_t first, std::uint64_t count, bool naive) -> Totals
{
    Totals totals;
    std::mutex mutex;
    std::atomic<std::uint64_t> next { first };
    const auto work = [&] {
        for (auto seed = next++; seed < first + count; seed = next++) {
            const auto verdict = run({ seed, naive, false });
            const std::lock_guard lock(mutex);
            auto& sum = totals.sum_;
            sum.executions_ += verdict.executions_;
            sum.duplicates_ += verdict.duplicates_;
            sum.completed_ += verdict.completed_;
            sum.notRun_ += verdict.notRun_;
            sum.unknown_ += verdict.unknown_;
            sum.takeovers_ += verdict.takeovers_;
            sum.probes_ += verdict.probes_;
            sum.probesCompleted_ += verdict.probesCompleted_;
            sum.lostShards_ += verdict.lostShards_;
            totals.schedulesWithDuplicates_ += verdict.duplicates_ > 0 ? 1 : 0;
            for (const auto& violation : verdict.violations_) {
                totals.failures_.push_back("seed " + std::to_string(seed) + ": " + violation);
            }
        }
    };
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < std::min(mostThreads, std::thread::hardware_concurrency()); ++number) {
        threads.emplace_back(work);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    return totals;
}

auto report(const char* name, std::uint64_t count, const Totals& totals) -> void
{
    const auto& sum = totals.sum_;
    std::fprintf(stderr,
        "%s: schedules=%llu executions=%d duplicates=%d (in %d schedules) completed=%d not-run=%d unknown=%d "
        "takeovers=%d probes=%d/%d lost-shards=%d violations=%zu\n",
        name, static_cast<unsigned long long>(count), sum.executions_, sum.duplicates_,
        totals.schedulesWithDuplicates_, sum.completed_, sum.notRun_, sum.unknown_, sum.takeovers_,
        sum.probesCompleted_, sum.probes_, sum.lostShards_, totals.failures_.size());
    constexpr std::size_t mostPrinted = 50;
    for (std::size_t number = 0; number < std::min(totals.failures_.size(), mostPrinted); ++number) {
        std::fprintf(stderr, "  %s\n", totals.failures_[number].c_str());
    }
}

} // namespace

/// Guards the whole protocol: no schedule of faults may run a key twice, tell a false "not run", replay
/// anything but the whole first answer, answer a waiter twice or never, or let an epoch go back.
/// WAGTAILHEAD_SCHEDULES=<n> runs more schedules, from WAGTAILHEAD_FIRST_SEED on.
Test(schedule, protocol_holds)
{
    const auto count = setting("WAGTAILHEAD_SCHEDULES", schedulesInCi);
    const auto totals = runAll(setting("WAGTAILHEAD_FIRST_SEED", 1), count, false);
    report("protocol", count, totals);
    cr_assert(totals.failures_.empty());
}

/// Guards against a check that cannot fail: a hash owner without records has to run keys twice on some of
/// the same schedules.
Test(schedule, naive_owner_is_caught)
{
    const auto count = std::min(setting("WAGTAILHEAD_SCHEDULES", schedulesInCi), schedulesInCi);
    const auto totals = runAll(setting("WAGTAILHEAD_FIRST_SEED", 1), count, true);
    report("naive", count, { totals.sum_, totals.schedulesWithDuplicates_, {} });
    cr_assert_gt(totals.schedulesWithDuplicates_, 0);
}

/// Prints one schedule step by step: WAGTAILHEAD_TRACE_SEED=<seed>.
Test(schedule, trace_of_one_seed)
{
    if (const auto seed = setting("WAGTAILHEAD_TRACE_SEED", 0)) {
        cr_assert(run({ seed, false, true }).violations_.empty());
    }
}
