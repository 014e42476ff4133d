/// Tells routes of callers from routes that only backend servers call.
#pragma once

#include "wagtailhead/clock.h"

#include <functional>
#include <map>
#include <string>

namespace wagtailhead {

/// Callers sit on the VMs of every service. A route whose requests only begin beside some of the services
/// is one that the backend servers of these services call. Not thread safe.
class RouteOrigins {
public:
    /// Counts a request on `route` that began on a VM of `callerService`.
    auto count(const std::string& route, const std::string& callerService) -> void;

    /// Judges all routes anew. `nodeShares` holds the share of the site's nodes by service.
    auto judge(const std::map<std::string, double>& nodeShares) -> void;

    /// Returns whether only backend servers call the route, as last judged.
    auto isCall(const std::string& route) const -> bool;

private:
    struct Counts {
        std::map<std::string, double> byService_;
        double total_ = 0;
        bool call_ = false;
    };
    std::map<std::string, Counts> routes_;
};

} // namespace wagtailhead
