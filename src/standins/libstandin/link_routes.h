/// The routes and zones of the link stand-in, read from its settings.
#pragma once

#include "wagtailhead/result.h"
#include "wagtailhead/settings.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead::standin {

/// Connections that processes of zone `from_` open to `listen_` are relayed to `target_` in zone `to_`.
struct LinkRoute {
    Address listen_;
    Address target_;
    std::string from_;
    std::string to_;
};

struct LinkRoutes {
    std::vector<LinkRoute> routes_;
    std::map<std::string, std::string> regions_; ///< Region of each zone.

    /// Returns the region of a zone. A zone without one is a region of its own.
    auto regionOf(const std::string& zone) const -> std::string;
};

/// Parses lines `route LISTEN TARGET FROM TO` and `zone ZONE REGION`. Empty lines and lines that begin
/// with '#' are skipped. Errors name the line.
auto parseLinkRoutes(std::string_view text) -> Result<LinkRoutes>;

} // namespace wagtailhead::standin
