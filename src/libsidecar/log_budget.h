/// Bounds the log lines of a process.
#pragma once

#include "wagtailhead/clock.h"

#include <cstdint>

namespace wagtailhead {

/// Lets through a number of lines a second and counts the rest. Not thread safe.
class LogBudget {
public:
    explicit LogBudget(int linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    {
    }

    /// Returns whether another line may be written now; counts it as dropped if not.
    auto allow(TimePoint now) -> bool
    {
        if (now - windowStart_ >= seconds(1)) {
            windowStart_ = now;
            used_ = 0;
        }
        if (used_ < linesPerSecond_) {
            ++used_;
            return true;
        }
        ++dropped_;
        return false;
    }

    /// Returns the lines dropped since the last call.
    auto takeDropped() -> std::uint64_t
    {
        const auto dropped = dropped_;
        dropped_ = 0;
        return dropped;
    }

private:
    int linesPerSecond_;
    int used_ = 0;
    std::uint64_t dropped_ = 0;
    TimePoint windowStart_;
};

} // namespace wagtailhead
