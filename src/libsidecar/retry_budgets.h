/// The site's retry budget, split over nodes, services and kinds of repeats.
#pragma once

#include "wagtailhead/directory.h"
#include "wagtailhead/retry.h"

#include <map>
#include <memory>
#include <string>

namespace wagtailhead {

struct RetryBudgetsOptions {
    /// The part of the site's retry budget for repeats of requests that have run. Their calls count as
    /// repeats where they arrive, so the hops of a chain share the budget.
    double ranPart_ = 0.1;
    /// The part for repeats of requests that a backend server has rejected, and of all requests to services
    /// that call nothing: these repeats cause no others.
    double rejectedPart_ = 0.5;
    double share_ = 0.1; ///< Extra arrivals for each first one, over all nodes.
    double burst_ = 10; ///< Extra arrivals beyond the share, over all nodes.
};

enum class RepeatVerdict : std::uint8_t {
    Granted,
    Overloaded, ///< The service has no room; a repeat makes it worse.
    NoBudget,
};

/// Grants repeats so that their sum over all nodes stays within the site's budget without a word between the
/// nodes. Not thread safe.
class RetryBudgets {
public:
    /// The directory must outlive the budgets.
    RetryBudgets(const RetryBudgetsOptions& options, const Directory& directory);

    /// A request is sent for the first time.
    auto onFirstTry(const std::string& service) -> void;

    /// Takes a repeat towards a service. `ran` tells whether the request has run, or may have.
    auto take(const std::string& service, bool ran, TimePoint now) -> RepeatVerdict;

    /// Applies new bounds of the site's budget.
    auto setBounds(double share, double burst) -> void;

private:
    /// The repeats towards one service.
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
auto repeatVerdictName(RepeatVerdict verdict) -> const char*;

} // namespace wagtailhead
