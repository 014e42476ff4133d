/// Reports of a backend server about itself, and the state that its node derives from them.
#pragma once

#include "wagtailhead/directory.h"

#include <string>
#include <vector>

namespace wagtailhead {

/// One decoded report.
struct BackendReport {
    std::string id_; ///< Of this run of the backend server, usually new with each start.
    std::string service_;
    Address address_;
    int capacity_ = 0;
    BackendPhase phase_ = BackendPhase::Ready; ///< Ready, Draining, or Gone for a withdrawal.
    Duration coldLeft_ {}; ///< Remaining time of slow service after a cold start.
    std::uint64_t sequence_ = 0; ///< Increases with each report of one run.
    std::uint64_t bornMs_ = 0; ///< Start of the backend server, Unix time; 0 if not reported.
};

enum class ReportVerdict : std::uint8_t {
    Changed, ///< The status has changed.
    Confirmed, ///< The report agrees with the status.
    Stale, ///< Older than the status, which stays as it is.
    Foreign, ///< About another service.
};

/// Returns "changed", "confirmed", "stale" or "foreign".
auto reportVerdictName(ReportVerdict verdict) -> const char*;

/// Last reported state of the backend server of this node.
struct BackendStatus {
    std::string id_;
    std::uint64_t bornMs_ = 0;
    std::uint64_t sequence_ = 0;
    Address address_;
    int capacity_ = 0;
    BackendPhase phase_ = BackendPhase::Unknown;
};

/// Applies reports, which may arrive in any order. Within one start of the backend server the phase only
/// moves forward, so a late report cannot undo a drain. A later start replaces an earlier one. As the time of
/// day may be set back between two starts, their times alone do not show which one is over: a start that goes
/// on reporting while the current one is quiet replaces it too. Not thread safe.
class BackendReports {
public:
    explicit BackendReports(std::string service);

    /// Applies a report that arrived at `now`. The leave of another start is Stale only if that start gets no
    /// requests, so a leave may be confirmed whatever the verdict.
    auto take(const BackendReport& report, TimePoint now) -> ReportVerdict;

    /// Restores the status from an entry that an earlier process of this node published. State from reports
    /// to this process takes precedence, except that a backend server that was leaving stays so until its
    /// next start.
    auto restore(const NodeEntry& entry) -> void;

    auto status() const -> const BackendStatus&
    {
        return status_;
    }

private:
    /// A start of the backend server that is not the current one.
    struct OtherStart {
        std::string id_;
        std::uint64_t bornMs_ = 0;
        std::uint64_t sequence_ = 0;
        bool left_ = false;
        bool replaced_ = false; ///< It was the current one before, and has not reported since.
        int reports_ = 0; ///< In order, without one of the current start between them.
        TimePoint firstReport_ {}; ///< Of these.
    };

    auto takeCurrent(const BackendReport& report) -> ReportVerdict;
    auto takeLeave(const BackendReport& report) -> ReportVerdict;
    auto takeReady(const BackendReport& report, TimePoint now) -> ReportVerdict;
    auto isCurrent(const BackendReport& report) const -> bool;
    auto isLater(const BackendReport& report) const -> bool;
    auto findOther(const std::string& id, std::uint64_t bornMs) -> OtherStart*;
    auto otherStart(const std::string& id, std::uint64_t bornMs) -> OtherStart&;
    auto replaceCurrent(const BackendReport& report) -> void;

    std::string service_;
    BackendStatus status_;
    std::vector<OtherStart> others_; ///< The oldest first.
};

} // namespace wagtailhead
