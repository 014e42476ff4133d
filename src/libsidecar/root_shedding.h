/// Sheds the least important requests of callers before any work is done for them.
#pragma once

#include "admission_policy.h"
#include "route_costs.h"
#include "wagtailhead/directory.h"
#include "wagtailhead/site_configuration.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace wagtailhead {

/// Decides which requests to shed, based on the levels that gates report and on which routes are internal
/// (used only by backend servers). Not thread safe.
class RootShedding {
public:
    /// `service` is the service of the backend server of this VM. The directory must outlive this object.
    RootShedding(std::string service, const Directory& directory, std::uint64_t seed);

    /// Processes the reply of a gate. `isInternal` is true if only backend servers use the route.
    auto onReply(const std::string& service, const SiteRoute& route, bool isInternal, TimePoint now) -> void;

    /// Chooses the policy: by expected cost and fair shares, or the same share of each rank.
    auto setCostControl(bool on) -> void;

    /// Returns the shedding level that applies to a request of a route that goes to `service`: with cost
    /// control that of the services below counts only for routes that ask something of them.
    auto levelFor(const std::string& service, const SiteRoute& route, TimePoint now) const -> ReportedLevel;

    /// Returns whether to refuse a request that arrives now. `rank` is that of its account or route, `level`
    /// what levelFor() has returned.
    auto shouldRefuse(const SiteConfiguration& configuration, const SiteRoute& route,
        std::string_view account, int rank, ShedLevel level, TimePoint now) -> bool;

    /// Returns whether a request of the route is a call of a backend server whose cost is to be learned.
    auto learnsCallsOf(const SiteRoute& route) const -> bool
    {
        return costControl_ && internalRoutes_.count(route.name_) > 0;
    }

    /// What requests cost, from replies that say so.
    auto costs() -> RouteCosts&
    {
        return costs_;
    }

    /// Estimates after which time a refused request would be admitted. The result is randomized, so that
    /// callers that are refused together do not retry together.
    auto retryAfter(ShedLevel level, int ranksBelow) -> Duration;

    /// Returns the highest shedding level of the services that the backend server of this VM calls.
    auto calledLevel(TimePoint now) const -> ReportedLevel;

    /// Returns whether the backend server of this VM has made calls recently.
    auto makesCalls(TimePoint now) const -> bool;

private:
    std::string service_;
    const Directory& directory_;
    std::uint64_t seed_;
    std::mt19937_64 random_;
    bool costControl_ = false;
    std::unique_ptr<AdmissionPolicy> policy_;
    RouteCosts costs_;
    std::map<std::string, TimePoint> downstreamServices_; ///< With the time of the last call.
    std::set<std::string> internalRoutes_; ///< Routes that only backend servers use.
};

} // namespace wagtailhead
