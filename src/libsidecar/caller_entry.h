/// Requests of callers: route, choice of the node, retries, and the final answer.
#pragma once

#include "gate.h"
#include "http1_listener.h"
#include "link_client.h"
#include "log_budget.h"
#include "shed_level.h"
#include "wagtailhead/directory.h"
#include "wagtailhead/retry.h"
#include "wagtailhead/site_configuration.h"

#include <map>
#include <memory>
#include <set>

namespace wagtailhead {

struct CallerEntryOptions {
    std::string node_;
    std::string service_; ///< Of this VM; told to backend servers as the caller's service.
    HeaderNames headers_;
    /// The part of the site's retry budget for repeats of requests that have run. Their calls count as
    /// repeats where they arrive, so the hops of a chain share the budget.
    double ranPart_ = 0.1;
    /// The part for repeats of requests that a backend server has rejected, and of all requests to services
    /// that call nothing: these repeats cause no others.
    double rejectedPart_ = 0.5;
    double retryShare_ = 0.1; ///< Extra arrivals for each first one, over all nodes.
    double retryBurst_ = 10; ///< Extra arrivals beyond the share, over all nodes.
};

struct CallerEntryParts {
    Directory& directory_;
    LinkClient& links_;
    Gate& gate_;
    std::function<SiteConfigurationPtr()> configuration_;
};

struct CallerEntryStats {
    std::uint64_t requests_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0; ///< 503: not run.
    std::uint64_t failed_ = 0; ///< 502 and 504.
    std::uint64_t shed_ = 0; ///< Part of refused_: for the load of a service.
    std::uint64_t noRoute_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t cancelled_ = 0;
};

/// All members run in the context's single thread.
class CallerEntry {
public:
    CallerEntry(CallerEntryOptions options, CallerEntryParts parts, std::uint64_t seed);
    ~CallerEntry();
    CallerEntry(const CallerEntry&) = delete;
    auto operator=(const CallerEntry&) -> CallerEntry& = delete;

    auto onRequest(http1::Request request, std::shared_ptr<http1::Exchange> exchange) -> void;

    /// Applies new bounds of the site's retry budget.
    auto setRetryBounds(double share, double burst) -> void;

    /// Answers requests whose time is over. Call it every 50 ms or so.
    auto tick() -> void;

    /// The level of the services that the backend server of this VM calls.
    auto calledLevel() const -> ReportedLevel;

    /// Returns whether the backend server of this VM has made calls lately.
    auto makesCalls() const -> bool;

    /// Returns the log lines dropped since the last call.
    auto takeDroppedLines() -> std::uint64_t
    {
        return log_.takeDropped();
    }

    auto inFlight() const -> std::size_t
    {
        return operations_.size();
    }
    auto stats() const -> const CallerEntryStats&
    {
        return stats_;
    }

private:
    class Operation;
    friend class Operation;

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
    /// Takes a repeat from the budget. `ran` tells whether the request has run, or may have.
    auto takeRepeat(const std::string& service, bool ran) -> bool;
    auto budgetOptions(double part) const -> RetryBudgetOptions;
    auto takeReply(const std::string& service, const SiteRoute& route, const GateReply& reply) -> void;
    auto shouldShed(
        const SiteConfiguration& configuration, const SiteRoute& route, const std::string& service) -> bool;
    /// Estimates when a refused request would be taken.
    auto comeBackAfter(const SiteRoute* route, const std::string& service,
        const SiteConfiguration* configuration) -> Duration;
    auto chooseDestination(const SiteRoute& route) -> const std::string&;

    CallerEntryOptions options_;
    CallerEntryParts parts_;
    std::mt19937_64 random_;
    std::map<std::string, std::unique_ptr<Budgets>> budgets_; ///< By service.
    std::set<std::pair<TimePoint, std::shared_ptr<Operation>>> operations_; ///< By deadline.
    std::map<std::string, TimePoint>
        calledServices_; ///< By the backend server of this VM, with the last call.
    std::set<std::string> callRoutes_; ///< Routes that only backend servers use.
    LogBudget log_;
    CallerEntryStats stats_;
};

} // namespace wagtailhead
