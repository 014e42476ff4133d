/// Identifies what a request asks for. Internal to the library.
#pragma once

#include "wagtailhead/http.h"
#include "wagtailhead/ids.h"

namespace wagtailhead {

/// Returns a hash of method, path and body: the same key with another hash is a reused key.
inline auto bodyHashOf(const HttpRequest& request) -> std::uint64_t
{
    return stableHash(request.body_, stableHash(request.target_, stableHash(request.method_)));
}

} // namespace wagtailhead
