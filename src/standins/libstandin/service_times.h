/// Service times of a backend server stand-in.
#pragma once

#include "wagtailhead/clock.h"

#include <cstdint>
#include <random>

namespace wagtailhead::standin {

struct ServiceTimeOptions {
    Duration median_ = milliseconds(10);
    double spread_ = 0.3; ///< Standard deviation of the logarithm; 0 gives the median each time.
    Duration coldStart_ = Duration::zero(); ///< How long the service is slower after its start.
    double coldFactor_ = 5.0; ///< How many times slower it is at its start.
    std::uint64_t seed_ = 1;
};

/// Draws service times from a lognormal distribution. The same seed gives the same sequence. Not thread
/// safe.
class ServiceTimes {
public:
    ServiceTimes(ServiceTimeOptions options, TimePoint start);

    /// Returns the next service time, multiplied by `factor` and by the cold start factor at `now`.
    auto next(TimePoint now, double factor) -> Duration;

    /// Returns how many times slower than usual the service is: falls linearly from coldFactor_ to 1.
    auto coldFactor(TimePoint now) const -> double;

private:
    ServiceTimeOptions options_;
    TimePoint start_;
    std::mt19937_64 random_;
    std::lognormal_distribution<double> distribution_;
};

} // namespace wagtailhead::standin
