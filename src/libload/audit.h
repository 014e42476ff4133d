/// The executions that the backend server stand-ins recorded.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead::load {

enum class ExecutionEnd : std::uint8_t {
    Running, ///< No end is recorded: still running, or ended with its process.
    Done,
    Cancelled,
    Failed,
};

struct Execution {
    std::string service_;
    std::string key_;
    std::string attempt_; ///< Empty for a call that no node sent.
    std::uint64_t requestId_ = 0; ///< Root id; 0 for a call that no node sent.
    std::string method_;
    std::string path_; ///< Without the service name and the query.
    milliseconds start_ { 0 }; ///< Since the Unix epoch, as is the end.
    std::optional<milliseconds> end_;
    ExecutionEnd state_ = ExecutionEnd::Running;

    /// Returns the length; an execution without an end lasts until `now`.
    auto length(milliseconds now) const -> milliseconds
    {
        return end_.value_or(now) - start_;
    }
};

using Executions = std::vector<Execution>;

/// Parses the answer to `GET /audit` of a backend server of `service`.
auto parseAudit(std::string_view service, std::string_view text) -> Result<Executions>;

/// Parses an audit file: one JSON object in each line, for the begin or the end of an execution. A line that
/// is cut off, as the last one of a killed process may be, is skipped. Executions of a process that ended
/// without recording their end end with the last line of that process.
auto parseAuditFile(std::string_view service, std::string_view text) -> Executions;

} // namespace wagtailhead::load
