/// Checks and parses the requests of callers and backend servers. Internal to the library.
#pragma once

#include "wagtailhead/active_config.h"
#include "wagtailhead/http.h"
#include "wagtailhead/messages.h"

#include <string>
#include <variant>

namespace wagtailhead {

/// A request of the caller contract after all checks.
struct ParsedRequest {
    std::string service_;
    HttpRequest http_; ///< Target without the service; without headers that the node sets itself.
    Classification class_;
    Duration deadline_ = Duration::zero();
    std::string key_; ///< Empty if none was sent.
};

/// Parses a request. `keyRequired` tells whether an operation that runs at most once must carry its own
/// key. Returns an answer (not-run, with a 4xx status) for a request that is itself wrong.
auto parseRequest(HttpRequest request, const ActiveConfig& config, bool keyRequired)
    -> std::variant<ParsedRequest, Answer>;

/// Returns whether a key has 1 to 128 visible ASCII characters.
auto isValidKey(std::string_view key) -> bool;

} // namespace wagtailhead
