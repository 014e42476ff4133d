#include "admin_api.h"

#include "wagtailhead/log.h"
#include "wagtailhead/metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

constexpr std::string_view adminPrefix = "/-/admin/";
constexpr std::string_view bearerScheme = "bearer ";
constexpr int statusOk = 200;
constexpr int statusCreated = 201;

struct CodeStatus {
    std::string_view code_;
    int status_;
};

constexpr CodeStatus codeStatuses[] = {
    { operator_code::unauthorized, 401 },
    { operator_code::forbidden, 403 },
    { operator_code::notFound, 404 },
    { operator_code::baseChanged, 409 },
    { operator_code::serviceEmpty, 409 },
    { operator_code::nodeAlive, 409 },
    { operator_code::planExpired, 409 },
    { operator_code::invalidIntent, 422 },
    { operator_code::noChange, 422 },
    { operator_code::unknownNode, 422 },
    { operator_code::tooLarge, 422 },
    { operator_code::storeUnavailable, 503 },
    { operator_code::outcomeUnknown, 503 },
    { operator_code::planUnreadable, 503 },
};

auto statusOf(std::string_view code) -> int
{
    const auto* found
        = std::find_if(std::begin(codeStatuses), std::end(codeStatuses), [&](const CodeStatus& entry) {
              return entry.code_ == code;
          });
    return found == std::end(codeStatuses) ? 503 : found->status_;
}

auto respond(HttpResponder& responder, int status, const Json& body) -> void
{
    counter("wagtailhead_admin_answers_total", "Answers of the administration API.",
        { { "status", std::to_string(status) } })
        .Increment();
    HttpResponse response { status, { { "Content-Type", "application/json" } }, {} };
    if (status == 401) {
        response.headers_.emplace_back("WWW-Authenticate", "Bearer");
    }
    // Paths may contain bytes that are no UTF-8.
    response.body_ = body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
    responder.respond(std::move(response));
}

auto respond(HttpResponder& responder, const OperatorError& error) -> void
{
    Json body { { "error", error.code_ }, { "detail", error.detail_ } };
    if (error.generation_) {
        body["generation"] = *error.generation_;
        body["changedSince"] = Json::parse(formatHistory(error.changedSince_));
    }
    if (!error.services_.empty()) {
        body["services"] = error.services_;
    }
    respond(responder, statusOf(error.code_), body);
}

auto intentJson(const IntentState& state) -> Json
{
    auto json = Json::parse(formatPlan(state.plan_));
    json["state"] = state.state_;
    auto refusals = Json::array();
    for (const auto& service : state.plan_.plan_.emptied_) {
        const auto error = serviceEmpty({ service });
        refusals.push_back({ { "error", error.code_ }, { "detail", error.detail_ }, { "service", service } });
    }
    json["refusals"] = std::move(refusals);
    return json;
}

/// One line of a list of intents.
auto intentRow(const IntentState& state) -> Json
{
    const auto& plan = state.plan_.plan_;
    Json json { { "id", plan.id_ }, { "kind", configKindName(plan.intent_.kind_) }, { "team", plan.team_ },
        { "state", state.state_ }, { "summary", plan.summary_ }, { "baseGeneration", plan.baseGeneration_ } };
    const auto whole = Json::parse(formatPlan(state.plan_));
    for (const auto* field : { "created", "expires", "confirmed" }) {
        if (whole.contains(field)) {
            json[field] = whole[field];
        }
    }
    return json;
}

auto split(std::string_view path) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = path.find('/', begin)) != std::string_view::npos; begin = end + 1) {
        parts.emplace_back(path.substr(begin, end - begin));
    }
    parts.emplace_back(path.substr(begin));
    return parts;
}

/// Intent ids become parts of keys in the store.
auto isIntentId(const std::string& text) -> bool
{
    constexpr std::size_t length = 16;
    return text.size() == length && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isdigit(c) || (c >= 'a' && c <= 'f');
    });
}

/// Returns the token of an Authorization header, or an empty text.
auto bearerToken(const HttpRequest& request) -> std::string
{
    const auto header = findHeader(request.headers_, "Authorization").value_or("");
    const bool matches = header.size() > bearerScheme.size()
        && std::equal(bearerScheme.begin(), bearerScheme.end(), header.begin(), [](char scheme, char given) {
               return scheme == std::tolower(static_cast<unsigned char>(given));
           });
    return matches ? header.substr(bearerScheme.size()) : std::string();
}

