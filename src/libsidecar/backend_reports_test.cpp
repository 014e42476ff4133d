#include "wagtailhead/backend_reports.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto report(const std::string& id, std::uint64_t born, std::uint64_t sequence, BackendPhase phase)
    -> BackendReport
{
    BackendReport result;
    result.id_ = id;
    result.bornMs_ = born;
    result.sequence_ = sequence;
    result.phase_ = phase;
    result.service_ = "stock";
    result.address_ = { "127.0.0.1", 80 };
    result.capacity_ = 8;
    return result;
}

struct Step {
    BackendReport report_;
    ReportVerdict verdict_;
    BackendPhase phase_; ///< Expected after the report.
};

struct Case {
    const char* name_;
    std::vector<Step> steps_;
};

const TimePoint start { seconds(1000) };
constexpr Duration reportInterval = milliseconds(1500);

constexpr auto ready = BackendPhase::Ready;
constexpr auto draining = BackendPhase::Draining;
constexpr auto withdrawn = BackendPhase::Gone;

auto cases() -> std::vector<Case>
{
    auto foreign = report("i-9", 900, 1, ready);
    foreign.service_ = "files";
    return {
        { "a report and its duplicate",
            { { report("i-1", 100, 1, ready), ReportVerdict::Changed, ready },
                { report("i-1", 100, 2, ready), ReportVerdict::Confirmed, ready },
                { report("i-1", 100, 2, ready), ReportVerdict::Stale, ready } } },
        { "a late ready does not undo a drain",
            { { report("i-1", 100, 5, draining), ReportVerdict::Changed, draining },
                { report("i-1", 100, 4, ready), ReportVerdict::Stale, draining },
                { report("i-1", 100, 6, ready), ReportVerdict::Confirmed, draining } } },
        { "a late drain takes effect",
            { { report("i-1", 100, 6, ready), ReportVerdict::Changed, ready },
                { report("i-1", 100, 5, draining), ReportVerdict::Changed, draining } } },
        { "a report after the withdrawal",
            { { report("i-1", 100, 5, ready), ReportVerdict::Changed, ready },
                { report("i-1", 0, 0, withdrawn), ReportVerdict::Changed, withdrawn },
                { report("i-1", 100, 6, ready), ReportVerdict::Confirmed, withdrawn },
                { report("i-1", 0, 0, withdrawn), ReportVerdict::Confirmed, withdrawn } } },
        { "a new start under the same id",
            { { report("i-1", 100, 9, draining), ReportVerdict::Changed, draining },
                { report("i-1", 200, 1, ready), ReportVerdict::Changed, ready },
                { report("i-1", 100, 10, draining), ReportVerdict::Stale, ready } } },
        { "reports of an earlier start under another id",
            { { report("i-2", 200, 1, ready), ReportVerdict::Changed, ready },
                { report("i-1", 100, 50, draining), ReportVerdict::Stale, ready },
                { report("i-1", 0, 0, withdrawn), ReportVerdict::Stale, ready } } },
        // The time of day was ahead at the first start (review case 5).
        { "a start whose clock was set back, under the same id",
            { { report("i-1", 2400, 1, ready), ReportVerdict::Changed, ready },
                { report("i-1", 1300, 1, ready), ReportVerdict::Stale, ready },
                { report("i-1", 1300, 2, draining), ReportVerdict::Changed, draining },
                { report("i-1", 2400, 2, ready), ReportVerdict::Stale, draining },
                { report("i-1", 1300, 3, ready), ReportVerdict::Confirmed, draining } } },
        { "the leave is its first report",
            { { report("i-1", 2400, 1, ready), ReportVerdict::Changed, ready },
                { report("i-1", 1300, 0, withdrawn), ReportVerdict::Changed, withdrawn } } },
        { "a start whose clock was set back, under another id",
            { { report("i-1", 2400, 1, ready), ReportVerdict::Changed, ready },
                { report("i-2", 1300, 1, draining), ReportVerdict::Stale, ready },
                { report("i-3", 1400, 1, ready), ReportVerdict::Stale, ready },
                { report("i-3", 1400, 2, ready), ReportVerdict::Stale, ready },
                { report("i-3", 1400, 3, ready), ReportVerdict::Changed, ready },
                { report("i-3", 1400, 4, draining), ReportVerdict::Changed, draining },
                { report("i-2", 1300, 2, ready), ReportVerdict::Stale, draining },
                { report("i-2", 1300, 3, ready), ReportVerdict::Stale, draining },
                { report("i-2", 1300, 4, ready), ReportVerdict::Stale, draining },
                { report("i-2", 1300, 5, ready), ReportVerdict::Stale, draining } } },
        { "late reports of an earlier start between those of the current one",
            { { report("i-2", 200, 1, ready), ReportVerdict::Changed, ready },
                { report("i-1", 100, 7, ready), ReportVerdict::Stale, ready },
                { report("i-1", 100, 8, ready), ReportVerdict::Stale, ready },
                { report("i-2", 200, 2, ready), ReportVerdict::Confirmed, ready },
                { report("i-1", 100, 9, ready), ReportVerdict::Stale, ready },
                { report("i-1", 100, 10, ready), ReportVerdict::Stale, ready } } },
        { "a later start leaves before it was heard of",
            { { report("i-1", 100, 5, ready), ReportVerdict::Changed, ready },
                { report("i-1", 200, 0, withdrawn), ReportVerdict::Changed, withdrawn },
                { report("i-1", 200, 1, ready), ReportVerdict::Confirmed, withdrawn },
                { report("i-1", 100, 6, ready), ReportVerdict::Stale, withdrawn } } },
        { "another service", { { foreign, ReportVerdict::Foreign, BackendPhase::Unknown } } },
    };
}

} // namespace

