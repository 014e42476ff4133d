/// Log lines that tell how requests ended and why.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/directory.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

/// Lets through a number of lines a second and counts the rest. Not thread safe.
class LogBudget {
public:
    explicit LogBudget(int linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    {
    }

    /// Returns whether `lines` more may be written now; counts them as dropped if not.
    auto allow(int lines, TimePoint now) -> bool;

    /// Returns the lines dropped since the last call.
    auto takeDropped() -> std::uint64_t;

private:
    int linesPerSecond_;
    int used_ = 0;
    std::uint64_t dropped_ = 0;
    TimePoint windowStart_;
};

/// Returns whether the lines of an ordinary request are written: a fixed small share by a hash of the id, so
/// that all nodes write those of the same requests.
auto isLogged(std::string_view attemptId) -> bool;

/// One attempt of a request, with what decided where it went and what followed.
struct AttemptTrace {
    PickedNode picked_;
    TimePoint sent_;
    Duration time_ {};
    std::string outcome_ = "pending";
    std::string reason_;
    bool arrived_ = false; ///< At the backend server, or possibly so.
    std::string next_; ///< "end", "repeat", or why there was no repeat.
};

/// One request of a caller from its arrival to its end.
struct RequestTrace {
    std::string attemptId_;
    std::string route_;
    std::string service_;
    int rank_ = 0;
    std::uint64_t configVersion_ = 0;
    Duration timeLeft_ {}; ///< At its arrival: the earlier of the caller's and the route's time.
    ReportedLevel level_; ///< Of the service, as it decided at the arrival.
    TimePoint arrived_;
    Duration time_ {};
    std::vector<AttemptTrace> attempts_;
};

enum class RequestOutcome : std::uint8_t {
    Answered,
    Refused, ///< Has not run.
    Failed,
    Cancelled, ///< The caller has gone.
};

/// Returns "answered", "refused", "failed" or "cancelled".
auto requestOutcomeName(RequestOutcome outcome) -> const char*;

/// Writes a line for each request that ended in a failure or refusal and one for each of its attempts, up to
/// a rate, and the same for a sample of the others. Not thread safe.
class RequestLog {
public:
    RequestLog();

    /// `status` is that of the answer, 0 without one; `reason` says why it ended so.
    auto onEnd(const RequestTrace& trace, RequestOutcome outcome, int status, std::string_view reason,
        TimePoint now) -> void;

    /// Returns the lines about failed and refused requests that were left out since the last call.
    auto takeDropped() -> std::uint64_t
    {
        return budget_.takeDropped();
    }

private:
    LogBudget budget_;
};

} // namespace wagtailhead
