#include "wagtailhead/retry.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

/// Maximum doublings of the backoff; with the default options, the cap is reached long before.
constexpr int maxBackoffDoublings = 20;

/// Maximum retries of one hop after overload refusals, each at another backend server.
constexpr int maxOverloadRetries = 1;

/// Returns the reason not to retry that follows from how the attempt failed, or Retry.
auto classifyFailure(const FailedAttempt& failed) -> RetryVerdict
{
    if (!failed.knownNotRun_ && !failed.idempotent_) {
        return RetryVerdict::MayHaveRun;
    }
    if (failed.overloaded_ && (!failed.localRefusal_ || failed.overloadRetries_ >= maxOverloadRetries)) {
        return RetryVerdict::Overloaded;
    }
    return RetryVerdict::Retry;
}

class AdaptiveRetryPolicy final : public RetryPolicy {
public:
    AdaptiveRetryPolicy(const RetryOptions& options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
    {
    }

    auto decide(const FailedAttempt& failed, RetryAllowance& allowance, RetryBudget& budget, TimePoint now)
        -> RetryDecision override
    {
        const auto verdict = classifyFailure(failed);
        if (verdict != RetryVerdict::Retry) {
            return { verdict };
        }
        const auto backoff = failed.overloaded_ ? Duration::zero() : backoffAfter(failed.attempts_);
        if (now + backoff + failed.expectedTime_ >= failed.deadline_) {
            return { RetryVerdict::NoTime };
        }
        if (allowance.left() <= 0) {
            return { RetryVerdict::NoAllowance };
        }
        if (!budget.tryTake()) {
            return { RetryVerdict::NoBudget };
        }
        if (!allowance.charge()) {
            budget.putBack();
            return { RetryVerdict::NoAllowance };
        }
        return { RetryVerdict::Retry, backoff };
    }

private:
    auto backoffAfter(int attempts) -> Duration
    {
        const int doublings = std::clamp(attempts - 1, 0, maxBackoffDoublings);
        const auto bound
            = std::min(options_.backoffBase_ * (std::int64_t { 1 } << doublings), options_.backoffCap_);
        const std::lock_guard lock(mutex_);
        return Duration(std::uniform_int_distribution<Duration::rep>(0, bound.count())(random_));
    }

    const RetryOptions options_;
    std::mutex mutex_;
    std::mt19937_64 random_;
};

class NaiveRetryPolicy final : public RetryPolicy {
public:
    explicit NaiveRetryPolicy(int tries)
        : tries_(tries)
    {
    }

    auto decide(const FailedAttempt& failed, RetryAllowance& /*allowance*/, RetryBudget& /*budget*/,
        TimePoint /*now*/) -> RetryDecision override
    {
        return { failed.attempts_ < tries_ ? RetryVerdict::Retry : RetryVerdict::TooManyTries };
    }

private:
    const int tries_;
};

} // namespace

RetryAllowance::RetryAllowance(int granted)
    : left_(std::max(granted, 0))
{
}

auto RetryAllowance::left() const -> int
{
    return left_.load();
}

auto RetryAllowance::lend() -> int
{
    int left = left_.load();
    int lent = 0;
    do {
        lent = left / 2 + left % 2;
    } while (!left_.compare_exchange_weak(left, left - lent));
    return lent;
}

auto RetryAllowance::takeBack(int lent, int unused) -> void
{
    left_ += std::clamp(unused, 0, std::max(lent, 0));
}

auto RetryAllowance::charge() -> bool
{
    int left = left_.load();
    do {
        if (left <= 0) {
            return false;
        }
    } while (!left_.compare_exchange_weak(left, left - 1));
    return true;
}

auto RetryAllowance::drain() -> int
{
    return left_.exchange(0);
}

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options)
    , tokens_(options.burst_)
{
}

auto RetryBudget::onFirstTry() -> void
{
    const std::lock_guard lock(mutex_);
    tokens_ = std::min(tokens_ + options_.share_, options_.burst_);
}

auto RetryBudget::tryTake() -> bool
{
    const std::lock_guard lock(mutex_);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

auto RetryBudget::putBack() -> void
{
    const std::lock_guard lock(mutex_);
    tokens_ = std::min(tokens_ + 1, options_.burst_);
}

auto RetryBudget::configure(RetryBudgetOptions options) -> void
{
    const std::lock_guard lock(mutex_);
    options_ = options;
    tokens_ = std::min(tokens_, options_.burst_);
}

auto RetryBudget::tokens() const -> double
{
    const std::lock_guard lock(mutex_);
    return tokens_;
}

auto retryVerdictName(RetryVerdict verdict) -> const char*
{
    static constexpr std::array names { "retry", "may-have-run", "overloaded", "no-time", "no-allowance",
        "no-budget", "too-many-tries" };
    return names.at(static_cast<std::size_t>(verdict));
}

auto RetryPolicy::create(const RetryOptions& options, std::uint64_t seed) -> std::unique_ptr<RetryPolicy>
{
    if (options.mechanism_ == Mechanism::Naive) {
        return std::make_unique<NaiveRetryPolicy>(options.naiveTries_);
    }
    return std::make_unique<AdaptiveRetryPolicy>(options, seed);
}

} // namespace wagtailhead
