/// A histogram of durations with logarithmic buckets.
#pragma once

#include "wagtailhead/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace wagtailhead::load {

/// Counts durations from 1 µs to about 70 min with a relative error below 1.6 %. Durations outside count in
/// the first or last bucket. Not thread safe.
class LogHistogram {
public:
    auto add(Duration value) -> void;
    auto merge(const LogHistogram& other) -> void;

    auto count() const -> std::uint64_t;

    /// Returns the middle of the bucket that holds the value of rank `share` (0 to 1), or zero if the
    /// histogram is empty. The largest value is returned exactly for a share of 1.
    auto percentile(double share) const -> Duration;

    auto max() const -> Duration;

private:
    /// Buckets of each power of two.
    static constexpr std::size_t subBits = 5;
    static constexpr std::size_t subBuckets = std::size_t { 1 } << subBits;
    static constexpr std::size_t powers = 28;

    static auto bucketOf(std::uint64_t value) -> std::size_t;
    static auto middleOf(std::size_t bucket) -> std::uint64_t;

    std::array<std::uint64_t, powers * subBuckets> counts_ {};
    std::uint64_t count_ = 0;
    Duration max_ = Duration::zero();
};

} // namespace wagtailhead::load
