/// The steps of a graceful shutdown.
#pragma once

#include "wagtailhead/clock.h"

#include <cstddef>
#include <optional>

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
    /// server, which still makes calls for them. `responsesUnread` says that callers have not read all of
    /// their responses.
    auto next(Duration spent, std::size_t requests, std::size_t backendRequests, bool responsesUnread = false)
        -> StopStep;

    /// Returns the time after SIGTERM until which the backend server can still make calls; requests that are
    /// sent to it must end before then.
    auto lastEnd() const -> Duration;

    /// Returns the time after SIGTERM at which responses still reach their callers.
    auto latestResponse() const -> Duration;

    /// Returns the time after SIGTERM before which a request has to end that is sent on at the time `spent`
    /// after SIGTERM, whether it has just arrived, has waited or is repeated. Returns nothing as long as
    /// callers may not have noticed the stop: their requests are accepted whatever time they have.
    auto latestDeadline(Duration spent) const -> std::optional<Duration>;

private:
    Duration stopTime_;
    StopStep step_ = StopStep::Serve;
    Duration idleSince_ = Duration::max(); ///< Time after SIGTERM since which nothing has been in flight.
};

} // namespace wagtailhead
