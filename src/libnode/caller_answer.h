/// HTTP answers to callers: headers, statuses and bodies of the caller contract. Internal to the library.
#pragma once

#include "wagtailhead/http.h"
#include "wagtailhead/messages.h"

#include <string>

namespace wagtailhead {

namespace headers {

constexpr const char* idempotencyKey = "Idempotency-Key";
constexpr const char* deadline = "Wagtailhead-Deadline-Ms";
constexpr const char* outcome = "Wagtailhead-Outcome";
constexpr const char* reason = "Wagtailhead-Reason";
constexpr const char* requestId = "Wagtailhead-Request-Id";
constexpr const char* context = "Wagtailhead-Context";
constexpr const char* attempt = "Wagtailhead-Attempt";
constexpr const char* requestClass = "Wagtailhead-Class";

} // namespace headers

/// Returns an answer for a request that has not been executed and will not be.
auto notRun(std::string reason, int status = 503) -> Answer;

/// Returns an answer for a request that may have been executed.
auto unknownOutcome(std::string reason) -> Answer;

/// Turns an answer into the HTTP response of the caller contract. `requestId` may be empty.
auto toHttpResponse(const Answer& answer, const std::string& requestId) -> HttpResponse;

} // namespace wagtailhead
