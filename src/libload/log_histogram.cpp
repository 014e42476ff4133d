#include "log_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace wagtailhead::load {

auto LogHistogram::bucketOf(std::uint64_t value) -> std::size_t
{
    // Values below 2 * subBuckets have buckets of their own; above, the top bits choose the bucket.
    const auto width = static_cast<std::size_t>(std::bit_width(value));
    const std::size_t shift = width > subBits + 1 ? width - subBits - 1 : 0;
    const std::size_t bucket = shift * subBuckets + static_cast<std::size_t>(value >> shift);
    return std::min(bucket, powers * subBuckets - 1);
}

auto LogHistogram::middleOf(std::size_t bucket) -> std::uint64_t
{
    if (bucket < 2 * subBuckets) {
        return bucket;
    }
    const std::size_t shift = bucket / subBuckets - 1;
    const std::uint64_t low = (bucket - shift * subBuckets) << shift;
    return low + ((std::uint64_t { 1 } << shift) >> 1);
}

auto LogHistogram::add(Duration value) -> void
{
    const auto micros = std::max<std::int64_t>(0, std::chrono::duration_cast<microseconds>(value).count());
    ++counts_.at(bucketOf(static_cast<std::uint64_t>(micros)));
    ++count_;
    max_ = std::max(max_, value);
}

auto LogHistogram::merge(const LogHistogram& other) -> void
{
    std::transform(
        counts_.begin(), counts_.end(), other.counts_.begin(), counts_.begin(), std::plus<std::uint64_t>());
    count_ += other.count_;
    max_ = std::max(max_, other.max_);
}

auto LogHistogram::count() const -> std::uint64_t
{
    return count_;
}

auto LogHistogram::max() const -> Duration
{
    return max_;
}

auto LogHistogram::percentile(double share) const -> Duration
{
    if (count_ == 0) {
        return Duration::zero();
    }
    const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_)));
    if (rank >= count_) {
        return max_;
    }
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        seen += counts_.at(i);
        if (seen >= std::max<std::uint64_t>(rank, 1)) {
            return std::min<Duration>(microseconds(middleOf(i)), max_);
        }
    }
    return max_;
}

} // namespace wagtailhead::load
