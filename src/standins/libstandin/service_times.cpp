#include "service_times.h"

namespace wagtailhead::standin {

ServiceTimes::ServiceTimes(ServiceTimeOptions options, TimePoint start)
    : options_(options)
    , start_(start)
    , random_(options.seed_)
    , distribution_(0.0, options.spread_)
{
}

auto ServiceTimes::next(TimePoint now, double factor) -> Duration
{
    const double stretch = distribution_(random_) * factor * coldFactor(now);
    return std::chrono::duration_cast<Duration>(options_.median_ * stretch);
}

auto ServiceTimes::coldFactor(TimePoint now) const -> double
{
    const auto age = now - start_;
    if (age >= options_.coldStart_) {
        return 1.0;
    }
    const double remaining = 1.0 - std::chrono::duration<double>(age) / options_.coldStart_;
    return 1.0 + (options_.coldFactor_ - 1.0) * remaining;
}

} // namespace wagtailhead::standin
