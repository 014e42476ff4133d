/// The site's retry budget, divided among nodes, services and kinds of retries.
#pragma once

#include "wagtailhead/directory.h"
#include "wagtailhead/retry.h"

#include <map>
#include <memory>
#include <string>

namespace wagtailhead {

struct RetryBudgetsOptions {
    /// Share of the site's retry budget for retries of requests that have run. The calls that such a retry
    /// makes count as retries at their destinations, so all hops of a call chain share the budget.
    double ranPart_ = 0.1;
    /// Share for retries of requests that a backend server has rejected, and of all requests to services that
    /// make no calls: these retries cause no further ones.
    double rejectedPart_ = 0.5;
    double share_ = 0.1; ///< Retries per first attempt, over all nodes.
    double burst_ = 10; ///< Retries allowed beyond the share, over all nodes.
};

enum class RetryGrant : std::uint8_t {
    Granted,
    Overloaded, ///< The service has no free capacity; a retry would add to the overload.
    NoBudget,
};

/// Grants retries so that their sum over all nodes stays within the site's budget, without communication
/// between the nodes. Not thread safe.
class RetryBudgets {
public:
    /// The directory must outlive the budgets.
    RetryBudgets(const RetryBudgetsOptions& options, const Directory& directory);

    /// Counts a request that is sent for the first time.
    auto onFirstTry(const std::string& service) -> void;

    /// Takes a retry to `service` from the budget. `ran` is true if the request has run or may have run.
    auto take(const std::string& service, bool ran, TimePoint now) -> RetryGrant;

    /// Applies new bounds of the site's budget.
    auto setBounds(double share, double burst) -> void;

private:
    /// The budgets for retries to one service.
    struct Budgets {
        Budgets(const RetryBudgetOptions& ran, const RetryBudgetOptions& rejected)
            : ran_(ran)
            , rejected_(rejected)
        {
        }

        RetryBudget ran_;
        RetryBudget rejected_;
    };

    auto budgetsOf(const std::string& service) -> Budgets&;
    auto optionsFor(double part) const -> RetryBudgetOptions;

    RetryBudgetsOptions options_;
    const Directory& directory_;
    std::map<std::string, std::unique_ptr<Budgets>> services_;
};

/// Returns "repeat", "overloaded" or "no-budget".
auto retryGrantName(RetryGrant verdict) -> const char*;

} // namespace wagtailhead
