#include "retry_bucket.h"

#include <algorithm>

namespace wagtailhead {

namespace {

constexpr Duration slotTime = milliseconds(500);
/// A part of a token is kept until it is a whole one, however little traffic there is.
constexpr double minBound = 1;

} // namespace

RetryBucket::RetryBucket(const RetryBucketOptions& options)
    : options_(options)
    , tokens_(options.burst_)
{
}

auto RetryBucket::forget(TimePoint now) -> void
{
    const auto oldest = (now - options_.window_).time_since_epoch() / slotTime;
    while (!earnings_.empty() && earnings_.front().slot_ <= oldest) {
        earned_ -= earnings_.front().tokens_;
        earnings_.pop_front();
    }
    limitTokens();
}

auto RetryBucket::limitTokens() -> void
{
    const double earned = earnings_.empty() ? 0 : earned_;
    tokens_ = std::min(tokens_, std::max({ options_.burst_, earned, minBound }));
}

auto RetryBucket::onFirstTry(TimePoint now) -> void
{
    const auto slot = now.time_since_epoch() / slotTime;
    if (earnings_.empty() || earnings_.back().slot_ != slot) {
        earned_ = earnings_.empty() ? 0 : earned_;
        earnings_.push_back({ slot, 0 });
    }
    earnings_.back().tokens_ += options_.share_;
    earned_ += options_.share_;
    tokens_ += options_.share_;
    forget(now);
}

auto RetryBucket::tryTake(TimePoint now) -> bool
{
    forget(now);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

auto RetryBucket::configure(const RetryBucketOptions& options) -> void
{
    options_ = options;
    limitTokens();
}

} // namespace wagtailhead
