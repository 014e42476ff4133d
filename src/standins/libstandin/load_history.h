/// The load of a backend server stand-in over time, for reports that lag.
#pragma once

#include "wagtailhead/clock.h"

#include <cstddef>
#include <deque>

namespace wagtailhead::standin {

struct Load {
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;

    auto operator==(const Load&) const -> bool = default;
};

/// Remembers load changes as far back as a report may lag. Not thread safe.
class LoadHistory {
public:
    /// Records the load from `now` on and forgets what is older than `lag`. Times must not go back.
    auto record(Load load, TimePoint now, Duration lag) -> void;

    /// Returns the load at `time`, or the oldest known load if `time` lies before it.
    auto at(TimePoint time) const -> Load;

private:
    struct Sample {
        TimePoint time_;
        Load load_;
    };

    std::deque<Sample> samples_; ///< Oldest first.
};

} // namespace wagtailhead::standin
