#include "quota_custodian.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wagtailhead {

namespace {

/// A caller does not wait longer for a token.
constexpr Duration longestRetryAfter = seconds(5);
/// A node asks for what it needs within some tenths of a second.
constexpr int mostWanted = 100000;

auto asDuration(double secondsCount) -> Duration
{
    // A very small rate gives times that the type cannot hold.
    const std::chrono::duration<double> longest = longestRetryAfter;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(secondsCount, longest.count())));
}

} // namespace

QuotaCustodian::QuotaCustodian(QuotaOptions options)
    : options_(std::move(options))
{
}

auto QuotaCustodian::update(
    const AccountTable& accounts, const QuotaMembers& members, bool joining, TimePoint now) -> void
{
    // At the start of the process the same node was the custodian before, unless it is new to the site.
    const bool displaces = std::exchange(updated_, true) || joining;
    std::unordered_map<std::string, Bucket> buckets;
    for (const auto& account : accounts.accounts()) {
        if (!account.isLimited() || members.nodeCount() == 0) {
            continue;
        }
        const auto shares = quotaShares(account, members.nodeCount(), members.regionCount(), options_.terms_);
        const auto custodians = members.custodiansOf(account.name_, shares.custodians_);
        const bool held = std::any_of(custodians.begin(), custodians.end(), [&](const QuotaNode* node) {
            return node->name_ == options_.node_;
        });
        if (!held) {
            continue;
        }
        Bucket bucket;
        const auto before = buckets_.find(account.name_);
        if (before != buckets_.end()) {
            bucket = before->second;
            fill(bucket, now);
        } else {
            bucket.filled_ = displaces ? now + options_.takeOverWait_ : now;
        }
        bucket.rate_ = shares.custodianRate_;
        bucket.depth_ = shares.custodianDepth_;
        bucket.tokens_ = std::min(bucket.tokens_, bucket.depth_);
        buckets.emplace(account.name_, bucket);
    }
    buckets_ = std::move(buckets);
}

auto QuotaCustodian::fill(Bucket& bucket, TimePoint now) -> void
{
    if (now <= bucket.filled_) {
        return;
    }
    const std::chrono::duration<double> passed = now - bucket.filled_;
    bucket.tokens_ = std::min(bucket.tokens_ + passed.count() * bucket.rate_, bucket.depth_);
    bucket.filled_ = now;
}

auto QuotaCustodian::ask(std::string_view account, int wanted, TimePoint now) -> QuotaGrant
{
    ++stats_.asks_;
    const auto found = buckets_.find(std::string(account));
    if (found == buckets_.end() || wanted <= 0) {
        return {};
    }
    auto& bucket = found->second;
    fill(bucket, now);
    QuotaGrant grant;
    wanted = std::min(wanted, mostWanted);
    grant.tokens_ = static_cast<int>(std::min<double>(wanted, bucket.tokens_));
    bucket.tokens_ -= grant.tokens_;
    stats_.granted_ += static_cast<std::uint64_t>(grant.tokens_);
    const int missing = wanted - grant.tokens_;
    if (missing > 0) {
        stats_.denied_ += static_cast<std::uint64_t>(missing);
        // What was denied before is waited for first, so that denied callers return one after another.
        const auto nextToken
            = std::max(bucket.filled_, now) + asDuration(std::max(1 - bucket.tokens_, 0.0) / bucket.rate_);
        const auto start = std::max(bucket.promisedUntil_, nextToken);
        grant.retryAfter_ = std::clamp<Duration>(start - now, milliseconds(1), longestRetryAfter);
        bucket.promisedUntil_
            = std::min<TimePoint>(start + asDuration(missing / bucket.rate_), now + longestRetryAfter);
    }
    return grant;
}

} // namespace wagtailhead
