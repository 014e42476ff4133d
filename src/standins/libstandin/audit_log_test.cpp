#include "audit_log.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

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
