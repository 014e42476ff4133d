#include "backend_answer.h"

#include "wagtailhead/ids.h"

#include <nlohmann/json.hpp>

namespace wagtailhead::standin {

namespace {

constexpr int firstErrorStatus = 400;

auto dumpText(const nlohmann::json& json) -> std::string
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto subCallsJson(const std::vector<SubCallOutcome>& subCalls) -> nlohmann::json
{
    auto rows = nlohmann::json::array();
    for (const auto& outcome : subCalls) {
        rows.push_back(
            { { "call", outcome.call_.method_ + " " + outcome.call_.service_ + ":" + outcome.call_.path_ },
                { "status", outcome.status_ }, { "attempts", outcome.attempts_ },
                { "outcome", outcome.outcome_ }, { "reason", outcome.reason_ },
                { "earlierReasons", outcome.earlierReasons_ } });
    }
    return rows;
}

} // namespace

auto SubCallOutcome::succeeded() const -> bool
{
    return status_ > 0 && status_ < firstErrorStatus;
}

auto backendAnswer(std::string_view service, const CallIdentity& identity, std::string_view requestBody,
    const std::vector<SubCallOutcome>& subCalls, std::size_t minBytes) -> std::string
{
    const nlohmann::json answer { { "service", service }, { "key", identity.key_ },
        { "attempt", identity.attempt_ }, { "class", identity.class_ }, { "requestId", identity.requestId_ },
        { "method", identity.method_ }, { "path", identity.path_ },
        { "bodyHash", formatId(stableHash(requestBody)) }, { "bodyBytes", requestBody.size() },
        { "subCalls", subCallsJson(subCalls) } };
    std::string text = dumpText(answer);
    const auto unit = formatId(stableHash(identity.attempt_ + " " + identity.path_));
    const std::string opening = R"(,"paddingUnit":")" + unit + R"(","padding":")";
    constexpr std::string_view closing = "\"}";
    if (text.size() >= minBytes) {
        return text;
    }
    text.pop_back();
    text += opening;
    text.reserve(minBytes + unit.size() + closing.size());
    while (text.size() + closing.size() < minBytes) {
        text += unit;
    }
    return text.append(closing);
}

auto subCallBody(std::string_view service, const CallIdentity& parent, std::size_t index) -> std::string
{
    return dumpText({ { "from", service }, { "parent", parent.key_.empty() ? parent.attempt_ : parent.key_ },
        { "call", index } });
}

} // namespace wagtailhead::standin
