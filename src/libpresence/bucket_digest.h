/// Digest for anti-entropy: keys are divided into a fixed number of buckets with one hash each.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace wagtailhead {

constexpr std::size_t bucketCount = 64;

using BucketIndex = std::uint8_t;

/// Returns the bucket of a member id or item key.
auto bucketOf(std::string_view key) -> BucketIndex;

/// Combines the hashes of all records of each bucket by exclusive or, so adding a record a second time
/// removes it. The hash of an empty bucket is 0.
class BucketDigest {
public:
    auto toggle(BucketIndex bucket, std::uint64_t recordHash) -> void;
    auto hash(BucketIndex bucket) const -> std::uint64_t;
    auto hashes() const -> std::vector<std::uint64_t>;

    /// Returns the buckets whose hash differs from that in `other`. Missing entries count as empty.
    auto differing(const std::vector<std::uint64_t>& other) const -> std::vector<std::uint64_t>;

private:
    std::array<std::uint64_t, bucketCount> hashes_ {};
};

} // namespace wagtailhead
