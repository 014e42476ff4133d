#include "wagtailhead/call_context.h"
#include "wagtailhead/retry.h"

#include <criterion/criterion.h>
#include <vector>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };

auto idempotentFailure() -> FailedAttempt
{
    FailedAttempt failed;
    failed.idempotent_ = true;
    failed.deadline_ = start + seconds(10);
    return failed;
}

struct Rule {
    const char* name_;
    FailedAttempt failed_;
    RetryVerdict verdict_;
};

auto rules() -> std::vector<Rule>
{
    std::vector<Rule> rules;
    const auto add = [&rules](const char* name, RetryVerdict verdict, auto change) {
        auto failed = idempotentFailure();
        change(failed);
        rules.push_back({ name, failed, verdict });
    };
    add("idempotent", RetryVerdict::Retry, [](FailedAttempt&) {});
    add("not idempotent, may have run", RetryVerdict::MayHaveRun, [](FailedAttempt& failed) {
        failed.idempotent_ = false;
    });
    add("not idempotent, known not run", RetryVerdict::Retry, [](FailedAttempt& failed) {
        failed.idempotent_ = false;
        failed.knownNotRun_ = true;
    });
    add("service overloaded", RetryVerdict::Overloaded, [](FailedAttempt& failed) {
        failed.knownNotRun_ = failed.overloaded_ = true;
    });
    add("local refusal", RetryVerdict::Retry, [](FailedAttempt& failed) {
        failed.knownNotRun_ = failed.overloaded_ = failed.localRefusal_ = true;
    });
    add("second local refusal", RetryVerdict::Overloaded, [](FailedAttempt& failed) {
        failed.knownNotRun_ = failed.overloaded_ = failed.localRefusal_ = true;
        failed.overloadRetries_ = 1;
    });
    add("deadline passed", RetryVerdict::NoTime, [](FailedAttempt& failed) {
        failed.deadline_ = start;
    });
    add("too little time", RetryVerdict::NoTime, [](FailedAttempt& failed) {
        failed.expectedTime_ = seconds(10);
    });
    return rules;
}

} // namespace

/// Guards against repeats of operations that may have run, and against retries that feed an overload.
Test(retry, policy_follows_the_kind_of_failure)
{
    const auto policy = RetryPolicy::create({}, 1);
    for (const auto& rule : rules()) {
        RetryAllowance allowance(3);
        RetryBudget budget;
        const auto decision = policy->decide(rule.failed_, allowance, budget, start);
        cr_assert_eq(
            decision.verdict_, rule.verdict_, "%s: %s", rule.name_, retryVerdictName(decision.verdict_));
        cr_assert_eq(allowance.left(), decision.retry() ? 2 : 3, "%s", rule.name_);
        cr_assert_float_eq(budget.tokens(), decision.retry() ? 9.0 : 10.0, 1e-9, "%s", rule.name_);
    }
}

/// Guards against a retry without allowance or budget, and against a charge for a retry not made.
Test(retry, policy_needs_allowance_and_budget)
{
    const auto policy = RetryPolicy::create({}, 1);
    RetryBudget budget({ 0.1, 1 });
    RetryAllowance none(0);
    cr_assert_eq(
        policy->decide(idempotentFailure(), none, budget, start).verdict_, RetryVerdict::NoAllowance);
    cr_assert_float_eq(budget.tokens(), 1, 1e-9);
    RetryAllowance allowance(5);
    cr_assert(policy->decide(idempotentFailure(), allowance, budget, start).retry());
    cr_assert_eq(
        policy->decide(idempotentFailure(), allowance, budget, start).verdict_, RetryVerdict::NoBudget);
    cr_assert_eq(allowance.left(), 4);
}

