#include "audit_check.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::load;

namespace {

constexpr auto wallBase = milliseconds(1'000'000);
const TimePoint steadyBase { seconds(50) };
const ClockPair clocks { steadyBase, wallBase };

auto kinds() -> RequestKinds
{
    return valueOf(kindsOf("perlu"));
}

auto attempt(int sentMs, int endedMs, AttemptEnd end, std::uint64_t id = 0) -> AttemptRecord
{
    return { steadyBase + milliseconds(sentMs), steadyBase + milliseconds(endedMs), end, "", id };
}

auto order(const std::string& key, std::vector<AttemptRecord> attempts) -> RequestRecord
{
    return { 0, steadyBase, key, std::move(attempts), true };
}

auto read(std::vector<AttemptRecord> attempts) -> RequestRecord
{
    return { 1, steadyBase, "", std::move(attempts), true };
}

auto execution(const std::string& service, const std::string& path, const std::string& key,
    std::uint64_t root, int startMs, int endMs, const char* method = "POST") -> Execution
{
    return { service, key, "n/1", root, method, path, wallBase + milliseconds(startMs),
        wallBase + milliseconds(endMs), ExecutionEnd::Done };
}

auto orderExecution(const std::string& key, std::uint64_t root, int startMs) -> Execution
{
    return execution("pasutijumi", "/orders", key, root, startMs, startMs + 10);
}

auto check(const Records& records, const Executions& executions) -> AuditFindings
{
    return checkAudits(kinds(), records, executions, clocks);
}

} // namespace

/// Guards against an order that ran twice being overlooked, also a derived sub-call and at another node.
Test(audit_check, duplicates)
{
    const Records records { order("k", { attempt(0, 20, AttemptEnd::Completed, 1) }) };
    cr_assert_eq(check(records, { orderExecution("k", 1, 1) }).duplicates_, 0U);
    cr_assert_eq(check(records, { orderExecution("k", 1, 1), orderExecution("k", 2, 5) }).duplicates_, 1U);
    const auto reserve = execution("krajums", "/reservations", "sub-1", 1, 3, 4);
    cr_assert_eq(check(records, { orderExecution("k", 1, 1), reserve }).duplicates_, 0U);
    cr_assert_eq(check(records, { orderExecution("k", 1, 1), reserve, reserve }).duplicates_, 1U);
}

/// Guards against repeats of reads, which are allowed, and direct calls being taken for duplicates.
Test(audit_check, reads_and_direct_calls_are_no_duplicates)
{
    const auto stock = execution("krajums", "/stock", "k", 1, 3, 4, "GET");
    cr_assert_eq(check({}, { stock, stock }).duplicates_, 0U);
    const auto direct = orderExecution("d", 0, 1);
    cr_assert_eq(check({}, { direct, direct }).duplicates_, 0U);
}

/// Guards against a "not run" for an order that ran: before the answer, or after the caller's last attempt.
Test(audit_check, false_not_run)
{
    const auto notRun = order("k", { attempt(0, 20, AttemptEnd::NotRun) });
    cr_assert_eq(check({ notRun }, {}).falseNotRun_, 0U);
    cr_assert_eq(check({ notRun }, { orderExecution("k", 1, 5) }).falseNotRun_, 1U);
    cr_assert_eq(check({ notRun }, { orderExecution("k", 1, 500) }).falseNotRun_, 1U);
}

/// Guards against a true "not run" being blamed when a later attempt of the same key ran.
Test(audit_check, a_later_attempt_may_run)
{
    const auto record
        = order("k", { attempt(0, 20, AttemptEnd::NotRun), attempt(30, 90, AttemptEnd::NoAnswer) });
    cr_assert_eq(check({ record }, { orderExecution("k", 1, 40) }).falseNotRun_, 0U);
    cr_assert_eq(check({ record }, { orderExecution("k", 1, 10) }).falseNotRun_, 1U);
}

/// Guards against answers for work that nobody did, and against mixed up answers.
Test(audit_check, phantom_and_foreign)
{
    auto record = order("k", { attempt(0, 20, AttemptEnd::Completed, 1) });
    cr_assert_eq(check({ record }, {}).phantom_, 1U);
    record.whole_ = false;
    const auto findings = check({ record }, { orderExecution("k", 1, 5) });
    cr_assert_eq(findings.phantom_, 0U);
    cr_assert_eq(findings.foreign_, 1U);
    cr_assert_eq(findings.examples_.size(), 1U);
}

