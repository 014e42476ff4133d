#include "retry_pause.h"

#include <algorithm>

namespace wagtailhead {

auto RetryPause::next(std::mt19937_64& random) -> Duration
{
    const auto pause
        = std::uniform_int_distribution<Duration::rep>(bound_.count() / 2, bound_.count())(random);
    bound_ = std::min(bound_ * 2, most_);
    return Duration(pause);
}

} // namespace wagtailhead
