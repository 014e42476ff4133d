/// Estimates of how long calls take at the backend server. Internal to libcall.
#pragma once

#include "wagtailhead/clock.h"

#include <cstdint>
#include <unordered_map>

namespace wagtailhead {

/// Moving mean and mean deviation of the service time, by group of calls. Not thread safe.
class ServiceTimes {
public:
    auto record(std::uint64_t group, Duration serviceTime, TimePoint now) -> void;

    /// Returns the mean of the group, or of all calls if the group has too few samples; zero without samples.
    auto mean(std::uint64_t group) const -> Duration;

    /// Returns the mean of all calls; zero without samples.
    auto overallMean() const -> Duration;

    /// Returns an optimistic estimate of the service time: the mean less the mean deviation. A call with less
    /// time until its deadline is not started. The estimate decays while no samples arrive; otherwise an
    /// estimate by which every call is refused would never be corrected.
    auto optimistic(std::uint64_t group, TimePoint now) const -> Duration;

private:
    struct Estimate {
        double mean_ = 0; ///< In seconds.
        double deviation_ = 0; ///< In seconds.
        int samples_ = 0;
        TimePoint lastSample_;

        auto add(double sample, TimePoint now) -> void;
    };

    auto find(std::uint64_t group) const -> const Estimate&;

    Estimate overall_;
    std::unordered_map<std::uint64_t, Estimate> groups_;
};

} // namespace wagtailhead
