/// Ingress for requests of callers: routing, choice of the node, retries, and the final response.
#pragma once

#include "caller_operation.h"

#include <memory>
#include <random>
#include <set>

namespace wagtailhead {

struct CallerEntryOptions {
    std::string node_;
    std::string service_; ///< Of this VM; sent to backend servers as the caller's service.
    HeaderNames headers_;
    RetryBudgetsOptions retries_;
    std::uint64_t seed_ = 0; ///< Seed of all random choices.
};

struct CallerEntryParts {
    Directory& directory_;
    LinkClient& links_;
    Gate& gate_;
    RequestMetrics& metrics_;
    QuotaService& quota_;
    std::function<SiteConfigurationPtr()> configuration_;
    /// Whether the memory allows to hold another response of so many bytes until its caller has read it.
    std::function<bool(std::size_t bytes)> hasRoom_;
};

/// Accepts requests of callers and tracks them until they are answered. All members run in the single thread
/// of the asio context.
class CallerEntry {
public:
    CallerEntry(const CallerEntryOptions& options, const CallerEntryParts& parts);

    auto onRequest(http1::Request request, std::shared_ptr<http1::Exchange> exchange) -> void;

    /// Returns whether a request may run beside others of its connection: it may run more than once.
    auto mayOverlap(const http1::Request& request) const -> bool;

    /// Refuses all further requests immediately, because this node is shutting down.
    auto refuseFurther() -> void
    {
        shared_.stopping_ = true;
    }

    /// Refuses requests that usually run beyond `latestResponse`, in bootNow() time, unless they have been
    /// sent on already.
    auto expectResponsesUntil(TimePoint latestResponse) -> void
    {
        shared_.latestResponse_ = latestResponse;
    }

    /// Refuses requests whose deadline is after `latestDeadline`, in bootNow() time, unless they have been
    /// sent on already. They are not repeated either.
    auto admitUntil(TimePoint latestDeadline) -> void
    {
        shared_.latestDeadline_ = latestDeadline;
    }

    /// Answers requests whose deadline has passed. Call it about every 50 ms.
    auto tick() -> void;

    auto retryBudgets() -> RetryBudgets&
    {
        return budgets_;
    }
    auto shedding() const -> const RootShedding&
    {
        return shedding_;
    }
    /// See RootShedding::setCostControl().
    auto setCostControl(bool on) -> void
    {
        shedding_.setCostControl(on);
    }
    auto requestLog() -> RequestLog&
    {
        return log_;
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
    auto chooseDestination(const SiteRoute& route) -> const std::string&;

    std::mt19937_64 random_;
    RetryBudgets budgets_;
    RootShedding shedding_;
    CostModel costModel_;
    BulkResponses bulk_;
    RunTimes runTimes_;
    RequestLog log_;
    CallerEntryStats stats_;
    CallerShared shared_;
    std::set<std::pair<TimePoint, std::shared_ptr<CallerOperation>>> operations_; ///< By deadline.
};

} // namespace wagtailhead
