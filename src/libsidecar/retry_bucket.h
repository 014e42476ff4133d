/// Token bucket for the retries of one node to one service.
#pragma once

#include "wagtailhead/clock.h"

#include <cstdint>
#include <deque>

namespace wagtailhead {

struct RetryBucketOptions {
    double share_ = 0; ///< Tokens for each first try.
    double burst_ = 0; ///< Tokens at the start.
    Duration window_ = seconds(10); ///< How long earned tokens are kept.
};

/// Earns tokens with first tries and keeps them for a time, so that a node can use its share when failures
/// come together. A node with little traffic keeps one token at most. In any span as long as the window, the
/// retries are at most `burst_ + share_ * (first tries of that span and of the one before)`. Not thread safe.
class RetryBucket {
public:
    explicit RetryBucket(const RetryBucketOptions& options);

    /// Adds the share of one first try. Precondition: `now` never decreases.
    auto onFirstTry(TimePoint now) -> void;

    /// Takes one retry. Returns false, and takes nothing, if less than one token is left.
    auto tryTake(TimePoint now) -> bool;

    /// Applies new options; tokens beyond the new bound are lost.
    auto configure(const RetryBucketOptions& options) -> void;

private:
    /// What first tries earned within one slot of time.
    struct Earnings {
        std::int64_t slot_ = 0;
        double tokens_ = 0;
    };

    auto forget(TimePoint now) -> void;
    auto limitTokens() -> void;

    RetryBucketOptions options_;
    double tokens_ = 0;
    std::deque<Earnings> earnings_; ///< Within the window, oldest first.
    double earned_ = 0; ///< Sum of earnings_.
};

} // namespace wagtailhead
