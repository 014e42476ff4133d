#include "audit_log.h"

#include <nlohmann/json.hpp>

namespace wagtailhead::standin {

namespace {

auto unixMilliseconds(WallClock::time_point time) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace

auto executionStateName(ExecutionState state) -> const char*
{
    constexpr std::array<const char*, executionStateCount> names { "running", "done", "cancelled", "failed" };
    return names.at(static_cast<std::size_t>(state));
}

auto AuditLog::begin(CallIdentity identity, WallClock::time_point now) -> Index
{
    executions_.push_back({ std::move(identity), now, std::nullopt, ExecutionState::Running });
    ++counts_.at(static_cast<std::size_t>(ExecutionState::Running));
    return executions_.size() - 1;
}

auto AuditLog::end(Index index, ExecutionState state, WallClock::time_point now) -> void
{
    auto& execution = executions_.at(index);
    --counts_.at(static_cast<std::size_t>(execution.state_));
    ++counts_.at(static_cast<std::size_t>(state));
    execution.state_ = state;
    execution.end_ = now;
}

auto AuditLog::count(ExecutionState state) const -> std::size_t
{
    return counts_.at(static_cast<std::size_t>(state));
}

auto AuditLog::text(Index skipped) const -> std::string
{
    std::string text = R"({"executions":[)";
    for (Index i = skipped; i < executions_.size(); ++i) {
        const auto& [identity, start, end, state] = executions_[i];
        const nlohmann::json row { { "key", identity.key_ }, { "attempt", identity.attempt_ },
            { "class", identity.class_ }, { "requestId", identity.requestId_ },
            { "method", identity.method_ }, { "path", identity.path_ }, { "start", unixMilliseconds(start) },
            { "end", end ? nlohmann::json(unixMilliseconds(*end)) : nlohmann::json() },
            { "state", executionStateName(state) } };
        text += i == skipped ? "" : ",";
        text += row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    return text + "]}";
}

} // namespace wagtailhead::standin
