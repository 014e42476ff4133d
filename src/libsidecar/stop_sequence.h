/// The steps of a graceful shutdown.
#pragma once

#include "wagtailhead/clock.h"

#include <cstddef>

namespace wagtailhead {

enum class StopStep {
    Serve, ///< Callers may not have noticed yet that the node is not ready; the backend server still serves.
    Drain, ///< The backend server receives no new requests.
    Refuse, ///< Further requests are refused immediately, so that their callers retry later.
    Finish, ///< Accepts no new connections and no further requests; requests in flight continue.
    End,
};

/// Determines the current step of a graceful shutdown. Not thread safe.
class StopSequence {
public:
    /// `stopTime` is the time from SIGTERM to SIGKILL.
    explicit StopSequence(Duration stopTime)
        : stopTime_(stopTime)
    {
    }

    /// Returns the step at the time `spent` after SIGTERM. Steps only advance. `requests` is the number of
    /// requests of callers that are not answered completely, `backendRequests` the number at the backend
    /// server, which still makes calls for them.
    auto next(Duration spent, std::size_t requests, std::size_t backendRequests) -> StopStep;

    /// Returns the time after SIGTERM until which the backend server can still make calls; requests that are
    /// sent to it must end before then.
    auto lastEnd() const -> Duration;

private:
    Duration stopTime_;
    StopStep step_ = StopStep::Serve;
    Duration idleSince_ = Duration::max(); ///< Time after SIGTERM since which nothing has been in flight.
};

} // namespace wagtailhead
