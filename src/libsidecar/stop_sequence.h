/// The order of a planned stop.
#pragma once

#include "wagtailhead/clock.h"

#include <cstddef>

namespace wagtailhead {

enum class StopStep {
    Serve, ///< Callers may not have seen yet that the node is not ready; the backend server works on.
    Drain, ///< The backend server gets nothing new.
    Refuse, ///< Further requests are refused at once, so that their callers come back later.
    Finish, ///< Takes no new connection and no further request; what is in flight goes on.
    End,
};

/// Decides how far a stop has come. Not thread safe.
class StopSequence {
public:
    /// `stopTime` is the time from SIGTERM to SIGKILL.
    explicit StopSequence(Duration stopTime)
        : stopTime_(stopTime)
    {
    }

    /// Returns the step at `spent` after SIGTERM. Steps only go forward. `requests` are those of callers,
    /// `backendRequests` those at the backend server, which still makes calls for them.
    auto next(Duration spent, std::size_t requests, std::size_t backendRequests) -> StopStep;

    /// Returns the time after SIGTERM until which the backend server can still make calls; what it is given
    /// has to end before.
    auto lastEnd() const -> Duration;

private:
    Duration stopTime_;
    StopStep step_ = StopStep::Serve;
    Duration finishingSince_ {};
};

} // namespace wagtailhead