/// Guards against a fixed backoff (callers that retry in step) and against one beyond the cap.
Test(retry, backoff_has_full_jitter_within_the_cap)
{
    const RetryOptions options;
    const auto policy = RetryPolicy::create(options, 1);
    auto failed = idempotentFailure();
    Duration least = Duration::max();
    Duration most = Duration::zero();
    for (int i = 0; i < 1000; ++i) {
        RetryAllowance allowance(1);
        RetryBudget budget;
        failed.attempts_ = 30;
        const auto backoff = policy->decide(failed, allowance, budget, start).backoff_;
        least = std::min(least, backoff);
        most = std::max(most, backoff);
    }
    cr_assert(most <= options.backoffCap_ && most > options.backoffCap_ * 9 / 10);
    cr_assert(least < options.backoffCap_ / 10);
}

/// Guards against retries above the share of first tries.
Test(retry, budget_keeps_retries_below_the_share)
{
    RetryBudget budget({ 0.1, 10 });
    int firstTries = 0;
    int retries = 0;
    std::mt19937_64 random(7);
    for (int i = 0; i < 20000; ++i) {
        if (random() % 3 == 0) {
            budget.onFirstTry();
            ++firstTries;
        } else if (budget.tryTake()) {
            ++retries;
        }
        cr_assert(retries <= 0.1 * firstTries + 10 + 1e-6);
    }
    cr_assert(retries >= 0.1 * firstTries);
}

/// Guards against a peer that hands back more than it was lent.
Test(retry, allowance_limits_what_is_given_back)
{
    RetryAllowance allowance(3);
    cr_assert_eq(allowance.lend(), 2);
    cr_assert_eq(allowance.left(), 1);
    allowance.takeBack(2, 100);
    cr_assert_eq(allowance.left(), 3);
    allowance.takeBack(2, -5);
    cr_assert_eq(allowance.left(), 3);
    cr_assert_eq(RetryAllowance(-1).lend(), 0);
}

namespace {

/// A call tree in which every attempt may fail, with or without a reply, and every hop retries as often
/// as it may.
class RetryTree {
public:
    explicit RetryTree(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// Runs one call with its subtree; returns the unused allowance.
    auto run(int depth, int granted) -> int
    {
        RetryAllowance allowance(granted);
        const auto children = depth < maxCallDepth && calls_ < maxCalls ? 1 + random_() % 3 : 0;
        for (std::uint64_t child = 0; child < children; ++child) {
            call(depth + 1, allowance);
        }
        return allowance.left();
    }

    int retries_ = 0;

private:
    static constexpr int maxCalls = 400;

    auto call(int depth, RetryAllowance& allowance) -> void
    {
        do {
            ++calls_;
            const int lent = allowance.lend();
            const int unused = run(depth, lent);
            const auto fate = random_() % 4;
            if (fate != 0) {
                allowance.takeBack(lent, unused);
            }
            if (fate > 1) {
                return;
            }
        } while (allowance.charge() && ++retries_ > 0);
    }

    std::mt19937_64 random_;
    int calls_ = 0;
};

} // namespace

/// Guards against retries that multiply along a deep call chain with fan-out.
Test(retry, sum_over_a_tree_stays_within_the_allowance_of_the_root)
{
    int most = 0;
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        const int granted = static_cast<int>(seed % 8);
        RetryTree tree(seed);
        const int unused = tree.run(0, granted);
        cr_assert(tree.retries_ + unused <= granted, "seed %lu: %d retries and %d unused of %d",
            static_cast<unsigned long>(seed), tree.retries_, unused, granted);
        most = std::max(most, tree.retries_);
    }
    cr_assert_eq(most, 7, "the allowance is never used up, so the test shows nothing");
}

/// Guards against a naive reference that is not naive.
Test(retry, naive_policy_tries_three_times_whatever_happened)
{
    RetryOptions options;
    options.mechanism_ = Mechanism::Naive;
    const auto policy = RetryPolicy::create(options, 1);
    RetryAllowance none(0);
    RetryBudget budget({ 0, 0 });
    FailedAttempt failed;
    failed.attempts_ = 2;
    cr_assert(policy->decide(failed, none, budget, start).retry());
    failed.attempts_ = 3;
    cr_assert(!policy->decide(failed, none, budget, start).retry());
}
