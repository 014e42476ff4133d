#include "run_times.h"

#include <chrono>

namespace wagtailhead {

namespace {

/// Weights of the newest response, as in the estimate of round trip times of RFC 6298.
constexpr int meanDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr std::size_t mostRoutes = 1024;

} // namespace

auto RunTimes::onResponse(const std::string& route, Duration time) -> void
{
    const auto found = estimates_.find(route);
    if (found == estimates_.end()) {
        if (estimates_.size() < mostRoutes) {
            estimates_.emplace(route, Estimate { time, time / 2 });
        }
        return;
    }
    auto& estimate = found->second;
    const auto error = time - estimate.mean_;
    estimate.mean_ += error / meanDivisor;
    estimate.deviation_ += (std::chrono::abs(error) - estimate.deviation_) / deviationDivisor;
}

auto RunTimes::usual(const std::string& route) const -> Duration
{
    const auto found = estimates_.find(route);
    return found == estimates_.end() ? Duration::zero() : found->second.mean_ + found->second.deviation_;
}

} // namespace wagtailhead
