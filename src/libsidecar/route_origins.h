/// Distinguishes routes that callers use from internal routes, which only backend servers use.
#pragma once

#include "wagtailhead/clock.h"

#include <map>
#include <string>

namespace wagtailhead {

/// Callers run on the VMs of every service. A route whose requests originate only on the VMs of some services
/// is therefore used by the backend servers of these services. Only VMs that send requests to this gate are
/// taken into account, since nodes prefer gates of their own zone. Not thread safe.
class RouteOrigins {
public:
    /// Counts a request on `route` that originated on the VM of `callerNode`, which has a backend server of
    /// `callerService`.
    auto count(const std::string& route, const std::string& callerService, const std::string& callerNode,
        TimePoint now) -> void;

    /// Classifies all routes again. Call it every second.
    auto classify(TimePoint now) -> void;

    /// Returns whether only backend servers use the route, according to the last classify().
    auto isInternalRoute(const std::string& route) const -> bool;

private:
    struct Counts {
        std::map<std::string, double> byService_;
        double total_ = 0;
        int updatesWithMissingService_ = 0; ///< Consecutive updates that found a service without requests.
    };
    auto nodeShares(TimePoint now) -> std::map<std::string, double>;

    std::map<std::string, Counts> routes_;
    /// By service: the nodes that send requests, with the time of the last request.
    std::map<std::string, std::map<std::string, TimePoint>> nodes_;
};

} // namespace wagtailhead
