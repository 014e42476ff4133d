/// Tells routes of callers from routes that only backend servers call.
#pragma once

#include "wagtailhead/clock.h"

#include <map>
#include <string>

namespace wagtailhead {

/// Callers sit on the VMs of every service. A route whose requests only begin beside some of the services
/// is one that the backend servers of these services call. Only VMs that send anything here are taken into
/// account, since nodes prefer gates of their own zone. Not thread safe.
class RouteOrigins {
public:
    /// Counts a request on `route` that began on the VM of `callerNode`, which has a backend server of
    /// `callerService`.
    auto count(const std::string& route, const std::string& callerService, const std::string& callerNode,
        TimePoint now) -> void;

    /// Judges all routes anew. Call it every second.
    auto judge(TimePoint now) -> void;

    /// Returns whether only backend servers call the route, as last judged.
    auto isCall(const std::string& route) const -> bool;

private:
    struct Counts {
        std::map<std::string, double> byService_;
        double total_ = 0;
        int missing_ = 0; ///< Judgements in a row that found a service without requests.
    };
    auto nodeShares(TimePoint now) -> std::map<std::string, double>;

    std::map<std::string, Counts> routes_;
    /// By service: the nodes that send requests, with the time of the last one.
    std::map<std::string, std::map<std::string, TimePoint>> nodes_;
};

} // namespace wagtailhead
