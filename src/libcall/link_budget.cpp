#include "link_budget.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

/// Size of the bucket as the bytes of this time at the configured rate.
constexpr double burstSeconds = 2;

/// Least size of the bucket in bytes. Without it the part of one node among hundreds could not carry a
/// single ordinary reply.
constexpr double minBurstBytes = 64.0 * 1024;

/// Share of the bucket that calls of each priority may not use, since it is reserved for more important ones.
constexpr std::array<double, priorityCount> reservedShares { 0.0, 0.2, 0.4, 0.7 };

} // namespace

LinkBudget::LinkBudget(double bytesPerSecond)
    : bytesPerSecond_(bytesPerSecond)
    , tokens_(burst())
{
}

auto LinkBudget::burst() const -> double
{
    return bytesPerSecond_ <= 0 ? 0 : std::max(bytesPerSecond_ * burstSeconds, minBurstBytes);
}

auto LinkBudget::refill(TimePoint now) -> void
{
    if (started_ && now > refilledAt_) {
        tokens_ += bytesPerSecond_ * std::chrono::duration<double>(now - refilledAt_).count();
    }
    refilledAt_ = started_ ? std::max(refilledAt_, now) : now;
    started_ = true;
    tokens_ = std::min(tokens_, burst());
}

auto LinkBudget::setRate(double bytesPerSecond, TimePoint now) -> void
{
    refill(now);
    bytesPerSecond_ = bytesPerSecond;
    tokens_ = std::min(tokens_, burst());
}

auto LinkBudget::tryTake(Priority priority, std::size_t bytes, TimePoint now) -> bool
{
    refill(now);
    if (tokens_ <= reservedShares.at(static_cast<std::size_t>(priority)) * burst()) {
        return false;
    }
    tokens_ -= static_cast<double>(bytes);
    return true;
}

auto LinkBudget::charge(std::size_t bytes, TimePoint now) -> void
{
    refill(now);
    tokens_ -= static_cast<double>(bytes);
}

auto LinkBudget::tokens(TimePoint now) -> double
{
    refill(now);
    return tokens_;
}

} // namespace wagtailhead
