#include "retry_budgets.h"

#include "outcome_share.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wagtailhead {

namespace {

constexpr std::array<const char*, 4> decisionNames { "repeat", "overloaded", "failing", "no-budget" };

/// From this shedding level on a service fails for lack of capacity, and retries add to the overload.
constexpr double overloadLevel = 0.1;

} // namespace

auto retryGrantName(RetryGrant verdict) -> const char*
{
    return decisionNames.at(static_cast<std::size_t>(verdict));
}

RetryBudgets::RetryBudgets(const RetryBudgetsOptions& options, const Directory& directory)
    : options_(options)
    , directory_(directory)
{
}

auto RetryBudgets::optionsFor(double part) const -> RetryBucketOptions
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(directory_.size(), 1));
    return { options_.share_ * part, options_.burst_ * part / nodes, options_.window_ };
}

auto RetryBudgets::bucketsOf(const std::string& service) -> Buckets&
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        return found->second;
    }
    const Buckets buckets { RetryBucket(optionsFor(options_.ranPart_)),
        RetryBucket(optionsFor(rejectedPart())) };
    return services_.emplace(service, buckets).first->second;
}

auto RetryBudgets::onFirstTry(const std::string& service, TimePoint now) -> void
{
    auto& buckets = bucketsOf(service);
    buckets.ran_.onFirstTry(now);
    buckets.rejected_.onFirstTry(now);
}

auto RetryBudgets::take(const std::string& service, bool ran, TimePoint now) -> RetryGrant
{
    const bool makesNoCalls = directory_.callsNothing(service);
    // At a service that makes no calls, a retry costs less than the failure of the whole call tree.
    if (!makesNoCalls && directory_.level(service, now).level_ >= overloadLevel) {
        return RetryGrant::Overloaded;
    }
    if (ran && !makesNoCalls && directory_.failedShare(service, now) >= failingShare) {
        return RetryGrant::Failing;
    }
    auto& buckets = bucketsOf(service);
    const bool taken = ran && !makesNoCalls ? buckets.ran_.tryTake(now) : buckets.rejected_.tryTake(now);
    return taken ? RetryGrant::Granted : RetryGrant::NoBudget;
}

auto RetryBudgets::rejectedPart() const -> double
{
    return backendFails_ ? options_.rejectedPartWhileFailing_ : options_.rejectedPart_;
}

auto RetryBudgets::configureBuckets() -> void
{
    for (auto& [service, buckets] : services_) {
        buckets.ran_.configure(optionsFor(options_.ranPart_));
        buckets.rejected_.configure(optionsFor(rejectedPart()));
    }
}

auto RetryBudgets::setBounds(double share, double burst) -> void
{
    options_.share_ = share;
    options_.burst_ = burst;
    configureBuckets();
}

auto RetryBudgets::setBackendFails(bool fails) -> void
{
    if (std::exchange(backendFails_, fails) != fails) {
        configureBuckets();
    }
}

} // namespace wagtailhead
