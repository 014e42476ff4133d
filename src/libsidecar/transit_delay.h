/// How long the messages of a connection have been on their way.
#pragma once

#include "link_frames.h"
#include "wagtailhead/clock.h"

#include <algorithm>
#include <cstdint>

namespace wagtailhead {

/// Compares the clocks of the two sides of a connection: the smallest difference that a message has shown is
/// taken for the one without delay. One for each connection and direction. Not thread safe.
class TransitDelay {
public:
    /// Returns how much longer a message took than the fastest one so far. `sentAtUs` is the sender's
    /// bootNow() in microseconds, and `now` that of this node.
    auto of(std::int64_t sentAtUs, TimePoint now) -> Duration
    {
        const Duration offset = now.time_since_epoch() - microseconds(sentAtUs);
        smallestOffset_ = std::min(smallestOffset_, offset);
        return offset - smallestOffset_;
    }

private:
    Duration smallestOffset_ = Duration::max();
};

/// Adds the time in transit to the age of the last read in a heartbeat. Those of earlier versions do not
/// carry the time of sending and are left as they are.
/// `receivedAt` is bootNow() of this node.
inline auto addTransitTime(BeatFrame& heartbeat, TransitDelay& transit, TimePoint receivedAt) -> void
{
    if (heartbeat.storeReadAge_ && heartbeat.sentAtUs_ != 0) {
        *heartbeat.storeReadAge_ += transit.of(heartbeat.sentAtUs_, receivedAt);
    }
}

} // namespace wagtailhead
