#include "retry_budgets.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

constexpr std::array<const char*, 3> verdictNames { "repeat", "overloaded", "no-budget" };

/// Above this level a service fails for want of room, and repeats make it worse.
constexpr double overloadLevel = 0.1;

} // namespace

auto repeatVerdictName(RepeatVerdict verdict) -> const char*
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
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

auto RetryBudgets::take(const std::string& service, bool ran, TimePoint now) -> RepeatVerdict
{
    const bool leaf = directory_.callsNothing(service);
    // Where nothing is called, a repeat costs less than the tree that fails without it.
    if (!leaf && directory_.level(service, now).level_ >= overloadLevel) {
        return RepeatVerdict::Overloaded;
    }
    auto& budgets = budgetsOf(service);
    const bool taken = ran && !leaf ? budgets.ran_.tryTake() : budgets.rejected_.tryTake();
    return taken ? RepeatVerdict::Granted : RepeatVerdict::NoBudget;
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
