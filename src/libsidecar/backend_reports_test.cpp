#include "wagtailhead/backend_reports.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto report(const std::string& id, std::uint64_t born, std::uint64_t sequence, BackendPhase phase)
    -> BackendReport
{
    BackendReport made;
    made.id_ = id;
    made.bornMs_ = born;
    made.sequence_ = sequence;
    made.phase_ = phase;
    made.service_ = "stock";
    made.address_ = { "127.0.0.1", 80 };
    made.capacity_ = 8;
    return made;
}

struct Step {
    BackendReport report_;
    ReportVerdict verdict_;
    BackendPhase phase_; ///< Believed after it.
};

struct Case {
    const char* name_;
    std::vector<Step> steps_;
};

constexpr auto ready = BackendPhase::Ready;
constexpr auto draining = BackendPhase::Draining;
constexpr auto gone = BackendPhase::Gone;

auto cases() -> std::vector<Case>
{
    auto foreign = report("i-9", 900, 1, ready);
    foreign.service_ = "files";
    return {
        { "a report and its repeat",
            { { report("i-1", 100, 1, ready), ReportVerdict::Changed, ready },
                { report("i-1", 100, 2, ready), ReportVerdict::Confirmed, ready },
                { report("i-1", 100, 2, ready), ReportVerdict::Stale, ready } } },
        { "a late ready does not undo a drain",
            { { report("i-1", 100, 5, draining), ReportVerdict::Changed, draining },
                { report("i-1", 100, 4, ready), ReportVerdict::Stale, draining },
                { report("i-1", 100, 6, ready), ReportVerdict::Confirmed, draining } } },
        { "a late drain holds",
            { { report("i-1", 100, 6, ready), ReportVerdict::Changed, ready },
                { report("i-1", 100, 5, draining), ReportVerdict::Changed, draining } } },
        { "a report after the withdrawal",
            { { report("i-1", 100, 5, ready), ReportVerdict::Changed, ready },
                { report("i-1", 0, 0, gone), ReportVerdict::Changed, gone },
                { report("i-1", 100, 6, ready), ReportVerdict::Confirmed, gone },
                { report("i-1", 0, 0, gone), ReportVerdict::Confirmed, gone } } },
        { "a new start under the same id",
            { { report("i-1", 100, 9, draining), ReportVerdict::Changed, draining },
                { report("i-1", 200, 1, ready), ReportVerdict::Changed, ready },
                { report("i-1", 100, 10, draining), ReportVerdict::Stale, ready } } },
        { "words of an earlier start under another id",
            { { report("i-2", 200, 1, ready), ReportVerdict::Changed, ready },
                { report("i-1", 100, 50, draining), ReportVerdict::Stale, ready },
                { report("i-1", 0, 0, gone), ReportVerdict::Stale, ready } } },
        { "another service", { { foreign, ReportVerdict::Foreign, BackendPhase::Unknown } } },
    };
}

} // namespace

Test(backend_reports, beliefs)
{
    for (const auto& one : cases()) {
        BackendReports reports("stock");
        for (std::size_t i = 0; i < one.steps_.size(); ++i) {
            const auto& step = one.steps_[i];
            const auto verdict = reports.take(step.report_);
            cr_expect(verdict == step.verdict_, "%s, step %zu: %s", one.name_, i, reportVerdictName(verdict));
            cr_expect(reports.belief().phase_ == step.phase_, "%s, step %zu: %s", one.name_, i,
                backendPhaseName(reports.belief().phase_));
        }
    }
}

Test(backend_reports, a_leave_binds_the_next_process_of_the_node)
{
    NodeEntry entry;
    entry.backendId_ = "i-1";
    entry.backendBornMs_ = 100;
    entry.phase_ = gone;
    BackendReports reports("stock");
    reports.restore(entry);
    reports.take(report("i-1", 100, 7, ready));
    cr_assert(reports.belief().phase_ == gone);
    reports.take(report("i-2", 200, 1, ready));
    cr_assert(reports.belief().phase_ == ready);
}

Test(backend_reports, a_ready_backend_server_reports_again_to_the_next_process)
{
    NodeEntry entry;
    entry.backendId_ = "i-1";
    entry.backendBornMs_ = 100;
    entry.phase_ = ready;
    BackendReports reports("stock");
    reports.restore(entry);
    cr_assert(reports.belief().phase_ == BackendPhase::Unknown);
    cr_assert(reports.take(report("i-1", 100, 7, ready)) == ReportVerdict::Changed);
    cr_assert(reports.belief().phase_ == ready);
    cr_assert(reports.belief().address_.port_ == 80);
}

// Perlu, trouble-3, seed 295784967552: a process that had just started while the store was out confirmed a
// withdrawal, forgot it and took a late report.
Test(backend_reports, a_withdrawal_before_anything_is_known_holds)
{
    BackendReports reports("stock");
    cr_assert(reports.take(report("i-1", 0, 0, gone)) == ReportVerdict::Changed);
    NodeEntry entry;
    entry.backendId_ = "i-1";
    entry.backendBornMs_ = 100;
    entry.phase_ = ready;
    reports.restore(entry);
    cr_assert(reports.belief().phase_ == gone);
    reports.take(report("i-1", 100, 26, ready));
    cr_assert(reports.belief().phase_ == gone);
    reports.take(report("i-1", 200, 1, ready));
    cr_assert(reports.belief().phase_ == ready, "a new start under the same id was not seen");
}
