#include "store_wire.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace wagtailhead {

namespace {

using Json = nlohmann::ordered_json;
using Verb = StoreCommand::Verb;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
constexpr int statusTooManyRequests = 429;
constexpr int statusInternalError = 500;
constexpr int statusUnavailable = 503;

auto isWrite(Verb verb) -> bool
{
    return verb == Verb::Create || verb == Verb::Replace || verb == Verb::Remove;
}

auto verbName(Verb verb) -> const char*
{
    static constexpr std::array names { "get", "list", "create", "replace", "remove", "watch" };
    return names.at(static_cast<std::size_t>(verb));
}

auto joined(const std::vector<std::string>& parts) -> std::string
{
    std::string text;
    for (const auto& part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

auto describe(const StoreCommand& command) -> std::string
{
    const auto& what = command.verb_ == Verb::Watch ? joined(command.prefixes_) : command.key_;
    return std::string("store ") + verbName(command.verb_) + " of '" + what + "'";
}

auto fail(const StoreCommand& command, ErrorCode code, const std::string& reason) -> StoreFailure
{
    return { { code, describe(command) + ": " + reason }, std::nullopt };
}

/// The failure of a call that may have reached the store.
auto unknownEffect(const StoreCommand& command, const std::string& reason) -> StoreFailure
{
    return isWrite(command.verb_) ? fail(command, ErrorCode::Timeout, reason + "; its effect is not known")
                                  : fail(command, ErrorCode::Unavailable, reason);
}

auto parseObject(const Json& json) -> StoreObject
{
    return { json.at("key").get<std::string>(), json.at("version").get<StoreVersion>(),
        json.at("value").dump() };
}

auto parseListing(const Json& json) -> StoreListing
{
    StoreListing listing;
    listing.version_ = json.at("version").get<StoreVersion>();
    for (const auto& object : json.at("objects")) {
        listing.objects_.push_back(parseObject(object));
    }
    if (const auto deleted = json.find("deleted"); deleted != json.end()) {
        listing.deleted_ = deleted->get<std::vector<std::string>>();
    }
    return listing;
}

auto parseSuccess(const StoreCommand& command, const Json& json) -> StoreAnswer
{
    switch (command.verb_) {
    case Verb::Get:
        return parseObject(json);
    case Verb::List:
    case Verb::Watch:
        return parseListing(json);
    case Verb::Create:
    case Verb::Replace:
        return json.at("version").get<StoreVersion>();
    case Verb::Remove:
        break;
    }
    return StoreVersion { 0 };
}

/// A version of 0 says that there is no such object.
auto parseConflict(const StoreCommand& command, const std::string& body) -> StoreFailure
{
    auto failure = fail(command, ErrorCode::Conflict, "the condition does not hold");
    const auto json = Json::parse(body, nullptr, false);
    if (json.is_object() && json.contains("version") && json["version"].is_number_unsigned()
        && json["version"].get<StoreVersion>() > 0 && json.contains("value")) {
        failure.current_ = { command.key_, json["version"].get<StoreVersion>(), json["value"].dump() };
    }
    return failure;
}

auto parseResponse(const StoreCommand& command, const HttpResponse& response) -> StoreAnswer
{
    const auto status = response.status_;
    const auto reason = "status " + std::to_string(status);
    if (status == statusOk) {
        try {
            const bool bodiless = command.verb_ == Verb::Remove;
            return parseSuccess(command, bodiless ? Json() : Json::parse(response.body_));
        } catch (const Json::exception& error) {
            return unknownEffect(command, std::string("malformed answer: ") + error.what());
        }
    }
    if (status == statusPreconditionFailed) {
        return parseConflict(command, response.body_);
    }
    if (status == statusNotFound) {
        return fail(command, ErrorCode::NotFound, "there is no such object");
    }
    if (status == statusUnauthorized || status == statusForbidden) {
        return fail(command, ErrorCode::Denied, reason);
    }
    if (status == statusUnavailable || status == statusTooManyRequests) {
        return fail(command, ErrorCode::Unavailable, reason);
    }
    if (status >= statusInternalError) {
        return unknownEffect(command, reason);
    }
    return fail(
        command, status >= statusBadRequest ? ErrorCode::InvalidArgument : ErrorCode::Internal, reason);
}

auto parseFailure(const StoreCommand& command, HttpFailure failure) -> StoreFailure
{
    switch (failure) {
    case HttpFailure::NotSent:
        return fail(command, ErrorCode::Unavailable, "no connection");
    case HttpFailure::Lost:
        return unknownEffect(command, "the connection was lost");
    case HttpFailure::Timeout:
        return fail(command, ErrorCode::Timeout, "no answer in time");
    case HttpFailure::Cancelled:
        return unknownEffect(command, "cancelled");
    }
    return fail(command, ErrorCode::Internal, "unknown failure");
}

} // namespace

auto storeRequest(const StoreCommand& command) -> HttpRequest
{
    const auto object = "/v1/objects/" + command.key_;
    const auto version = std::to_string(command.version_);
    const std::pair<std::string, std::string> json { "Content-Type", "application/json" };
    switch (command.verb_) {
    case Verb::Get:
        return { "GET", object, {}, {} };
    case Verb::List:
        return { "GET", "/v1/objects?prefix=" + command.key_, {}, {} };
    case Verb::Create:
        return { "PUT", object, { { "If-None-Match", "*" }, json }, command.value_ };
    case Verb::Replace:
        return { "PUT", object, { { "If-Match", version }, json }, command.value_ };
    case Verb::Remove:
        return { "DELETE", object, { { "If-Match", version } }, {} };
    case Verb::Watch:
        break;
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(command.wait_).count();
    return { "GET",
        "/v1/watch?prefix=" + joined(command.prefixes_) + "&since=" + version
            + "&timeout-ms=" + std::to_string(wait),
        {}, {} };
}

auto parseStoreAnswer(const StoreCommand& command, const HttpResult& result) -> StoreAnswer
{
    if (const auto* response = std::get_if<HttpResponse>(&result)) {
        return parseResponse(command, *response);
    }
    return parseFailure(command, std::get<HttpFailure>(result));
}

} // namespace wagtailhead
