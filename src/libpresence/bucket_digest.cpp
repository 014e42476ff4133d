#include "bucket_digest.h"

#include "wagtailhead/ids.h"

namespace wagtailhead {

auto bucketOf(std::string_view key) -> BucketIndex
{
    return static_cast<BucketIndex>(stableHash(key) % bucketCount);
}

auto BucketDigest::toggle(BucketIndex bucket, std::uint64_t recordHash) -> void
{
    hashes_.at(bucket) ^= recordHash;
}

auto BucketDigest::hash(BucketIndex bucket) const -> std::uint64_t
{
    return hashes_.at(bucket);
}

auto BucketDigest::hashes() const -> std::vector<std::uint64_t>
{
    return { hashes_.begin(), hashes_.end() };
}

auto BucketDigest::differing(const std::vector<std::uint64_t>& other) const -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> buckets;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (hashes_.at(bucket) != (bucket < other.size() ? other[bucket] : 0)) {
            buckets.push_back(bucket);
        }
    }
    return buckets;
}

} // namespace wagtailhead
