#include "latency_baseline.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace wagtailhead {

namespace {

/// Bounds the memory of a table whose keys are derived from requests; further groups are not measured.
constexpr std::size_t maxGroups = 256;

/// Minimum measurements of a group in one window to replace its baseline in `adopt`.
constexpr int minGroupSamples = 3;

/// Maximum weight of a baseline, in completions.
constexpr double baselineMemory = 1000;

/// If the latency of a group falls below this share of its baseline, the weight of the baseline is limited to
/// `fasterMemory` completions, so that it follows quickly.
constexpr double fasterRatio = 0.75;
constexpr double fasterMemory = 100;

/// Lower bound of samples in seconds; avoids division by zero.
constexpr double minBaseline = 1e-6;

} // namespace

auto LatencyBaseline::add(std::uint64_t group, Duration latency) -> void
{
    if (groups_.size() >= maxGroups && !groups_.contains(group)) {
        return;
    }
    const double sample = std::max(std::chrono::duration<double>(latency).count(), minBaseline);
    auto& entry = groups_[group];
    entry.sum_ += sample;
    ++entry.samples_;
    latencySum_ += sample;
    ++samples_;
    if (entry.baseline_ > 0) {
        const double ratio = sample / entry.baseline_;
        ratioSum_ += ratio;
        ratioSquares_ += ratio * ratio;
        ++ratios_;
    }
}

auto LatencyBaseline::startWindow() -> void
{
    for (auto& [id, group] : groups_) {
        group.sum_ = 0;
        group.samples_ = 0;
    }
    latencySum_ = 0;
    ratioSum_ = 0;
    ratioSquares_ = 0;
    ratios_ = 0;
    samples_ = 0;
}

auto LatencyBaseline::ratio() const -> double
{
    return ratios_ > 0 ? ratioSum_ / ratios_ : 1;
}

auto LatencyBaseline::ratioError() const -> double
{
    if (ratios_ < 2) {
        return std::numeric_limits<double>::infinity();
    }
    const double mean = ratioSum_ / ratios_;
    const double variance = std::max(ratioSquares_ / ratios_ - mean * mean, 0.0);
    return std::sqrt(variance / (ratios_ - 1));
}

auto LatencyBaseline::meanLatency() const -> Duration
{
    const double mean = samples_ > 0 ? latencySum_ / samples_ : 0;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(mean));
}

auto LatencyBaseline::follow(bool alsoUp) -> void
{
    for (auto& [id, group] : groups_) {
        const bool hasBaseline = group.baseline_ > 0;
        if (group.samples_ == 0 || (hasBaseline && !alsoUp && group.mean() > group.baseline_)) {
            continue;
        }
        if (group.mean() < fasterRatio * group.baseline_) {
            group.weight_ = std::min(group.weight_, fasterMemory);
        }
        group.baseline_
            += (group.mean() - group.baseline_) * group.samples_ / (group.weight_ + group.samples_);
        group.weight_ = std::min(group.weight_ + group.samples_, baselineMemory);
    }
}

auto LatencyBaseline::adopt() -> void
{
    for (auto& [id, group] : groups_) {
        if (group.samples_ >= minGroupSamples) {
            group.baseline_ = group.mean();
            group.weight_ = group.samples_;
        }
    }
}

} // namespace wagtailhead
