#include "wagtailhead/backend_reports.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

constexpr std::array<const char*, 4> verdictNames { "changed", "confirmed", "stale", "foreign" };

} // namespace

auto reportVerdictName(ReportVerdict verdict) -> const char*
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

BackendReports::BackendReports(std::string service)
    : service_(std::move(service))
{
}

auto BackendReports::take(const BackendReport& report) -> ReportVerdict
{
    const bool withdrawal = report.phase_ == BackendPhase::Gone;
    if (!withdrawal && report.service_ != service_) {
        return ReportVerdict::Foreign;
    }
    if (withdrawal && status_.id_.empty()) {
        // The withdrawal is confirmed even by a process that has just started, so it has to be stored.
        status_.id_ = report.id_;
        status_.bornMs_ = report.bornMs_;
        status_.phase_ = BackendPhase::Gone;
        return ReportVerdict::Changed;
    }
    const bool sameStart = report.bornMs_ == status_.bornMs_ || report.bornMs_ == 0 || status_.bornMs_ == 0;
    if (report.id_ == status_.id_ && sameStart) {
        if (report.phase_ > status_.phase_) {
            status_.phase_ = report.phase_;
        } else if (report.sequence_ <= status_.sequence_ && !withdrawal) {
            return ReportVerdict::Stale;
        } else if (withdrawal
            || (report.address_ == status_.address_ && report.capacity_ == status_.capacity_)) {
            status_.sequence_ = std::max(status_.sequence_, report.sequence_);
            return ReportVerdict::Confirmed;
        }
        status_.sequence_ = std::max(status_.sequence_, report.sequence_);
        if (!withdrawal) {
            status_.address_ = report.address_;
            status_.capacity_ = report.capacity_;
        }
        return ReportVerdict::Changed;
    }
    if (withdrawal || (report.bornMs_ != 0 && report.bornMs_ < status_.bornMs_)) {
        return ReportVerdict::Stale;
    }
    status_
        = { report.id_, report.bornMs_, report.sequence_, report.address_, report.capacity_, report.phase_ };
    return ReportVerdict::Changed;
}

auto BackendReports::restore(const NodeEntry& entry) -> void
{
    if (!status_.id_.empty()) {
        // The withdrawal may have been stored without the start time of the backend server; see take().
        if (status_.id_ == entry.backendId_ && status_.bornMs_ == 0) {
            status_.bornMs_ = entry.backendBornMs_;
        }
        const bool sameStart = status_.id_ == entry.backendId_ && status_.bornMs_ == entry.backendBornMs_
            && status_.bornMs_ != 0;
        if (sameStart && isLeaving(entry.phase_)) {
            status_.phase_ = std::max(status_.phase_, entry.phase_);
        }
        return;
    }
    status_.id_ = entry.backendId_;
    status_.bornMs_ = entry.backendBornMs_;
    status_.capacity_ = entry.capacity_;
    // A ready backend server is used only after it has reported to this process.
    status_.phase_ = isLeaving(entry.phase_) ? entry.phase_ : BackendPhase::Unknown;
}

} // namespace wagtailhead
