/// What a request is likely to cost, learned from requests that have been answered.
#pragma once

#include "wagtailhead/clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace wagtailhead {

/// Learns the time of a backend server of mean speed by route, and how much more or less the requests of an
/// account and bodies of a size take on that route. Newer answers count more. Bounded: with too many routes
/// or accounts the further ones are taken for average. Not thread safe.
class CostModel {
public:
    /// Takes an answered request: `spent` is the time of the backend server, `slowness` how much longer than
    /// on average that server takes.
    auto learn(const std::string& route, std::string_view account, std::size_t bytes, Duration spent,
        double slowness) -> void;

    /// Returns the expected time, or zero if nothing is known of the route.
    auto expected(const std::string& route, std::string_view account, std::size_t bytes) const -> Duration;

    /// Returns a time that about one request of ten exceeds, or zero if nothing is known of the route. Where
    /// a few requests take many times as long as the others, the mean says little.
    auto cautious(const std::string& route, std::string_view account, std::size_t bytes) const -> Duration;

private:
    struct Factor {
        double ratio_ = 1;
        int answers_ = 0;
    };
    struct Route {
        double mean_ = 0; ///< Seconds.
        double tenth_ = 0; ///< Seconds that one request of ten exceeds.
        std::map<std::string, Factor, std::less<>> accounts_;
        std::map<int, Factor> sizes_; ///< By the binary logarithm of the size.
    };

    static auto learnFactor(Factor& factor, double ratio) -> void;
    static auto factorOf(const Route& route, std::string_view account, std::size_t bytes) -> double;
    static auto sizeClass(std::size_t bytes) -> int;

    std::map<std::string, Route> routes_;
};

} // namespace wagtailhead
