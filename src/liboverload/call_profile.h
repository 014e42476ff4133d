/// What the requests of each route ask of the services below, learned from what passes one backend server.
#pragma once

#include "wagtailhead/clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhead {

/// Estimates how many calls a backend server makes for one request of each route, and what these calls cost
/// at the deepest service that they reach. Calls name no parent, so the numbers are fitted: the calls of an
/// interval are explained by the requests of this and the last one, by least squares with coefficients of at
/// least zero, where old intervals fade.
///
/// The nodes form the figure for a whole tree together: each one adds up what the replies to its backend
/// server's calls say, and says the sum in its own replies. Bounded by the number of routes. Not thread safe.
class CallProfile {
public:
    /// Counts a request of a route that the backend server has begun to run.
    auto onRequest(const std::string& route) -> void;

    /// Counts a call that the backend server makes.
    auto onCall(const std::string& route) -> void;

    /// Takes what one call of a route costs at the deepest service, in milliseconds of a slot.
    auto onCallCost(const std::string& route, double milliseconds) -> void;

    /// Fits the figures if an interval has ended. Call it at least twice an interval.
    auto update(TimePoint now) -> void;

    /// Returns what the calls for one request of a route cost at the deepest service, in milliseconds of a
    /// slot; 0 if the route makes no calls or is not known.
    auto calledCost(const std::string& route) const -> double;

    /// Returns the estimated number of calls to `called` for one request of `route`.
    auto callsPerRequest(const std::string& route, const std::string& called) const -> double;

private:
    struct Incoming {
        std::size_t place_ = 0; ///< In the sums.
        double current_ = 0; ///< Requests of this interval.
        double last_ = 0;
    };
    struct Called {
        double current_ = 0; ///< Calls of this interval.
        double cost_ = 0; ///< Of one call, in milliseconds.
        std::vector<double> products_; ///< Fading sum of calls x requests, by place of the route.
        std::vector<double> perRequest_; ///< By place of the route.
    };

    auto addInterval() -> void;
    auto fit(Called& called) const -> void;
    auto placeOf(const std::string& route) const -> std::optional<std::size_t>;

    std::map<std::string, Incoming> incoming_;
    std::vector<std::vector<double>>
        squares_; ///< Fading sums of requests x requests, by place of the routes.
    std::map<std::string, Called> called_;
    TimePoint intervalEnd_;
};

} // namespace wagtailhead
