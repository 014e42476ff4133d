/// How long requests usually run.
#pragma once

#include "wagtailhead/clock.h"

#include <string>
#include <unordered_map>

namespace wagtailhead {

/// Running times of the requests of each route, learned from their responses as this node sees them: queues
/// and slow backend servers are part of them. Not thread safe.
class RunTimes {
public:
    /// Takes the time from the sending of a request to its response.
    auto onResponse(const std::string& route, Duration time) -> void;

    /// Returns the time within which most requests of the route are answered: their mean and its mean
    /// deviation. It is 0 until a response has come.
    auto usual(const std::string& route) const -> Duration;

private:
    struct Estimate {
        Duration mean_ {};
        Duration deviation_ {};
    };
    std::unordered_map<std::string, Estimate> estimates_;
};

} // namespace wagtailhead
