#include "audit.h"

#include "answer_check.h"

#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace wagtailhead::load {

namespace {

using Json = nlohmann::json;

auto textOf(const Json& row, const char* name) -> std::string
{
    const auto found = row.find(name);
    return found != row.end() && found->is_string() ? found->get<std::string>() : std::string();
}

auto numberOf(const Json& row, const char* name) -> std::int64_t
{
    const auto found = row.find(name);
    return found != row.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

auto endOf(std::string_view state) -> ExecutionEnd
{
    return state == "done"     ? ExecutionEnd::Done
        : state == "cancelled" ? ExecutionEnd::Cancelled
        : state == "failed"    ? ExecutionEnd::Failed
                               : ExecutionEnd::Running;
}

auto withoutQuery(std::string path) -> std::string
{
    return path.substr(0, path.find('?'));
}

auto readExecution(std::string_view service, const Json& row) -> Execution
{
    Execution execution;
    execution.service_ = service;
    execution.key_ = textOf(row, "key");
    execution.attempt_ = textOf(row, "attempt");
    execution.requestId_ = parseRequestId(textOf(row, "requestId"));
    execution.method_ = textOf(row, "method");
    execution.path_ = withoutQuery(textOf(row, "path"));
    execution.start_ = milliseconds(numberOf(row, "start"));
    execution.state_ = endOf(textOf(row, "state"));
    if (const auto end = numberOf(row, "end"); end != 0) {
        execution.end_ = milliseconds(end);
    }
    return execution;
}

} // namespace

auto parseAudit(std::string_view service, std::string_view text) -> Result<Executions>
{
    const auto document = Json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("executions") || !document["executions"].is_array()) {
        return Error { ErrorCode::InvalidArgument,
            "the audit of service " + std::string(service) + " has no array 'executions'" };
    }
    Executions executions;
    for (const auto& row : document["executions"]) {
        executions.push_back(readExecution(service, row));
    }
    return executions;
}

auto parseAuditFile(std::string_view service, std::string_view text) -> Executions
{
    struct Process {
        std::map<std::int64_t, std::size_t> open_; ///< Position by number of the execution.
        milliseconds last_ { 0 };
    };
    Executions executions;
    std::map<std::int64_t, Process> processes; // By pid: a replaced VM goes on in the same file.
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        const auto row = Json::parse(line, nullptr, false);
        if (!row.is_object()) {
            continue;
        }
        auto& process = processes[numberOf(row, "pid")];
        const auto number = numberOf(row, "number");
        process.last_ = std::max(process.last_, milliseconds(numberOf(row, "at")));
        if (row.contains("start")) {
            process.open_[number] = executions.size();
            executions.push_back(readExecution(service, row));
        } else if (const auto found = process.open_.find(number); found != process.open_.end()) {
            executions[found->second].end_ = milliseconds(numberOf(row, "end"));
            executions[found->second].state_ = endOf(textOf(row, "state"));
            process.open_.erase(found);
        }
    }
    for (const auto& [pid, process] : processes) {
        for (const auto& [number, position] : process.open_) {
            executions[position].end_ = std::max(process.last_, executions[position].start_);
        }
    }
    return executions;
}

} // namespace wagtailhead::load
