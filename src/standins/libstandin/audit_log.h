/// The record of every execution of a backend server stand-in.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhead::standin {

enum class ExecutionState : std::uint8_t {
    Running,
    Done,
    Cancelled,
    Failed,
};

constexpr std::size_t executionStateCount = 4;

/// Returns "running", "done", "cancelled" or "failed".
auto executionStateName(ExecutionState state) -> const char*;

/// What the caller's node told about a call.
struct CallIdentity {
    std::string key_;
    std::string attempt_;
    std::string class_;
    std::string requestId_;
    std::string method_;
    std::string path_; ///< Without the service name.
};

/// All executions since the start, in order of their start. Not thread safe.
class AuditLog {
public:
    using Index = std::size_t;

    /// Appends every begin and end to a file from now on, one JSON object in each line, so that the audit
    /// outlives the process.
    auto writeTo(const std::string& path) -> Result<Done>;

    auto begin(CallIdentity identity, WallClock::time_point now) -> Index;

    /// Precondition: the execution is running, and `state` is not Running.
    auto end(Index index, ExecutionState state, WallClock::time_point now) -> void;

    auto count(ExecutionState state) const -> std::size_t;

    /// Returns `{"executions":[...]}` as JSON text, without the first `skipped` executions.
    auto text(Index skipped) const -> std::string;

private:
    struct Execution {
        CallIdentity identity_;
        WallClock::time_point start_;
        std::optional<WallClock::time_point> end_;
        ExecutionState state_ = ExecutionState::Running;
    };

    auto writeLine(const std::string& text) const -> void;

    struct FileCloser {
        auto operator()(std::FILE* file) const -> void
        {
            std::fclose(file);
        }
    };

    std::unique_ptr<std::FILE, FileCloser> file_;
    std::vector<Execution> executions_;
    std::array<std::size_t, executionStateCount> counts_ {};
};

} // namespace wagtailhead::standin