/// Reads the field `force` of a confirm; an empty body stands for {}.
auto parseForce(const std::string& body) -> OperatorResult<bool>
{
    const auto json = body.empty() ? Json::object() : Json::parse(body, nullptr, false);
    const bool valid = json.is_object() && json.size() == json.count("force")
        && (json.empty() || json["force"].is_boolean());
    if (!valid) {
        return OperatorError { operator_code::invalidIntent,
            "the body of a confirm has to be empty or {\"force\":true} or {\"force\":false}" };
    }
    return json.value("force", false);
}

auto writeJson(const ConfirmDone& done, const std::string& id) -> Json
{
    return { { "id", id }, { "kind", configKindName(done.kind_) }, { "state", "confirmed" },
        { "generation", done.generation_ }, { "repeated", done.repeated_ }, { "notes", done.notes_ } };
}

} // namespace

/// A request of a known team, with its path below the prefix.
struct AdminApi::Request {
    std::vector<std::string> path_;
    const HttpRequest& http_;
    std::shared_ptr<HttpResponder> responder_;
    const OperatorTeam& team_;
};

AdminApi::AdminApi(AdminApiParts parts, OperatorTeams teams)
    : parts_(std::move(parts))
    , teams_(std::move(teams))
{
    for (const auto& team : teams_.teams_) {
        if (team.token_.isShort()) {
            logEvent(LogLevel::Warning, "operator_token_short", { { "team", team.name_ } });
        }
    }
}

auto AdminApi::handle(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) const
    -> void
{
    struct Route {
        const char* method_;
        std::vector<std::string_view> path_; ///< "*" matches any part.
        Handler handler_;
    };
    static const std::vector<Route> routes {
        { "POST", { "intents" }, &AdminApi::createIntent },
        { "GET", { "intents" }, &AdminApi::listIntents },
        { "GET", { "intents", "*" }, &AdminApi::showIntent },
        { "POST", { "intents", "*", "confirm" }, &AdminApi::confirmIntent },
        { "GET", { "config" }, &AdminApi::listConfig },
        { "GET", { "config", "*" }, &AdminApi::showConfig },
        { "GET", { "history", "*" }, &AdminApi::showHistory },
        { "GET", { "status" }, &AdminApi::showStatus },
    };
    const auto* team = teams_.find(bearerToken(request));
    if (!team) {
        respond(*responder,
            OperatorError { operator_code::unauthorized,
                "the header 'Authorization: Bearer TOKEN' with the token of a team is required" });
        return;
    }
    const auto path = request.target_.substr(0, request.target_.find('?'));
    Request known { split(std::string_view(path).substr(adminPrefix.size())), request, responder, *team };
    for (const auto& route : routes) {
        const bool matches = request.method_ == route.method_
            && std::equal(route.path_.begin(), route.path_.end(), known.path_.begin(), known.path_.end(),
                [](std::string_view wanted, const std::string& part) {
                    return wanted == "*" ? !part.empty() : wanted == part;
                });
        if (matches) {
            (this->*route.handler_)(known);
            return;
        }
    }
    respond(*responder,
        OperatorError { operator_code::notFound, "no such path: " + request.method_ + " " + path });
}

auto AdminApi::createIntent(const Request& request) const -> void
{
    auto intent = parseIntent(request.http_.body_);
    if (!isOk(intent)) {
        respond(*request.responder_, OperatorError { operator_code::invalidIntent, errorOf(intent).text_ });
        return;
    }
    parts_.intents_.create(request.team_, valueOf(intent),
        [responder = request.responder_](const OperatorResult<IntentState>& result) {
            if (const auto* error = std::get_if<OperatorError>(&result)) {
                respond(*responder, *error);
            } else {
                respond(*responder, statusCreated, intentJson(std::get<IntentState>(result)));
            }
        });
}

