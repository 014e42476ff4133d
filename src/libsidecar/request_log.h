/// Log lines about the outcomes of requests and their reasons.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/directory.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

/// Limits the number of log lines per second and counts dropped lines. Not thread safe.
class LogBudget {
public:
    explicit LogBudget(int linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    {
    }

    /// Returns whether `lines` more lines may be written now; otherwise counts them as dropped.
    auto allow(int lines, TimePoint now) -> bool;

    /// Returns the lines dropped since the last call.
    auto takeDropped() -> std::uint64_t;

private:
    int linesPerSecond_;
    int used_ = 0;
    std::uint64_t dropped_ = 0;
    TimePoint windowStart_;
};

/// Returns whether a successful request is logged: selects a small fixed share by a hash of the id, so that
/// all nodes log the same requests.
auto isLogged(std::string_view attemptId) -> bool;

/// One attempt of a request, with the data behind the choice of the node and the decision that followed.
struct AttemptTrace {
    PickedNode picked_;
    TimePoint sent_;
    Duration time_ {};
    std::string outcome_ = "pending";
    std::string reason_;
    bool arrived_ = false; ///< Has reached, or may have reached, the backend server.
    std::string next_; ///< "end", "repeat", or why there was no retry.
};

/// One request of a caller from its arrival to its end.
struct RequestTrace {
    std::string attemptId_;
    std::string route_;
    std::string service_;
    std::string account_; ///< Name of the client account; empty without one.
    int rank_ = 0; ///< Of the account, or else of the route.
    std::uint64_t configVersion_ = 0;
    Duration timeLeft_ {}; ///< At the arrival: the shorter one of the caller's and the route's timeout.
    ReportedLevel level_; ///< Shedding level of the service that applied at the arrival.
    TimePoint arrived_;
    Duration time_ {};
    std::vector<AttemptTrace> attempts_;
};

enum class RequestOutcome : std::uint8_t {
    Answered,
    Refused, ///< Has not run.
    Failed,
    Cancelled, ///< The caller has disconnected.
};

/// Returns "answered", "refused", "failed" or "cancelled".
auto requestOutcomeName(RequestOutcome outcome) -> const char*;

/// Writes a line for each request that ended in a failure or refusal and one for each of its attempts, up to
/// a rate, and the same for a sample of the others. Not thread safe.
class RequestLog {
public:
    RequestLog();

    /// `status` is the status of the response, or 0 without one; `reason` explains the outcome.
    auto onEnd(const RequestTrace& trace, RequestOutcome outcome, int status, std::string_view reason,
        TimePoint now) -> void;

    /// Returns the lines about failed and refused requests that were dropped since the last call.
    auto takeDropped() -> std::uint64_t
    {
        return budget_.takeDropped();
    }

private:
    LogBudget budget_;
};

} // namespace wagtailhead
