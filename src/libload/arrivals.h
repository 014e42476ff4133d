/// Open-loop arrivals: a Poisson process whose rate changes by phases.
#pragma once

#include "wagtailhead/clock.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace wagtailhead::load {

struct Phase {
    std::string name_;
    Duration length_ = Duration::zero();
    double perSecond_ = 0; ///< Arrivals; 0 for a pause.
};

using Phases = std::vector<Phase>;

/// Returns the sum of the lengths.
auto totalLength(const Phases& phases) -> Duration;

/// Returns the start of a phase after the start of the first one.
auto startOf(const Phases& phases, std::size_t index) -> Duration;

/// Draws the arrival times one by one. The same seed gives the same sequence. Not thread safe.
class Arrivals {
public:
    Arrivals(Phases phases, std::uint64_t seed);

    /// Returns the next arrival, counted from the start of the first phase, or nothing after the last phase.
    auto next() -> std::optional<Duration>;

private:
    Phases phases_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> unit_ { 1.0 };
    std::size_t phase_ = 0;
    double phaseStart_ = 0; ///< Seconds since the start, as are the next two.
    double now_ = 0;
};

} // namespace wagtailhead::load
