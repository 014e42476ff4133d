/// Requests of callers: route, choice of the node, retries, and the final answer.
#pragma once

#include "caller_operation.h"

#include <memory>
#include <random>
#include <set>

namespace wagtailhead {

struct CallerEntryOptions {
    std::string node_;
    std::string service_; ///< Of this VM; told to backend servers as the caller's service.
    HeaderNames headers_;
    RetryBudgetsOptions retries_;
    std::uint64_t seed_ = 0; ///< Of all random choices.
};

struct CallerEntryParts {
    Directory& directory_;
    LinkClient& links_;
    Gate& gate_;
    RequestMetrics& metrics_;
    std::function<SiteConfigurationPtr()> configuration_;
};

/// All members run in the context's single thread.
class CallerEntry {
public:
    CallerEntry(const CallerEntryOptions& options, const CallerEntryParts& parts);

    auto onRequest(http1::Request request, std::shared_ptr<http1::Exchange> exchange) -> void;

    /// This node ends: refuses all further requests at once.
    auto refuseFurther() -> void
    {
        shared_.stopping_ = true;
    }

    /// Answers requests whose time is over. Call it every 50 ms or so.
    auto tick() -> void;

    auto retryBudgets() -> RetryBudgets&
    {
        return budgets_;
    }
    auto shedding() const -> const RootShedding&
    {
        return shedding_;
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
    RequestLog log_;
    CallerEntryStats stats_;
    CallerShared shared_;
    std::set<std::pair<TimePoint, std::shared_ptr<CallerOperation>>> operations_; ///< By deadline.
};

} // namespace wagtailhead
