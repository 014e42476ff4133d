/// Latency of calls relative to the uncongested latency of their group. Internal to libcall.
#pragma once

#include "wagtailhead/clock.h"

#include <cstdint>
#include <unordered_map>

namespace wagtailhead {

/// The uncongested latency of each group of calls, and the measurements of the current window. Ratios
/// rather than latencies are averaged over groups, so that a change in the mix of calls does not look
/// like congestion. Not thread safe.
class LatencyBaseline {
public:
    auto add(std::uint64_t group, Duration latency) -> void;

    /// Discards the measurements of the window.
    auto startWindow() -> void;

    /// Returns the measurements in the window.
    auto samples() const -> int
    {
        return samples_;
    }

    /// Returns the mean ratio of latency and baseline in the window, or 1 without measurements.
    auto ratio() const -> double;

    /// Returns the standard error of the ratio, or infinity with fewer than two measurements.
    auto ratioError() const -> double;

    /// Returns the mean latency in the window, or zero without measurements.
    auto meanLatency() const -> Duration;

    /// Moves the baselines towards the latencies of the window: downwards always, upwards only if
    /// `alsoUp`. A baseline has a weight of up to about a thousand completions, so that random variation
    /// hardly changes it.
    auto follow(bool alsoUp) -> void;

    /// Sets the baselines to the latencies measured in the window, after a probe has shown that these are not
    /// caused by congestion.
    auto adopt() -> void;

private:
    struct Group {
        double baseline_ = 0; ///< In seconds; 0 before the first measurements.
        double weight_ = 0; ///< Weight of the baseline, in completions.
        double sum_ = 0; ///< In seconds, of the window.
        int samples_ = 0; ///< Of the window.

        auto mean() const -> double
        {
            return sum_ / samples_;
        }
    };

    std::unordered_map<std::uint64_t, Group> groups_;
    double latencySum_ = 0;
    double ratioSum_ = 0;
    double ratioSquares_ = 0;
    int ratios_ = 0; ///< Measurements of groups with a baseline.
    int samples_ = 0;
};

} // namespace wagtailhead
