/// Load pattern: the backend servers of a deep service reject most requests although they are not busy. Each
/// request at the root makes several calls to that service and fails with the first call that fails, after
/// the work above is done.
#include "retry_budgets.h"

#include <criterion/criterion.h>
#include <random>

using namespace wagtailhead;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };
constexpr double rejectedShare = 0.55;
constexpr double budgetShare = 0.2;
constexpr int callsPerRequest = 4;
constexpr int requestsPerSecond = 1000;
constexpr int normalSeconds = 15;
constexpr int failingSeconds = 8;

/// What a site's node that sends all calls to the deep service has done.
struct SiteResult {
    int served_ = 0; ///< Requests that arrived while the deep service rejected.
    std::vector<int> calls_; ///< By second: first tries.
    std::vector<int> retries_; ///< By second.
};

/// The node before this change: one token at most, whatever its traffic.
class SingleTokenPolicy {
public:
    auto onFirstTry(TimePoint /*now*/) -> void
    {
        tokens_ = std::min(tokens_ + budgetShare / 2, 1.0);
    }
    auto take(TimePoint /*now*/) -> bool
    {
        const bool taken = tokens_ >= 1;
        tokens_ -= taken ? 1 : 0;
        return taken;
    }

private:
    double tokens_ = 1;
};

class BudgetPolicy {
public:
    BudgetPolicy()
        : directory_({ "n1", "a", "r", 1 })
        , budgets_({ .share_ = budgetShare, .burst_ = 0 }, directory_)
    {
    }

    auto onFirstTry(TimePoint now) -> void
    {
        budgets_.onFirstTry("deep", now);
    }
    auto take(TimePoint now) -> bool
    {
        return budgets_.take("deep", false, now) == RetryGrant::Granted;
    }

private:
    Directory directory_;
    RetryBudgets budgets_;
};

template <typename Policy> auto play(Policy policy) -> SiteResult
{
    std::mt19937_64 random(1);
    std::bernoulli_distribution rejects(rejectedShare);
    SiteResult result;
    for (int second = 0; second < normalSeconds + failingSeconds; ++second) {
        const bool failing = second >= normalSeconds;
        int calls = 0;
        int retries = 0;
        for (int i = 0; i < requestsPerSecond; ++i) {
            const auto now = start + seconds(second) + microseconds(1000000 * i / requestsPerSecond);
            bool served = true;
            for (int call = 0; call < callsPerRequest && served; ++call) {
                ++calls;
                policy.onFirstTry(now);
                served = !(failing && rejects(random));
                if (!served && policy.take(now)) {
                    ++retries;
                    served = !rejects(random);
                }
            }
            result.served_ += failing && served ? 1 : 0;
        }
        result.calls_.push_back(calls);
        result.retries_.push_back(retries);
    }
    return result;
}

auto sumFrom(const std::vector<int>& values, int first, int count) -> int
{
    int sum = 0;
    for (int i = std::max(first, 0); i < first + count && i < static_cast<int>(values.size()); ++i) {
        sum += values[static_cast<std::size_t>(i)];
    }
    return sum;
}

} // namespace

// A node that kept one token at most used less than half of the site's budget while failures came together.
Test(rejecting_service, what_the_seconds_before_have_earned_serves_more_requests)
{
    const auto single = play(SingleTokenPolicy {});
    const auto kept = play(BudgetPolicy {});
    cr_assert(kept.served_ > 1.5 * single.served_, "%d served, %d with single tokens", kept.served_,
        single.served_);
}

// The site's rule: in no window more retries than the share of the first tries of the window or of the one
// before.
Test(rejecting_service, the_budget_of_each_window_holds)
{
    constexpr int window = 10;
    const auto result = play(BudgetPolicy {});
    for (int first = 0; first < normalSeconds + failingSeconds; ++first) {
        const int most
            = std::max(sumFrom(result.calls_, first, window), sumFrom(result.calls_, first - window, window));
        cr_expect(
            sumFrom(result.retries_, first, window) <= budgetShare * most, "window from second %d", first);
    }
}

// A retry of a request that has run makes all its calls again, and fails like the first one while its service
// fails.
Test(rejecting_service, requests_that_ran_are_not_retried_while_their_service_fails)
{
    Directory directory({ "n1", "a", "r", 1 });
    NodeEntry entry;
    entry.node_ = "n2";
    entry.service_ = "shop";
    entry.capacity_ = 10;
    entry.phase_ = BackendPhase::Ready;
    entry.generation_ = 1;
    directory.apply(entry);
    RetryBudgets budgets({ .share_ = budgetShare, .burst_ = 100 }, directory);
    GateLoad load;
    load.limit_ = 10;
    load.calls_ = CallsMade::Some;
    load.failedShare_ = 0.9;
    directory.onLoad("n2", load, start);
    cr_assert(budgets.take("shop", true, start) == RetryGrant::Failing);
    cr_assert(
        budgets.take("shop", false, start) == RetryGrant::Granted, "a rejection costs no further calls");
    load.failedShare_ = 0.1;
    directory.onLoad("n2", load, start);
    cr_assert(budgets.take("shop", true, start) == RetryGrant::Granted);
}

Test(rejecting_service, more_of_the_budget_is_used_while_no_run_is_retried)
{
    Directory directory({ "n1", "a", "r", 1 });
    RetryBudgets budgets({ .share_ = budgetShare, .burst_ = 0 }, directory);
    const auto earnedBy = [&](TimePoint now) {
        for (int i = 0; i < 1000; ++i) {
            budgets.onFirstTry("deep", now);
        }
        int taken = 0;
        while (budgets.take("deep", false, now) == RetryGrant::Granted) {
            ++taken;
        }
        return taken;
    };
    const int before = earnedBy(start);
    budgets.setBackendFails(true);
    const int during = earnedBy(start + seconds(20));
    budgets.setBackendFails(false);
    cr_assert(during > before && 2 * during <= budgetShare * 1000);
    cr_assert(earnedBy(start + seconds(40)) <= before + 1);
}
