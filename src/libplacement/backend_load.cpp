#include "backend_load.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace wagtailhead {

namespace {

/// Neighbours come and go after some tenths of a second; a quarter of that is smoothed over.
constexpr double smoothingSeconds = 0.15;
/// Without a response for this time the slowdown is not known.
constexpr Duration slowdownLife = seconds(1);
constexpr int largestCount = 1'000'000;
constexpr double percent = 100;
constexpr double smallestSlowdown = 0.1;
constexpr double largestSlowdown = 100;

auto takeNumber(std::string_view& text) -> std::optional<int>
{
    const auto comma = std::min(text.find(','), text.size());
    auto part = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    while (!part.empty() && part.front() == ' ') {
        part.remove_prefix(1);
    }
    int value = 0;
    const auto result = std::from_chars(part.data(), part.data() + part.size(), value);
    if (part.empty() || result.ec != std::errc {} || result.ptr != part.data() + part.size() || value < 0
        || value > largestCount) {
        return std::nullopt;
    }
    return value;
}

} // namespace

auto parseBackendLoad(std::string_view text) -> std::optional<BackendLoad>
{
    BackendLoad load;
    for (auto* figure : std::array { &load.running_, &load.waiting_, &load.slots_ }) {
        const auto value = takeNumber(text);
        if (!value) {
            return std::nullopt;
        }
        *figure = *value;
    }
    if (!text.empty()) {
        const auto value = takeNumber(text);
        if (!value || !text.empty()) {
            return std::nullopt;
        }
        load.slowdown_ = std::clamp(*value / percent, smallestSlowdown, largestSlowdown);
    }
    return load;
}

auto Slowdown::add(double slowdown, TimePoint now) -> void
{
    const std::chrono::duration<double> passed = now - updated_;
    const double weight = isKnown(now) ? 1 - std::exp(-passed.count() / smoothingSeconds) : 1;
    value_ += (slowdown - value_) * weight;
    updated_ = now;
}

auto Slowdown::isKnown(TimePoint now) const -> bool
{
    return updated_ != TimePoint {} && now - updated_ < slowdownLife;
}

auto Slowdown::now(TimePoint now) const -> double
{
    return isKnown(now) ? value_ : 1;
}

} // namespace wagtailhead
