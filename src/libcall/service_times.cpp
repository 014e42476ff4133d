#include "service_times.h"

#include <algorithm>
#include <cmath>

namespace wagtailhead {

namespace {

/// Bounds the memory of a table whose keys are derived from requests; further groups share the overall
/// estimate.
constexpr std::size_t maxGroups = 256;

/// Averaging time of the estimates, and the minimum number of samples averaged. The shedding level depends on
/// the estimates, so the noise of few samples would make it fluctuate.
constexpr double memorySeconds = 0.25;
constexpr double minMemorySamples = 30;
constexpr double minWeight = 0.004;

/// Samples of a group before its own estimate is used.
constexpr int minSamples = 3;

/// An estimate without a new sample for this time is halved for each further period of the same length.
constexpr Duration staleAfter = seconds(1);

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

auto fromSeconds(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

auto ServiceTimes::Estimate::add(double sample, TimePoint now) -> void
{
    ++samples_;
    const double settled
        = std::clamp(toSeconds(now - lastSample_) / memorySeconds, minWeight, 1 / minMemorySamples);
    const double weight = std::max(1.0 / samples_, settled);
    if (samples_ > 1) {
        deviation_ += weight * (std::abs(sample - mean_) - deviation_);
    }
    mean_ += weight * (sample - mean_);
    lastSample_ = now;
}

auto ServiceTimes::find(std::uint64_t group) const -> const Estimate&
{
    const auto found = groups_.find(group);
    return found == groups_.end() || found->second.samples_ < minSamples ? overall_ : found->second;
}

auto ServiceTimes::record(std::uint64_t group, Duration serviceTime, TimePoint now) -> void
{
    const double sample = toSeconds(serviceTime);
    overall_.add(sample, now);
    if (groups_.size() < maxGroups || groups_.contains(group)) {
        groups_[group].add(sample, now);
    }
}

auto ServiceTimes::mean(std::uint64_t group) const -> Duration
{
    return fromSeconds(find(group).mean_);
}

auto ServiceTimes::overallMean() const -> Duration
{
    return fromSeconds(overall_.mean_);
}

auto ServiceTimes::optimistic(std::uint64_t group, TimePoint now) const -> Duration
{
    const auto& estimate = find(group);
    if (estimate.samples_ < minSamples) {
        return Duration::zero();
    }
    double value = std::max(estimate.mean_ - estimate.deviation_, estimate.mean_ / 2);
    const auto age = now - estimate.lastSample_;
    if (age > staleAfter) {
        value *= std::exp2(-toSeconds(age - staleAfter) / toSeconds(staleAfter));
    }
    return fromSeconds(value);
}

} // namespace wagtailhead
