#include "retry_budgets.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

constexpr std::array<const char*, 3> decisionNames { "repeat", "overloaded", "no-budget" };

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

auto RetryBudgets::optionsFor(double part) const -> RetryBudgetOptions
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(directory_.size(), 1));
    return { options_.share_ * part, std::max(options_.burst_ * part / nodes, 1.0) };
}

auto RetryBudgets::budgetsOf(const std::string& service) -> Budgets&
{
    auto& budgets = services_[service];
    if (!budgets) {
        budgets
            = std::make_unique<Budgets>(optionsFor(options_.ranPart_), optionsFor(options_.rejectedPart_));
    }
    return *budgets;
}

auto RetryBudgets::onFirstTry(const std::string& service) -> void
{
    auto& budgets = budgetsOf(service);
    budgets.ran_.onFirstTry();
    budgets.rejected_.onFirstTry();
}

auto RetryBudgets::take(const std::string& service, bool ran, TimePoint now) -> RetryGrant
{
    const bool makesNoCalls = directory_.callsNothing(service);
    // At a service that makes no calls, a retry costs less than the failure of the whole call tree.
    if (!makesNoCalls && directory_.level(service, now).level_ >= overloadLevel) {
        return RetryGrant::Overloaded;
    }
    auto& budgets = budgetsOf(service);
    const bool taken = ran && !makesNoCalls ? budgets.ran_.tryTake() : budgets.rejected_.tryTake();
    return taken ? RetryGrant::Granted : RetryGrant::NoBudget;
}

auto RetryBudgets::setBounds(double share, double burst) -> void
{
    options_.share_ = share;
    options_.burst_ = burst;
    for (const auto& [service, budgets] : services_) {
        budgets->ran_.configure(optionsFor(options_.ranPart_));
        budgets->rejected_.configure(optionsFor(options_.rejectedPart_));
    }
}

} // namespace wagtailhead
