#include "audit_log.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace wagtailhead::standin {

namespace {

auto unixMilliseconds(WallClock::time_point time) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

auto identityJson(const CallIdentity& identity) -> nlohmann::json
{
    return { { "key", identity.key_ }, { "attempt", identity.attempt_ }, { "class", identity.class_ },
        { "requestId", identity.requestId_ }, { "method", identity.method_ }, { "path", identity.path_ } };
}

auto toText(const nlohmann::json& row) -> std::string
{
    return row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

auto executionStateName(ExecutionState state) -> const char*
{
    constexpr std::array<const char*, executionStateCount> names { "running", "done", "cancelled", "failed" };
    return names.at(static_cast<std::size_t>(state));
}

auto AuditLog::writeTo(const std::string& path) -> Result<Done>
{
    file_.reset(std::fopen(path.c_str(), "ae"));
    if (!file_) {
        return Error { ErrorCode::Unavailable, "file '" + path + "' cannot be opened for appending" };
    }
    return Done {};
}

auto AuditLog::writeLine(const std::string& text) const -> void
{
    std::fputs((text + "\n").c_str(), file_.get());
    std::fflush(file_.get()); // A killed process writes nothing more.
}

auto AuditLog::begin(CallIdentity identity, WallClock::time_point now) -> Index
{
    if (file_) {
        auto row = identityJson(identity);
        row["pid"] = getpid();
        row["number"] = executions_.size();
        row["at"] = row["start"] = unixMilliseconds(now);
        writeLine(toText(row));
    }
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
    if (file_) {
        writeLine(toText({ { "pid", getpid() }, { "number", index }, { "at", unixMilliseconds(now) },
            { "end", unixMilliseconds(now) }, { "state", executionStateName(state) } }));
    }
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
        auto row = identityJson(identity);
        row["start"] = unixMilliseconds(start);
        row["end"] = end ? nlohmann::json(unixMilliseconds(*end)) : nlohmann::json();
        row["state"] = executionStateName(state);
        text += i == skipped ? "" : ",";
        text += toText(row);
    }
    return text + "]}";
}

} // namespace wagtailhead::standin
