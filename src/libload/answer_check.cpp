#include "answer_check.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace wagtailhead::load {

namespace {

constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;

auto failureReason(HttpFailure failure) -> const char*
{
    switch (failure) {
    case HttpFailure::NotSent:
        return "not-sent";
    case HttpFailure::Lost:
        return "connection-lost";
    case HttpFailure::Timeout:
        return "timeout";
    case HttpFailure::Cancelled:
        break;
    }
    return "cancelled";
}

auto endOf(const HttpResponse& response) -> AttemptEnd
{
    const auto outcome = findHeader(response.headers_, "Wagtailhead-Outcome").value_or("");
    if (outcome == "completed") {
        const bool success = response.status_ >= firstSuccess && response.status_ < firstRedirect;
        return success ? AttemptEnd::Completed : AttemptEnd::Failed;
    }
    return outcome == "not-run" ? AttemptEnd::NotRun
        : outcome == "unknown"  ? AttemptEnd::Unknown
                                : AttemptEnd::NoAnswer;
}

/// Returns which sub-call in the answer of a backend server stand-in failed, with the reasons of all its
/// attempts, or "" if none did.
auto failedSubCall(const std::string& body) -> std::string
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("subCalls") || !answer["subCalls"].is_array()) {
        return "";
    }
    for (const auto& call : answer["subCalls"]) {
        if (!call.is_object()) {
            continue;
        }
        const auto status = call.value("status", 0);
        const auto reason = call.value("reason", "");
        if (reason.empty() || (status >= firstSuccess && status < firstRedirect)) {
            continue;
        }
        std::string text = " " + call.value("call", "");
        for (const auto& earlier : call.value("earlierReasons", std::vector<std::string> {})) {
            text += " " + earlier + ",";
        }
        return text + " " + (reason == "ok" ? std::to_string(status) : reason);
    }
    return "";
}

/// Returns whether `padding` repeats `unit` and nothing else.
auto repeats(std::string_view padding, std::string_view unit) -> bool
{
    if (unit.empty() || padding.size() % unit.size() != 0) {
        return false;
    }
    for (; !padding.empty(); padding.remove_prefix(unit.size())) {
        if (!padding.starts_with(unit)) {
            return false;
        }
    }
    return true;
}

} // namespace

auto parseRequestId(std::string_view text) -> std::uint64_t
{
    constexpr int hexadecimal = 16;
    std::uint64_t id = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), id, hexadecimal);
    return code == std::errc() && end == text.data() + text.size() ? id : 0;
}

auto readAnswer(const HttpResult& result) -> AttemptRecord
{
    AttemptRecord record;
    if (const auto* failure = std::get_if<HttpFailure>(&result)) {
        record.reason_ = failureReason(*failure);
        return record;
    }
    const auto& response = std::get<HttpResponse>(result);
    record.end_ = endOf(response);
    record.reason_ = findHeader(response.headers_, "Wagtailhead-Reason").value_or("no-outcome");
    if (record.end_ == AttemptEnd::Failed) {
        record.reason_ = "status-" + std::to_string(response.status_) + failedSubCall(response.body_);
    }
    record.requestId_ = parseRequestId(findHeader(response.headers_, "Wagtailhead-Request-Id").value_or(""));
    return record;
}

auto belongsTo(std::string_view body, std::string_view key, std::string_view path) -> bool
{
    // The padding of a long answer is compared as text: parsing it would cost the sender milliseconds.
    constexpr std::string_view unitField = R"(,"paddingUnit":")";
    constexpr std::string_view paddingField = R"(","padding":")";
    constexpr std::string_view closing = "\"}";
    std::string head(body);
    if (const auto unitAt = body.find(unitField); unitAt != std::string_view::npos) {
        head = std::string(body.substr(0, unitAt)) + "}";
        const auto rest = body.substr(unitAt + unitField.size());
        const auto paddingAt = rest.find(paddingField);
        if (paddingAt == std::string_view::npos || !rest.ends_with(closing)) {
            return false;
        }
        const auto padding = rest.substr(paddingAt + paddingField.size());
        if (!repeats(padding.substr(0, padding.size() - closing.size()), rest.substr(0, paddingAt))) {
            return false;
        }
    }
    const auto echo = nlohmann::json::parse(head, nullptr, false);
    const auto echoes = [&echo](const char* name, std::string_view expected) {
        const auto found = echo.find(name);
        return found != echo.end() && found->is_string() && found->get_ref<const std::string&>() == expected;
    };
    return echo.is_object() && echoes("key", key) && echoes("path", path);
}

} // namespace wagtailhead::load
