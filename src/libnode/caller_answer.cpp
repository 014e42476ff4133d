#include "caller_answer.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
/// Seconds after which a refused caller may try again.
constexpr const char* retryAfterSeconds = "1";

auto reasonBody(const Answer& answer, const std::string& requestId) -> std::string
{
    return nlohmann::json {
        { "outcome", outcomeName(answer.outcome_) }, { "reason", answer.reason_ }, { "requestId", requestId }
    }.dump()
        + "\n";
}

} // namespace

auto notRun(std::string reason, int status) -> Answer
{
    return { Outcome::NotRun, status, std::move(reason), {}, {} };
}

auto unknownOutcome(std::string reason) -> Answer
{
    return { Outcome::Unknown, statusTimeout, std::move(reason), {}, {} };
}

auto toHttpResponse(const Answer& answer, const std::string& requestId) -> HttpResponse
{
    HttpResponse response;
    response.status_ = answer.status_;
    response.headers_ = answer.headers_;
    response.headers_.emplace_back(headers::outcome, outcomeName(answer.outcome_));
    response.headers_.emplace_back(headers::reason, answer.reason_);
    if (!requestId.empty()) {
        response.headers_.emplace_back(headers::requestId, requestId);
    }
    if (answer.outcome_ == Outcome::Completed) {
        response.body_ = answer.body_;
        return response;
    }
    response.headers_.emplace_back("Content-Type", "application/json");
    if (answer.status_ == statusUnavailable) {
        response.headers_.emplace_back("Retry-After", retryAfterSeconds);
    }
    response.body_ = reasonBody(answer, requestId);
    return response;
}

} // namespace wagtailhead
