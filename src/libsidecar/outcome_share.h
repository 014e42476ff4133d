/// Share of recent requests that failed.
#pragma once

#include "wagtailhead/clock.h"

namespace wagtailhead {

/// Counts successes and failures; old ones lose weight by half with each half-life. Not thread safe.
class OutcomeShare {
public:
    /// Precondition: `halfLife` is positive.
    explicit OutcomeShare(Duration halfLife)
        : halfLife_(halfLife)
    {
    }

    /// Counts one request. Precondition: `now` never decreases.
    auto add(bool failed, TimePoint now) -> void;

    /// Returns the share of failures, or 0 if fewer requests than `minRequests` count.
    auto failedShare(double minRequests, TimePoint now) const -> double;

private:
    /// Returns by which factor the counts have lost weight since the last request.
    auto fading(TimePoint now) const -> double;

    Duration halfLife_;
    TimePoint lastAdded_;
    double failed_ = 0;
    double all_ = 0;
};

/// From this share of failed requests on, a service counts as failing.
constexpr double failingShare = 0.5;

} // namespace wagtailhead
