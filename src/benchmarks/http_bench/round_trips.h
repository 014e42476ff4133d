/// Counts and times round trips that several workers make one after another.
#pragma once

#include "wagtailhead/clock.h"

#include <atomic>
#include <cstddef>
#include <future>
#include <vector>

namespace wagtailhead {

struct RoundTripPlan {
    std::size_t requests_ = 0; ///< Measured round trips of all workers together.
    std::size_t warmUp_ = 0; ///< Round trips of each worker before the measured ones.
    std::size_t workers_ = 0;
};

struct RoundTripResult {
    std::vector<Duration> latencies_; ///< Sorted.
    std::size_t failures_ = 0;
    Duration elapsed_ = Duration::zero();

    /// Returns the latency at a rank of 0 to 1. Precondition: there are latencies.
    auto quantile(double rank) const -> Duration;
};

/// The record of one run. Each worker calls `begin` and `end` for its own index only.
class RoundTripRecorder {
public:
    explicit RoundTripRecorder(const RoundTripPlan& plan);

    /// Returns whether the worker shall make another round trip, and starts its clock.
    auto begin(std::size_t worker) -> bool;
    auto end(std::size_t worker, bool succeeded) -> void;

    /// Waits until every worker has been told to stop.
    auto wait() -> RoundTripResult;

private:
    struct Worker {
        std::size_t left_ = 0;
        std::size_t warmUp_ = 0;
        std::size_t failures_ = 0;
        TimePoint start_;
        std::vector<Duration> latencies_;
    };

    std::vector<Worker> workers_;
    std::atomic<std::size_t> running_;
    std::promise<void> done_;
    TimePoint start_;
};

} // namespace wagtailhead
