/// Estimates when a frame was sent on the receiver's clock, without synchronised clocks.
#pragma once

#include "wagtailhead/clock.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace wagtailhead {

/// Keeps the smallest difference between the receiver's and the sender's steady clock over a moving
/// window. The difference includes the shortest transit time, so an estimated age is too low by that
/// time and never too high, apart from clock drift within the window. Not thread safe.
class ClockOffset {
public:
    /// Takes the sender's clock reading of a frame received at `now`; returns the estimated sending time.
    auto observe(microseconds senderClock, TimePoint now) -> TimePoint
    {
        const auto offset = std::chrono::duration_cast<microseconds>(now.time_since_epoch()) - senderClock;
        rotate(now);
        current_ = std::min(current_, offset);
        ++samples_;
        const auto smallest = std::min(current_, previous_);
        return TimePoint(std::chrono::duration_cast<Duration>(senderClock + smallest));
    }

private:
    /// Bounds the error from clock drift: 50 ppm over two windows is 6 ms.
    static constexpr Duration windowLength = seconds(60);
    /// A window ends only with enough samples. After a freeze, the frames that waited in the socket
    /// buffer must still be compared with samples from before the freeze.
    static constexpr int minSamples = 8;

    auto rotate(TimePoint now) -> void
    {
        if (samples_ == 0) {
            windowStart_ = now;
        }
        if (now - windowStart_ < windowLength || samples_ < minSamples) {
            return;
        }
        previous_ = current_;
        current_ = microseconds::max();
        samples_ = 0;
        windowStart_ = now;
    }

    microseconds current_ = microseconds::max();
    microseconds previous_ = microseconds::max();
    TimePoint windowStart_;
    int samples_ = 0;
};

} // namespace wagtailhead
