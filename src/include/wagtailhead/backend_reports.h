/// Reports of a backend server about itself, and the state that its node derives from them.
#pragma once

#include "wagtailhead/directory.h"

#include <optional>
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
    Unproven, ///< The backend server reports as ready, but evidence that it still serves is missing.
    Stale, ///< Older than the status, which stays as it is.
    Foreign, ///< About another service.
};

/// Returns "changed", "confirmed", "unproven", "stale" or "foreign".
auto reportVerdictName(ReportVerdict verdict) -> const char*;

/// What it takes for a backend server to be ready.
enum class ReadyEvidence : std::uint8_t {
    /// One report, for the first process of a node: all leaves that the node has confirmed are in its memory.
    Report,
    /// The backend server's own answer, or a report that comes too long after the start of the process to be
    /// from before it. A report may be delayed, and an earlier process may have confirmed a leave that
    /// neither
    /// the store nor another node remembers.
    AnswerOrLaterReport,
};

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
    /// `started` is the time at which this process started; it is used for AnswerOrLaterReport only.
    explicit BackendReports(
        std::string service, ReadyEvidence evidence = ReadyEvidence::Report, TimePoint started = {});

    /// Applies a report that arrived at `now`. The leave of another start is Stale only if that start gets no
    /// requests, so a leave may be confirmed whatever the verdict.
    auto take(const BackendReport& report, TimePoint now) -> ReportVerdict;

    /// Restores the status from an entry that an earlier process of this node published. State from reports
    /// to this process takes precedence, except that a backend server that was leaving stays so until its
    /// next start.
    auto restore(const NodeEntry& entry) -> void;

    /// Returns whether the current start has reported as ready and evidence that it still serves is missing.
    auto needsEvidence() const -> bool;

    /// Takes the answer of a start of the backend server that it serves. Returns whether the status has
    /// changed.
    auto onServing(const std::string& id, std::uint64_t bornMs) -> bool;

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

    /// Reports of a ready start for which there is no other evidence.
    struct UnprovenStart {
        std::string id_;
        std::uint64_t bornMs_ = 0;
        std::uint64_t sequence_ = 0; ///< The greatest one.
    };

    auto apply(const BackendReport& report, TimePoint now) -> ReportVerdict;
    auto isProven() const -> bool;
    auto setProven() -> void;
    /// Returns whether a report of the current start was made after the process started.
    auto isMadeSinceRestart(const BackendReport& report, TimePoint now) -> bool;
    auto takeCurrent(const BackendReport& report) -> ReportVerdict;
    auto takeLeave(const BackendReport& report) -> ReportVerdict;
    auto takeReady(const BackendReport& report, TimePoint now) -> ReportVerdict;
    auto isCurrent(const BackendReport& report) const -> bool;
    auto isLater(const BackendReport& report) const -> bool;
    auto findOther(const std::string& id, std::uint64_t bornMs) -> OtherStart*;
    auto otherStart(const std::string& id, std::uint64_t bornMs) -> OtherStart&;
    auto replaceCurrent(const BackendReport& report) -> void;

    std::string service_;
    ReadyEvidence evidence_;
    TimePoint started_;
    BackendStatus status_;
    std::string provenId_; ///< The start that is known to serve.
    std::uint64_t provenBornMs_ = 0;
    std::optional<UnprovenStart> unproven_; ///< The current start, as long as evidence is missing.
    std::vector<OtherStart> others_; ///< The oldest first.
};

} // namespace wagtailhead
