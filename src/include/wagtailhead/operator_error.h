/// Refusals and failures as operators get them: a stable code for programs and a sentence for people.
#pragma once

#include "wagtailhead/document_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wagtailhead {

/// The codes in the field `error` of an answer.
namespace operator_code {
constexpr const char* unauthorized = "unauthorized"; ///< No token, or an unknown one.
constexpr const char* forbidden = "forbidden"; ///< The team may not change these services.
constexpr const char* notFound = "not-found"; ///< No such path, kind or intent.
constexpr const char* invalidIntent = "invalid-intent"; ///< Malformed, or does not fit the documents.
constexpr const char* noChange = "no-change"; ///< The intent would change nothing.
constexpr const char* unknownNode = "unknown-node"; ///< A named node is no member.
constexpr const char* tooLarge = "too-large"; ///< The store does not take values of this size.
constexpr const char* nodeAlive = "node-alive"; ///< A node that shall be declared lost is running.
constexpr const char* baseChanged = "base-changed"; ///< The document is not the one that was planned for.
constexpr const char* serviceEmpty = "service-empty"; ///< A service would have no backend server left.
constexpr const char* planExpired = "plan-expired"; ///< The plan is older than a day.
constexpr const char* storeUnavailable = "store-unavailable"; ///< Nothing was written.
constexpr const char* outcomeUnknown = "outcome-unknown"; ///< A write may have taken effect.
constexpr const char* planUnreadable = "plan-unreadable"; ///< The stored plan is malformed.
} // namespace operator_code

struct OperatorError {
    std::string code_;
    std::string detail_;
    /// For base-changed: the generation now, and the changes since the plan's base as far as remembered.
    std::optional<std::uint64_t> generation_ = std::nullopt;
    std::vector<HistoryEntry> changedSince_ = {};
    /// For service-empty: the services.
    std::vector<std::string> services_ = {};
};

/// Either a value or an OperatorError.
template <typename T> using OperatorResult = std::variant<T, OperatorError>;

} // namespace wagtailhead
