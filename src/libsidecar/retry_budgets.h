/// The site's retry budget, divided among nodes, services and kinds of retries.
#pragma once

#include "retry_bucket.h"
#include "wagtailhead/directory.h"

#include <map>
#include <string>

namespace wagtailhead {

struct RetryBudgetsOptions {
    /// Share of the site's retry budget for retries of requests that have run. The calls that such a retry
    /// makes count as retries at their destinations, so all hops of a call chain share the budget.
    double ranPart_ = 0.1;
    /// Share for retries of requests that a backend server has rejected, and of all requests to services that
    /// make no calls: these retries cause no further ones. It may be spent twice in a window, see
    /// RetryBucket.
    double rejectedPart_ = 0.35;
    /// The same while requests to the backend server of this VM fail anyway: no node retries them then, so
    /// the calls of the backend server need not share the budget with the calls of such retries.
    double rejectedPartWhileFailing_ = 0.475;
    double share_ = 0.1; ///< Retries per first attempt, over all nodes.
    double burst_ = 10; ///< Retries allowed beyond the share, over all nodes.
    Duration window_ = seconds(10); ///< Span in which the site's budget is counted.
};

enum class RetryGrant : std::uint8_t {
    Granted,
    Overloaded, ///< The service has no free capacity; a retry would add to the overload.
    Failing, ///< Most requests to the service fail, so that a retry would most likely fail too.
    NoBudget,
};

/// Grants retries so that their sum over all nodes stays within the site's budget, without communication
/// between the nodes. Not thread safe.
class RetryBudgets {
public:
    /// The directory must outlive the budgets.
    RetryBudgets(const RetryBudgetsOptions& options, const Directory& directory);

    /// Counts a request that is sent for the first time.
    auto onFirstTry(const std::string& service, TimePoint now) -> void;

    /// Takes a retry to `service` from the budget. `ran` is true if the request has run or may have run.
    auto take(const std::string& service, bool ran, TimePoint now) -> RetryGrant;

    /// Applies new bounds of the site's budget.
    auto setBounds(double share, double burst) -> void;

    /// Sets whether most requests to the backend server of this VM fail.
    auto setBackendFails(bool fails) -> void;

private:
    /// The buckets for retries to one service.
    struct Buckets {
        RetryBucket ran_;
        RetryBucket rejected_;
    };

    auto bucketsOf(const std::string& service) -> Buckets&;
    auto optionsFor(double part) const -> RetryBucketOptions;
    auto rejectedPart() const -> double;
    auto configureBuckets() -> void;

    RetryBudgetsOptions options_;
    const Directory& directory_;
    bool backendFails_ = false;
    std::map<std::string, Buckets> services_;
};

/// Returns "repeat", "overloaded", "failing" or "no-budget".
auto retryGrantName(RetryGrant verdict) -> const char*;

} // namespace wagtailhead
