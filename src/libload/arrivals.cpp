#include "arrivals.h"

#include <numeric>

namespace wagtailhead::load {

namespace {

using Seconds = std::chrono::duration<double>;

auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration_cast<Seconds>(duration).count();
}

} // namespace

auto totalLength(const Phases& phases) -> Duration
{
    return startOf(phases, phases.size());
}

auto startOf(const Phases& phases, std::size_t index) -> Duration
{
    return std::accumulate(phases.begin(), phases.begin() + static_cast<std::ptrdiff_t>(index),
        Duration::zero(), [](Duration sum, const Phase& phase) {
            return sum + phase.length_;
        });
}

Arrivals::Arrivals(Phases phases, std::uint64_t seed)
    : phases_(std::move(phases))
    , random_(seed)
{
}

auto Arrivals::next() -> std::optional<Duration>
{
    // The distance to the next arrival is exponential in units of expected arrivals, so that what is left of
    // it at the end of a phase goes on at the rate of the next one.
    double expected = unit_(random_);
    while (phase_ < phases_.size()) {
        const auto& phase = phases_[phase_];
        const double end = phaseStart_ + toSeconds(phase.length_);
        const double available = (end - now_) * phase.perSecond_;
        if (expected < available) {
            now_ += expected / phase.perSecond_;
            return std::chrono::duration_cast<Duration>(Seconds(now_));
        }
        expected -= available;
        now_ = phaseStart_ = end;
        ++phase_;
    }
    return std::nullopt;
}

} // namespace wagtailhead::load