auto AdminApi::listIntents(const Request& request) const -> void
{
    parts_.intents_.list(
        [responder = request.responder_](const OperatorResult<std::vector<IntentState>>& result) {
            if (const auto* error = std::get_if<OperatorError>(&result)) {
                respond(*responder, *error);
                return;
            }
            auto rows = Json::array();
            for (const auto& state : std::get<0>(result)) {
                rows.push_back(intentRow(state));
            }
            respond(*responder, statusOk, { { "intents", rows } });
        });
}

auto AdminApi::showIntent(const Request& request) const -> void
{
    const auto& id = request.path_[1];
    if (!isIntentId(id)) {
        respond(*request.responder_,
            OperatorError {
                operator_code::notFound, "'" + id + "' is no intent id of 16 hexadecimal digits" });
        return;
    }
    parts_.intents_.show(id, [responder = request.responder_](const OperatorResult<IntentState>& result) {
        if (const auto* error = std::get_if<OperatorError>(&result)) {
            respond(*responder, *error);
        } else {
            respond(*responder, statusOk, intentJson(std::get<IntentState>(result)));
        }
    });
}

auto AdminApi::confirmIntent(const Request& request) const -> void
{
    const auto& id = request.path_[1];
    const auto force = parseForce(request.http_.body_);
    if (!isIntentId(id)) {
        respond(*request.responder_,
            OperatorError {
                operator_code::notFound, "'" + id + "' is no intent id of 16 hexadecimal digits" });
        return;
    }
    if (const auto* error = std::get_if<OperatorError>(&force)) {
        respond(*request.responder_, *error);
        return;
    }
    parts_.intents_.confirm(request.team_, id, std::get<bool>(force),
        [id, responder = request.responder_](const OperatorResult<ConfirmDone>& result) {
            if (const auto* error = std::get_if<OperatorError>(&result)) {
                respond(*responder, *error);
            } else {
                respond(*responder, statusOk, writeJson(std::get<ConfirmDone>(result), id));
            }
        });
}

auto AdminApi::kindOf(const Request& request) const -> std::optional<ConfigKind>
{
    const auto kind = parseConfigKind(request.path_[1]);
    if (isOk(kind)) {
        return valueOf(kind);
    }
    respond(*request.responder_, OperatorError { operator_code::notFound, errorOf(kind).text_ });
    return std::nullopt;
}

auto AdminApi::documentOf(ConfigKind kind) const -> nlohmann::json
{
    const auto config = parts_.config_.current();
    const auto found = config->generations_.find(kind);
    const auto inForce = found == config->generations_.end() ? 0 : found->second;
    Json json { { "kind", configKindName(kind) }, { "generation", inForce }, { "document", nullptr } };
    const auto text = parts_.intents_.document(kind);
    if (!text) {
        return json;
    }
    const auto record = planBase(*text, std::nullopt).record_;
    const auto editable = editableDocument(*text, record.generation_);
    if (isOk(editable)) {
        json["document"] = Json::parse(valueOf(editable));
    }
    if (!record.intent_.empty()) {
        json["intent"] = record.intent_;
    }
    // A document that is newer than the one in force is invalid, or is just being taken in.
    json["inForce"] = record.generation_ == inForce;
    return json;
}

auto AdminApi::listConfig(const Request& request) const -> void
{
    auto kinds = Json::object();
    for (const auto kind : allConfigKinds) {
        kinds[configKindName(kind)] = documentOf(kind);
    }
    respond(*request.responder_, statusOk, { { "config", kinds } });
}

auto AdminApi::showConfig(const Request& request) const -> void
{
    if (const auto kind = kindOf(request)) {
        respond(*request.responder_, statusOk, documentOf(*kind));
    }
}

auto AdminApi::showHistory(const Request& request) const -> void
{
    const auto kind = kindOf(request);
    if (!kind) {
        return;
    }
    const auto record = planBase(parts_.intents_.document(*kind), std::nullopt).record_;
    respond(*request.responder_, statusOk,
        { { "kind", configKindName(*kind) }, { "generation", record.generation_ },
            { "history", Json::parse(formatHistory(record.history_)) } });
}

auto AdminApi::showStatus(const Request& request) const -> void
{
    parts_.status_([responder = request.responder_](const Json& status) {
        respond(*responder, statusOk, status);
    });
}

} // namespace wagtailhead
