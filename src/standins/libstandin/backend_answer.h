/// The answer of a backend server stand-in, which proves to whom it belongs and that it is whole.
#pragma once

#include "audit_log.h"
#include "call_table.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead::standin {

/// How one sub-call ended.
struct SubCallOutcome {
    SubCall call_;
    int status_ = 0; ///< HTTP status of the last answer; 0 if there was none.
    int attempts_ = 0; ///< How often the stand-in sent it.
    std::string outcome_; ///< `Wagtailhead-Outcome` of the last answer.
    std::string reason_; ///< `Wagtailhead-Reason` of the last answer, or how the connection failed.
    std::vector<std::string> earlierReasons_ {}; ///< Of the attempts before the last one, in their order.

    /// Returns whether the last answer was a success.
    auto succeeded() const -> bool;
};

/// Returns a JSON text with the service, the identity of the call, the hash of the request body and the
/// sub-calls. It has at least `minBytes` bytes: the field "padding" repeats the hash of the attempt and
/// path (field "paddingUnit"), so that a reader can check every byte of a long answer.
auto backendAnswer(std::string_view service, const CallIdentity& identity, std::string_view requestBody,
    const std::vector<SubCallOutcome>& subCalls, std::size_t minBytes) -> std::string;

/// Returns the body of a sub-call. It depends on the key of the parent alone if there is one, so that a
/// repeat of the parent sends equal sub-calls.
auto subCallBody(std::string_view service, const CallIdentity& parent, std::size_t index) -> std::string;

} // namespace wagtailhead::standin
