#include "audit_log.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace wagtailhead;
using namespace wagtailhead::standin;

/// Guards against executions that are missing, mixed up or without their end.
Test(audit_log, every_execution_is_listed_with_its_state)
{
    const WallClock::time_point base { milliseconds(1'000) };
    AuditLog log;
    const auto first = log.begin({ "k1", "n/1", "critical", "r1", "POST", "/orders" }, base);
    const auto second = log.begin({ "\xff", "n/2", "bulk", "", "GET", "/a" }, base + milliseconds(1));
    log.end(second, ExecutionState::Cancelled, base + milliseconds(5));

    auto rows = nlohmann::json::parse(log.text(0)).at("executions");
    cr_assert_eq(rows.size(), 2U);
    cr_assert_eq(rows[first].at("key"), "k1");
    cr_assert_eq(rows[first].at("attempt"), "n/1");
    cr_assert_eq(rows[first].at("class"), "critical");
    cr_assert_eq(rows[first].at("state"), "running");
    cr_assert(rows[first].at("end").is_null());
    cr_assert_eq(rows[second].at("state"), "cancelled");
    cr_assert_eq(rows[second].at("start"), 1'001);
    cr_assert_eq(rows[second].at("end"), 1'005);
    cr_assert_eq(log.count(ExecutionState::Running), 1U);
    cr_assert_eq(log.count(ExecutionState::Cancelled), 1U);
    cr_assert_eq(nlohmann::json::parse(log.text(1)).at("executions").size(), 1U);
    cr_assert(nlohmann::json::parse(log.text(9)).at("executions").empty());
}

/// Guards against executions that a killed process takes with it, and against a replaced process that
/// overwrites the file of the one before.
Test(audit_log, file_has_every_begin_and_end)
{
    const auto path
        = std::filesystem::temp_directory_path() / ("audit_log_test." + std::to_string(getpid()) + ".jsonl");
    const WallClock::time_point base { milliseconds(1'000) };
    for (int i = 0; i < 2; ++i) {
        AuditLog log;
        cr_assert(isOk(log.writeTo(path.string())));
        const auto index = log.begin({ "k1", "n/1", "critical", "r1", "POST", "/orders" }, base);
        log.begin({ "k2", "n/2", "critical", "r2", "POST", "/orders" }, base);
        log.end(index, ExecutionState::Done, base + milliseconds(4));
    }
    std::ifstream file(path);
    std::vector<nlohmann::json> rows;
    for (std::string line; std::getline(file, line);) {
        rows.push_back(nlohmann::json::parse(line));
    }
    std::filesystem::remove(path);
    cr_assert_eq(rows.size(), 6U);
    cr_assert_eq(rows[0].at("key"), "k1");
    cr_assert_eq(rows[0].at("requestId"), "r1");
    cr_assert_eq(rows[0].at("start"), 1'000);
    cr_assert_eq(rows[2].at("number"), rows[0].at("number"));
    cr_assert_eq(rows[2].at("end"), 1'004);
    cr_assert_eq(rows[2].at("state"), "done");
    cr_assert(!isOk(AuditLog().writeTo("/no/such/folder/audit")));
}
