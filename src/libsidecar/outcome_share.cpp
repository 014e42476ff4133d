#include "outcome_share.h"

#include <cmath>

namespace wagtailhead {

auto OutcomeShare::fading(TimePoint now) const -> double
{
    const std::chrono::duration<double> passed = now - lastAdded_;
    const std::chrono::duration<double> halfLife = halfLife_;
    return std::exp2(-passed / halfLife);
}

auto OutcomeShare::add(bool failed, TimePoint now) -> void
{
    const double kept = fading(now);
    failed_ = failed_ * kept + (failed ? 1 : 0);
    all_ = all_ * kept + 1;
    lastAdded_ = now;
}

auto OutcomeShare::failedShare(double minRequests, TimePoint now) const -> double
{
    return all_ * fading(now) >= minRequests && all_ > 0 ? failed_ / all_ : 0;
}

} // namespace wagtailhead