/// Guards against work for roots that did not complete being counted as useful, and the other way round.
Test(audit_check, wasted_work)
{
    const Records records {
        read({ attempt(0, 9, AttemptEnd::NoAnswer), attempt(10, 50, AttemptEnd::Completed, 2) }),
        read({ attempt(0, 20, AttemptEnd::Failed, 3) })
    };
    const Executions executions { execution("krajums", "/stock/1", "", 1, 0, 10, "GET"),
        execution("krajums", "/stock/1", "", 2, 10, 40, "GET"),
        execution("krajums", "/stock/1", "", 3, 0, 20, "GET"), orderExecution("d", 0, 1) };
    const auto work = workByService(records, executions, { wallBase, wallBase + seconds(1) });
    cr_assert_eq(work.size(), 1U);
    cr_assert_eq(work.at("krajums").useful_.count(), 30);
    cr_assert_eq(work.at("krajums").wasted_.count(), 30);
    cr_assert_float_eq(work.at("krajums").wastedShare(), 0.5, 1e-9);
    const auto part
        = workByService(records, executions, { wallBase + milliseconds(15), wallBase + milliseconds(20) });
    cr_assert_eq(part.at("krajums").useful_.count(), 5);
    cr_assert_eq(part.at("krajums").wasted_.count(), 5);
}

/// Guards against the work of an order being called wasted when a repeat of its key got the answer: the
/// execution carries the root id of the first attempt, which the caller never saw.
Test(audit_check, a_repeat_that_joins_makes_the_work_useful)
{
    const Records records { order(
        "k", { attempt(0, 20, AttemptEnd::NoAnswer), attempt(20, 60, AttemptEnd::Completed, 2) }) };
    const Executions executions { orderExecution("k", 1, 5),
        execution("krajums", "/reservations", "sub-1", 1, 5, 10) };
    const auto work = workByService(records, executions, { wallBase, wallBase + seconds(1) });
    cr_assert_eq(work.at("pasutijumi").wasted_.count(), 0);
    cr_assert_eq(work.at("krajums").useful_.count(), 5);
}

/// Guards against retries that are not counted, or distinct operations of one root that are.
Test(audit_check, attempts_of_a_root)
{
    const auto counts
        = countAttempts({ orderExecution("k", 1, 0), execution("krajums", "/reservations", "s", 1, 0, 5),
            execution("krajums", "/stock", "", 1, 0, 5, "GET"),
            execution("krajums", "/stock", "", 1, 6, 9, "GET"),
            execution("krajums", "/stock", "", 1, 9, 9, "GET"),
            execution("krajums", "/stock", "", 2, 0, 5, "GET"), orderExecution("d", 0, 0) });
    cr_assert_eq(counts.roots_, 2U);
    cr_assert_eq(counts.maxExecutions_, 5U);
    cr_assert_eq(counts.maxExtra_, 2U);
    cr_assert_eq(counts.byExtra_.at(0), 1U);
    cr_assert_eq(counts.byExtra_.at(2), 1U);
}

/// Guards against audits that are read wrongly, among them the files of killed and replaced processes.
Test(audit_check, audit_texts)
{
    const auto parsed = parseAudit("krajums",
        R"({"executions":[{"key":"k","attempt":"n/1","requestId":"00000000000000ff","method":"GET",)"
        R"("path":"/stock/1?load=2","start":5,"end":null,"state":"running"}]})");
    cr_assert(isOk(parsed));
    cr_assert_eq(valueOf(parsed).front().requestId_, 255U);
    cr_assert_eq(valueOf(parsed).front().path_, "/stock/1");
    cr_assert(!valueOf(parsed).front().end_.has_value());
    cr_assert(!isOk(parseAudit("krajums", "")));

    const auto file = parseAuditFile("krajums",
        "{\"pid\":1,\"number\":0,\"at\":5,\"start\":5,\"key\":\"a\"}\n"
        "{\"pid\":1,\"number\":1,\"at\":6,\"start\":6,\"key\":\"b\"}\n"
        "{\"pid\":1,\"number\":0,\"at\":9,\"end\":9,\"state\":\"done\"}\n"
        "{\"pid\":2,\"number\":0,\"at\":20,\"start\":20,\"key\":\"c\"}\n"
        "{\"pid\":2,\"number\":0,\"at\":2");
    cr_assert_eq(file.size(), 3U);
    cr_assert(file[0].state_ == ExecutionEnd::Done);
    cr_assert(file[0].end_ == milliseconds(9));
    cr_assert(file[1].state_ == ExecutionEnd::Running);
    cr_assert(file[1].end_ == milliseconds(9)); // The last that its process wrote.
    cr_assert(file[2].end_ == milliseconds(20));
}