Test(backend_reports, report_sequences)
{
    for (const auto& testCase : cases()) {
        BackendReports reports("stock");
        for (std::size_t i = 0; i < testCase.steps_.size(); ++i) {
            const auto& step = testCase.steps_[i];
            const auto verdict = reports.take(step.report_, start + i * reportInterval);
            cr_expect(
                verdict == step.verdict_, "%s, step %zu: %s", testCase.name_, i, reportVerdictName(verdict));
            cr_expect(reports.status().phase_ == step.phase_, "%s, step %zu: %s", testCase.name_, i,
                backendPhaseName(reports.status().phase_));
        }
    }
}

Test(backend_reports, a_drain_persists_over_a_restart_of_the_node)
{
    NodeEntry entry;
    entry.backendId_ = "i-1";
    entry.backendBornMs_ = 100;
    entry.phase_ = withdrawn;
    BackendReports reports("stock");
    reports.restore(entry);
    reports.take(report("i-1", 100, 7, ready), start);
    cr_assert(reports.status().phase_ == withdrawn);
    reports.take(report("i-2", 200, 1, ready), start);
    cr_assert(reports.status().phase_ == ready);
}

Test(backend_reports, a_ready_backend_server_reports_again_to_the_next_process)
{
    NodeEntry entry;
    entry.backendId_ = "i-1";
    entry.backendBornMs_ = 100;
    entry.phase_ = ready;
    BackendReports reports("stock");
    reports.restore(entry);
    cr_assert(reports.status().phase_ == BackendPhase::Unknown);
    cr_assert(reports.take(report("i-1", 100, 7, ready), start) == ReportVerdict::Changed);
    cr_assert(reports.status().phase_ == ready);
    cr_assert(reports.status().address_.port_ == 80);
}

// A process that had just started during a store outage confirmed a withdrawal without storing it, and then
// accepted a late report (Perlu, trouble-3, seed 295784967552).
Test(backend_reports, a_withdrawal_before_the_first_report_persists)
{
    BackendReports reports("stock");
    cr_assert(reports.take(report("i-1", 0, 0, withdrawn), start) == ReportVerdict::Changed);
    NodeEntry entry;
    entry.backendId_ = "i-1";
    entry.backendBornMs_ = 100;
    entry.phase_ = ready;
    reports.restore(entry);
    cr_assert(reports.status().phase_ == withdrawn);
    reports.take(report("i-1", 100, 26, ready), start);
    cr_assert(reports.status().phase_ == withdrawn);
    reports.take(report("i-1", 200, 1, ready), start);
    cr_assert(reports.status().phase_ == ready, "a new start under the same id was ignored");
}

// A restarted node reads an entry from the store that is older than the leave that other nodes know of.
Test(backend_reports, a_leave_of_a_later_start_persists_over_a_restart_of_the_node)
{
    NodeEntry entry;
    entry.backendId_ = "i-1";
    entry.backendBornMs_ = 100;
    entry.phase_ = ready;
    BackendReports reports("stock");
    reports.restore(entry);
    entry.backendId_ = "i-2";
    entry.backendBornMs_ = 200;
    entry.phase_ = draining;
    reports.restore(entry);
    cr_assert(reports.take(report("i-2", 200, 7, ready), start) == ReportVerdict::Stale);
    cr_assert(reports.status().phase_ != ready);
}

