/// Goodput and latency over time.
#pragma once

#include "records.h"
#include "wagtailhead/clock.h"

#include <cstddef>
#include <vector>

namespace wagtailhead::load {

/// What happened in one interval.
struct Interval {
    std::size_t arrived_ = 0; ///< Whole requests by their intended start.
    std::vector<std::size_t> good_; ///< Whole requests by kind, in the interval in which they completed.

    auto goodTotal() const -> std::size_t;
};

/// Counts arrivals and goodput in intervals of equal length from `begin` on.
auto goodputSeries(const Records& records, std::size_t kindCount, TimePoint begin, Duration interval)
    -> std::vector<Interval>;

/// Requests that arrived in one window.
struct Window {
    Duration begin_ = Duration::zero(); ///< Since the begin of the load.
    std::size_t arrived_ = 0;
    std::size_t good_ = 0; ///< Those that completed, whenever that was.
    Duration p50_ = Duration::zero(); ///< Of the good ones, from the intended start.
    Duration p99_ = Duration::zero();

    auto goodShare() const -> double
    {
        return arrived_ == 0 ? 1.0 : static_cast<double>(good_) / static_cast<double>(arrived_);
    }
};

/// Returns the windows from `begin` to `begin + length`; the last one may be shorter.
auto arrivalWindows(const Records& records, TimePoint begin, Duration length, Duration window)
    -> std::vector<Window>;

} // namespace wagtailhead::load
