#include "admin_server.h"

#include "wagtailhead/metrics.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

constexpr std::string_view nodePrefix = "/-/";
constexpr std::string_view adminPrefix = "/-/admin/";
constexpr int statusNotFound = 404;

auto respondJson(HttpResponder& responder, int status, const nlohmann::json& body) -> void
{
    // Paths may contain bytes that are no UTF-8.
    const auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    responder.respond({ status, { { "Content-Type", "application/json" } }, text + "\n" });
}

} // namespace

auto isNodePath(const std::string& target) -> bool
{
    return target.starts_with(nodePrefix);
}

auto serveNodePath(HttpRequest request, const std::shared_ptr<HttpResponder>& responder,
    const std::function<nlohmann::json()>& dump, const AdminHandler& admin) -> void
{
    if (request.method_ == "GET" && request.target_ == "/-/dump") {
        respondJson(*responder, 200, dump());
    } else if (request.method_ == "GET" && request.target_ == "/-/metrics") {
        responder->respond({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsText() });
    } else if (request.target_.starts_with(adminPrefix) && admin) {
        admin(std::move(request), responder);
    } else {
        respondJson(*responder, statusNotFound,
            { { "error", "no such path: " + request.method_ + " " + request.target_ } });
    }
}

} // namespace wagtailhead
