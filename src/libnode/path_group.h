/// Groups requests whose costs and sub-calls are alike. Internal to the library.
#pragma once

#include "wagtailhead/http.h"
#include "wagtailhead/ids.h"

#include <string>

namespace wagtailhead {

/// Returns the method and the first two segments of the path, without query: "GET /stock/items". Longer
/// paths often carry identifiers, which would give every request a group of its own.
inline auto pathGroup(const HttpRequest& request) -> std::string
{
    constexpr int segments = 2;
    const auto path = std::string_view(request.target_).substr(0, request.target_.find('?'));
    std::size_t end = 0;
    for (int i = 0; i < segments && end != std::string_view::npos; ++i) {
        end = path.find('/', end + 1);
    }
    return request.method_ + " " + std::string(path.substr(0, end));
}

inline auto pathGroupHash(const HttpRequest& request) -> std::uint64_t
{
    return stableHash(pathGroup(request));
}

} // namespace wagtailhead