namespace {

/// Reports to a process that was restarted, without a memory of what an earlier one has confirmed.
struct RestartedNode {
    RestartedNode()
    {
        NodeEntry entry;
        entry.backendId_ = "i-1";
        entry.backendBornMs_ = 100;
        entry.phase_ = ready;
        reports_.restore(entry);
    }

    auto take(std::uint64_t sequence, Duration after, BackendPhase phase = ready) -> ReportVerdict
    {
        return reports_.take(report("i-1", 100, sequence, phase), start + after);
    }
    auto phase() const -> BackendPhase
    {
        return reports_.status().phase_;
    }

    BackendReports reports_ { "stock", ReadyEvidence::AnswerOrLaterReport, start };
};

} // namespace

// A leave was confirmed while the store was away, and all nodes that knew of it were killed. A report from
// before the leave put the backend server in use again (review case 8).
Test(backend_reports, a_late_report_after_a_restart_does_not_undo_a_leave)
{
    RestartedNode node;
    cr_assert(!node.reports_.needsEvidence(), "nothing is known about the backend server yet");
    cr_assert(node.take(8, seconds(0)) == ReportVerdict::Unproven);
    cr_assert(node.phase() == BackendPhase::Unknown && node.reports_.needsEvidence());
    cr_assert(node.reports_.status().address_.port_ == 80, "it can't be asked");
    for (std::uint64_t i = 1; i <= 3; ++i) {
        node.take(8 + i, i * reportInterval);
        cr_expect(node.phase() == BackendPhase::Unknown, "late report %zu", static_cast<std::size_t>(i));
    }
    cr_assert(node.take(0, seconds(5), withdrawn) == ReportVerdict::Changed, "it leaves once more");
    cr_assert(!node.reports_.needsEvidence());
    cr_assert(!node.reports_.onServing("i-1", 100) && node.phase() == withdrawn, "a late answer");
}

Test(backend_reports, a_backend_server_that_answers_is_ready_after_a_restart)
{
    RestartedNode node;
    cr_assert(!node.reports_.onServing("i-1", 100), "it has not reported to this process");
    node.take(8, seconds(0));
    cr_assert(!node.reports_.onServing("i-1", 99) && !node.reports_.onServing("i-2", 100), "another start");
    cr_assert(node.reports_.onServing("i-1", 100));
    cr_assert(node.phase() == ready && !node.reports_.needsEvidence());
    cr_assert(node.take(9, reportInterval) == ReportVerdict::Confirmed);
    node.reports_.take(report("i-2", 200, 1, ready), start + 2 * reportInterval);
    cr_assert(node.phase() == BackendPhase::Unknown, "a report of another start may be late as well");
    cr_assert(node.reports_.onServing("i-2", 200) && node.phase() == ready);
}

// All reports of a backend server were late by the same time, so those from before its leave went on after
// the restart for as long as they had been sent.
Test(backend_reports, late_reports_that_go_on_after_a_restart_do_not_undo_a_leave)
{
    RestartedNode node;
    constexpr std::uint64_t lateReports = 6;
    for (std::uint64_t i = 0; i < lateReports; ++i) {
        cr_expect(node.take(8 + i, i * reportInterval) == ReportVerdict::Unproven, "late report %zu",
            static_cast<std::size_t>(i));
    }
    cr_assert(node.phase() == BackendPhase::Unknown);
}

// Without an answer to its health checks, a backend server is used once a report can't be from before the
// restart.
Test(backend_reports, a_backend_server_that_goes_on_reporting_is_ready_after_a_restart)
{
    RestartedNode node;
    for (std::uint64_t i = 0; i * reportInterval < seconds(10); ++i) {
        cr_expect(node.take(8 + i, i * reportInterval) == ReportVerdict::Unproven);
    }
    cr_assert(node.take(20, milliseconds(10500)) == ReportVerdict::Changed && node.phase() == ready);

    RestartedNode repeated;
    for (int i = 0; i < 20; ++i) {
        cr_expect(repeated.take(8, i * reportInterval) == ReportVerdict::Unproven, "the same report again");
    }
}
