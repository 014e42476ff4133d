/// The granting side of quotas: token buckets of the accounts of which this node is a custodian.
#pragma once

#include "quota_members.h"

#include <unordered_map>

namespace wagtailhead {

struct QuotaOptions {
    std::string node_; ///< Name of this node.
    QuotaTerms terms_ {};
    /// How long a node that becomes a custodian through a change of the membership grants nothing: the node
    /// before it may not have heard of the change yet.
    Duration takeOverWait_ = seconds(3);
    std::uint64_t seed_ = 0;
};

/// A custodian's answer.
struct QuotaGrant {
    int tokens_ = 0;
    Duration retryAfter_ {}; ///< If fewer tokens than wanted were granted: when there will be some again.
};

/// Counters since the start of the process.
struct QuotaCustodianStats {
    std::uint64_t asks_ = 0;
    std::uint64_t granted_ = 0; ///< Tokens.
    std::uint64_t denied_ = 0; ///< Tokens that were wanted and not granted.
};

/// Grants tokens of the accounts that it holds. A bucket starts empty, so that a restarted process, which
/// does not know what it has granted, never grants more than the rate. Times are bootNow() times. Not thread
/// safe.
class QuotaCustodian {
public:
    explicit QuotaCustodian(QuotaOptions options);

    /// Takes the accounts of a configuration and the nodes of the site. `joining` is true if this node was
    /// not a member before its process started. A lower rate or burst applies to tokens that are not granted
    /// yet. The members must outlive the next call.
    auto update(const AccountTable& accounts, const QuotaMembers& members, bool joining, TimePoint now)
        -> void;

    /// Answers a node that wants `wanted` tokens of an account. Grants none if this node is not a custodian.
    auto ask(std::string_view account, int wanted, TimePoint now) -> QuotaGrant;

    /// Returns the accounts of which this node is a custodian.
    auto heldAccounts() const -> std::size_t
    {
        return buckets_.size();
    }
    auto stats() const -> const QuotaCustodianStats&
    {
        return stats_;
    }

private:
    struct Bucket {
        double rate_ = 0;
        double depth_ = 0;
        double tokens_ = 0;
        TimePoint filled_; ///< Up to when tokens_ is counted; later than now while the bucket may not grant.
        TimePoint promisedUntil_; ///< When the tokens that were denied so far will have come in.
    };

    static auto fill(Bucket& bucket, TimePoint now) -> void;

    QuotaOptions options_;
    std::unordered_map<std::string, Bucket> buckets_;
    QuotaCustodianStats stats_;
    bool updated_ = false;
};

} // namespace wagtailhead
