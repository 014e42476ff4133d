/// Refuses the least important requests of callers before any work is done for them.
#pragma once

#include "shed_level.h"
#include "wagtailhead/directory.h"
#include "wagtailhead/site_configuration.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace wagtailhead {

/// Follows the levels that gates report, and which routes and services the backend servers call. Not thread
/// safe.
class RootShedding {
public:
    /// `service` is that of the backend server of this VM. The directory must outlive the shedding.
    RootShedding(std::string service, const Directory& directory, std::uint64_t seed);

    /// A gate has answered a request. `isCall` tells whether only backend servers use the route.
    auto onReply(const std::string& service, const SiteRoute& route, bool isCall, TimePoint now) -> void;

    /// Decides about a request that arrives now. `level` is that of the service.
    auto shouldRefuse(const SiteConfiguration& configuration, const SiteRoute& route, ShedLevel level)
        -> bool;

    /// Estimates when a refused request would be taken. Spread over time, so that those who are refused
    /// together do not come back together.
    auto comeBackAfter(ShedLevel level, int ranksBelow) -> Duration;

    /// The level of the services that the backend server of this VM calls.
    auto calledLevel(TimePoint now) const -> ReportedLevel;

    /// Returns whether the backend server of this VM has made calls lately.
    auto makesCalls(TimePoint now) const -> bool;

private:
    std::string service_;
    const Directory& directory_;
    std::mt19937_64 random_;
    std::map<std::string, TimePoint> calledServices_; ///< With the last call.
    std::set<std::string> callRoutes_; ///< Routes that only backend servers use.
};

} // namespace wagtailhead
