#include "wagtailhead/backend_reports.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

/// A start other than the current one counts as the running one after so many reports in this time without
/// one of the current start. Reports that are delayed on their way come in smaller numbers.
constexpr int reportsOfRunningStart = 3;
constexpr Duration timeOfRunningStart = seconds(2);
/// Other starts that are remembered.
constexpr std::size_t mostOtherStarts = 8;

/// A report that arrives this long after the start of the process was made after it. Reports may be delayed
/// by seconds.
constexpr Duration longestReportDelay = seconds(10);

constexpr std::array<const char*, 5> verdictNames { "changed", "confirmed", "unproven", "stale", "foreign" };

} // namespace

auto reportVerdictName(ReportVerdict verdict) -> const char*
{
    return verdictNames.at(static_cast<std::size_t>(verdict));
}

BackendReports::BackendReports(std::string service, ReadyEvidence evidence, TimePoint started)
    : service_(std::move(service))
    , evidence_(evidence)
    , started_(started)
{
}

auto BackendReports::take(const BackendReport& report, TimePoint now) -> ReportVerdict
{
    const auto verdict = apply(report, now);
    if (status_.phase_ != BackendPhase::Ready || isProven()) {
        return verdict;
    }
    if (isMadeSinceRestart(report, now)) {
        setProven();
        return ReportVerdict::Changed;
    }
    status_.phase_ = BackendPhase::Unknown;
    return ReportVerdict::Unproven;
}

auto BackendReports::isProven() const -> bool
{
    return evidence_ == ReadyEvidence::Report
        || (!provenId_.empty() && provenId_ == status_.id_ && provenBornMs_ == status_.bornMs_);
}

auto BackendReports::setProven() -> void
{
    provenId_ = status_.id_;
    provenBornMs_ = status_.bornMs_;
    unproven_.reset();
}

auto BackendReports::isMadeSinceRestart(const BackendReport& report, TimePoint now) -> bool
{
    if (!unproven_ || unproven_->id_ != status_.id_ || unproven_->bornMs_ != status_.bornMs_) {
        unproven_ = UnprovenStart { status_.id_, status_.bornMs_, 0 };
    }
    // The same report once more may have been delayed for longer.
    const bool isNew = report.sequence_ > unproven_->sequence_;
    unproven_->sequence_ = std::max(unproven_->sequence_, report.sequence_);
    return isNew && now - started_ >= longestReportDelay;
}

auto BackendReports::needsEvidence() const -> bool
{
    return status_.phase_ == BackendPhase::Unknown && unproven_ && unproven_->id_ == status_.id_
        && unproven_->bornMs_ == status_.bornMs_;
}

auto BackendReports::onServing(const std::string& id, std::uint64_t bornMs) -> bool
{
    if (!needsEvidence() || status_.id_ != id || status_.bornMs_ != bornMs) {
        return false;
    }
    setProven();
    status_.phase_ = BackendPhase::Ready;
    return true;
}

auto BackendReports::apply(const BackendReport& report, TimePoint now) -> ReportVerdict
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
    if (isCurrent(report)) {
        return takeCurrent(report);
    }
    return isLeaving(report.phase_) ? takeLeave(report) : takeReady(report, now);
}

auto BackendReports::isCurrent(const BackendReport& report) const -> bool
{
    const bool sameStart = report.bornMs_ == status_.bornMs_ || report.bornMs_ == 0 || status_.bornMs_ == 0;
    return report.id_ == status_.id_ && sameStart;
}

auto BackendReports::isLater(const BackendReport& report) const -> bool
{
    return report.bornMs_ == 0 || report.bornMs_ >= status_.bornMs_;
}

auto BackendReports::takeCurrent(const BackendReport& report) -> ReportVerdict
{
    const bool withdrawal = report.phase_ == BackendPhase::Gone;
    const bool inOrder = report.sequence_ > status_.sequence_ || withdrawal;
    if (inOrder) {
        for (auto& other : others_) {
            other.reports_ = 0;
        }
    }
    if (report.phase_ > status_.phase_) {
        status_.phase_ = report.phase_;
    } else if (!inOrder) {
        return ReportVerdict::Stale;
    } else if (withdrawal || (report.address_ == status_.address_ && report.capacity_ == status_.capacity_)) {
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

auto BackendReports::takeLeave(const BackendReport& report) -> ReportVerdict
{
    const auto* other = findOther(report.id_, report.bornMs_);
    const bool over = other != nullptr && (other->replaced_ || other->left_);
    // Requests name the id of the backend server, so they reach any start of the same id.
    const bool getsRequests
        = report.id_ == status_.id_ || (other == nullptr && report.bornMs_ != 0 && isLater(report));
    if (!over && getsRequests) {
        replaceCurrent(report);
        return ReportVerdict::Changed;
    }
    if (report.bornMs_ != 0) {
        otherStart(report.id_, report.bornMs_).left_ = true;
    }
    return ReportVerdict::Stale;
}

auto BackendReports::takeReady(const BackendReport& report, TimePoint now) -> ReportVerdict
{
    if (findOther(report.id_, report.bornMs_) == nullptr && isLater(report)) {
        replaceCurrent(report);
        return ReportVerdict::Changed;
    }
    auto& other = otherStart(report.id_, report.bornMs_);
    if (other.left_ || report.sequence_ <= other.sequence_) {
        return ReportVerdict::Stale;
    }
    other.sequence_ = report.sequence_;
    other.replaced_ = false;
    if (other.reports_ == 0) {
        other.firstReport_ = now;
    }
    ++other.reports_;
    if (other.reports_ < reportsOfRunningStart || now - other.firstReport_ < timeOfRunningStart) {
        return ReportVerdict::Stale;
    }
    replaceCurrent(report);
    return ReportVerdict::Changed;
}

auto BackendReports::findOther(const std::string& id, std::uint64_t bornMs) -> OtherStart*
{
    const auto found = std::find_if(others_.begin(), others_.end(), [&](const OtherStart& other) {
        return other.id_ == id && other.bornMs_ == bornMs;
    });
    return found == others_.end() ? nullptr : &*found;
}

auto BackendReports::otherStart(const std::string& id, std::uint64_t bornMs) -> OtherStart&
{
    if (auto* known = findOther(id, bornMs)) {
        return *known;
    }
    if (others_.size() >= mostOtherStarts) {
        others_.erase(others_.begin());
    }
    return others_.emplace_back(OtherStart { .id_ = id, .bornMs_ = bornMs });
}

auto BackendReports::replaceCurrent(const BackendReport& report) -> void
{
    std::erase_if(others_, [&](const OtherStart& other) {
        return other.id_ == report.id_ && other.bornMs_ == report.bornMs_;
    });
    if (!status_.id_.empty()) {
        auto& replaced = otherStart(status_.id_, status_.bornMs_);
        replaced.sequence_ = status_.sequence_;
        replaced.left_ = isLeaving(status_.phase_);
        replaced.replaced_ = true;
        replaced.reports_ = 0;
    }
    status_
        = { report.id_, report.bornMs_, report.sequence_, report.address_, report.capacity_, report.phase_ };
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
        } else if (!sameStart && isLeaving(entry.phase_) && entry.backendBornMs_ != 0) {
            otherStart(entry.backendId_, entry.backendBornMs_).left_ = true;
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
