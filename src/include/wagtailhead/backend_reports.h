/// What a backend server reports about itself, and what its node believes after it.
#pragma once

#include "wagtailhead/directory.h"

#include <optional>
#include <string>

namespace wagtailhead {

/// One report, decoded.
struct BackendReport {
    std::string id_; ///< Of this start of the backend server, mostly new with each start.
    std::string service_;
    Address address_;
    int capacity_ = 0;
    BackendPhase phase_ = BackendPhase::Ready; ///< Ready, Draining, or Gone for a withdrawal.
    Duration coldLeft_ {}; ///< How much longer it is slow after its start.
    std::uint64_t sequence_ = 0; ///< Grows with each report of one start.
    std::uint64_t bornMs_ = 0; ///< Start of the backend server, Unix time; 0 if it was not said.
};

enum class ReportVerdict : std::uint8_t {
    Changed, ///< The belief has changed.
    Confirmed, ///< It says what is known.
    Stale, ///< Older than what is known; it changes nothing.
    Foreign, ///< About another service.
};

/// Returns "changed", "confirmed", "stale" or "foreign".
auto reportVerdictName(ReportVerdict verdict) -> const char*;

/// What is known of the backend server beside this node.
struct BackendBelief {
    std::string id_;
    std::uint64_t bornMs_ = 0;
    std::uint64_t sequence_ = 0;
    Address address_;
    int capacity_ = 0;
    BackendPhase phase_ = BackendPhase::Unknown;
};

/// Takes reports in any order. Within one start of the backend server the phase only moves forward, so a
/// late report cannot undo a drain. Not thread safe.
class BackendReports {
public:
    explicit BackendReports(std::string service);

    auto take(const BackendReport& report) -> ReportVerdict;

    /// Takes over what an earlier process of this node has published; what reports have said goes before it.
    auto restore(const NodeEntry& entry) -> void;

    auto belief() const -> const BackendBelief&
    {
        return belief_;
    }

private:
    std::string service_;
    BackendBelief belief_;
};

} // namespace wagtailhead
