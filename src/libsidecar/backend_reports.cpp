#include "wagtailhead/backend_reports.h"

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
    if (withdrawal && belief_.id_.empty()) {
        // A process that has just started confirms it, so it must remember it.
        belief_.id_ = report.id_;
        belief_.bornMs_ = report.bornMs_;
        belief_.phase_ = BackendPhase::Gone;
        return ReportVerdict::Changed;
    }
    const bool sameBirth = report.bornMs_ == belief_.bornMs_ || report.bornMs_ == 0 || belief_.bornMs_ == 0;
    if (report.id_ == belief_.id_ && sameBirth) {
        if (report.phase_ > belief_.phase_) {
            belief_.phase_ = report.phase_;
        } else if (report.sequence_ <= belief_.sequence_ && !withdrawal) {
            return ReportVerdict::Stale;
        } else if (withdrawal
            || (report.address_ == belief_.address_ && report.capacity_ == belief_.capacity_)) {
            belief_.sequence_ = std::max(belief_.sequence_, report.sequence_);
            return ReportVerdict::Confirmed;
        }
        belief_.sequence_ = std::max(belief_.sequence_, report.sequence_);
        if (!withdrawal) {
            belief_.address_ = report.address_;
            belief_.capacity_ = report.capacity_;
        }
        return ReportVerdict::Changed;
    }
    if (withdrawal || (report.bornMs_ != 0 && report.bornMs_ < belief_.bornMs_)) {
        return ReportVerdict::Stale;
    }
    belief_
        = { report.id_, report.bornMs_, report.sequence_, report.address_, report.capacity_, report.phase_ };
    return ReportVerdict::Changed;
}

auto BackendReports::restore(const NodeEntry& entry) -> void
{
    if (!belief_.id_.empty()) {
        // Only the start of the backend server may be missing; see take().
        if (belief_.id_ == entry.backendId_ && belief_.bornMs_ == 0) {
            belief_.bornMs_ = entry.backendBornMs_;
        }
        return;
    }
    belief_.id_ = entry.backendId_;
    belief_.bornMs_ = entry.backendBornMs_;
    belief_.capacity_ = entry.capacity_;
    // A ready backend server is used once it has reported to this process.
    const bool left = entry.phase_ == BackendPhase::Draining || entry.phase_ == BackendPhase::Gone;
    belief_.phase_ = left ? entry.phase_ : BackendPhase::Unknown;
}

} // namespace wagtailhead
