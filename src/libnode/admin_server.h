/// The paths under /-/ of a node: dump, metrics and the administration API. Internal to the library.
#pragma once

#include "wagtailhead/http.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace wagtailhead {

/// Handles one request below /-/admin/.
using AdminHandler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

/// Returns whether the path belongs to the node itself.
auto isNodePath(const std::string& target) -> bool;

/// Answers `GET /-/dump` with the state, `GET /-/metrics` with the metrics, passes /-/admin/ on and
/// refuses everything else with 404.
auto serveNodePath(HttpRequest request, const std::shared_ptr<HttpResponder>& responder,
    const std::function<nlohmann::json()>& dump, const AdminHandler& admin) -> void;

} // namespace wagtailhead
