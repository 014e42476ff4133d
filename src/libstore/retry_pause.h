/// A pause that grows with each failure, with jitter.
#pragma once

#include "wagtailhead/clock.h"

#include <random>

namespace wagtailhead {

class RetryPause {
public:
    RetryPause(Duration least, Duration most)
        : least_(least)
        , most_(most)
        , bound_(least)
    {
    }

    /// Returns a random time between half the bound and the bound, and doubles the bound.
    auto next(std::mt19937_64& random) -> Duration;
    auto reset() -> void
    {
        bound_ = least_;
    }

private:
    Duration least_;
    Duration most_;
    Duration bound_;
};

} // namespace wagtailhead
