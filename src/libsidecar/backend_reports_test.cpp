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
