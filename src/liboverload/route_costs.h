/// What requests of each route cost, as the replies to a node's own requests say.
#pragma once

#include "wagtailhead/clock.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace wagtailhead {

/// Moving averages by route. Bounded by the number of routes. Not thread safe.
class RouteCosts {
public:
    /// Takes a reply: the time that the backend server spent on the request, and what its calls cost at the
    /// deepest service, in milliseconds of a slot.
    auto onReply(const std::string& route, Duration spent, double calledMs, std::size_t responseBytes)
        -> void;

    /// Returns the time of a backend server for one request, in milliseconds; 0 if not known.
    auto own(const std::string& route) const -> double;

    /// Returns the cost at the deepest service below, in milliseconds of a slot; 0 if not known or if there
    /// is none.
    auto called(const std::string& route) const -> double;

    /// Returns the size of a response, in bytes; 0 if not known.
    auto responseBytes(const std::string& route) const -> std::size_t;

    /// Returns the cost at the deepest service that a request reaches.
    auto deepest(const std::string& route) const -> double;

    /// Returns whether a request of the route asks something worth mentioning of the services below its own,
    /// compared with its own time. True while nothing is known of the route.
    auto reachesBelow(const std::string& route) const -> bool;

private:
    struct Cost {
        double own_ = 0;
        double called_ = 0;
        double responseBytes_ = 0;
    };
    std::unordered_map<std::string, Cost> costs_;
};

} // namespace wagtailhead
