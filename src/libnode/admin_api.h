/// The administration API: everything below /-/admin/. Internal to the library.
#pragma once

#include "intent_service.h"
#include "wagtailhead/http.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace wagtailhead {

struct AdminApiParts {
    IntentService& intents_;
    const ConfigView& config_;
    /// Gives the body of GET /-/admin/status.
    std::function<void(std::function<void(const nlohmann::json&)>)> status_;
};

/// Checks tokens, finds the operation of a request, and writes answers as JSON. Thread safe.
class AdminApi {
public:
    AdminApi(AdminApiParts parts, OperatorTeams teams);

    /// Answers one request.
    auto handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) const -> void;

private:
    struct Request;
    using Handler = auto(AdminApi::*)(const Request&) const -> void;

    auto createIntent(const Request& request) const -> void;
    auto listIntents(const Request& request) const -> void;
    auto showIntent(const Request& request) const -> void;
    auto confirmIntent(const Request& request) const -> void;
    auto listConfig(const Request& request) const -> void;
    auto showConfig(const Request& request) const -> void;
    auto showHistory(const Request& request) const -> void;
    auto showStatus(const Request& request) const -> void;
    auto kindOf(const Request& request) const -> std::optional<ConfigKind>;
    auto documentOf(ConfigKind kind) const -> nlohmann::json;

    const AdminApiParts parts_;
    const OperatorTeams teams_;
};

} // namespace wagtailhead
