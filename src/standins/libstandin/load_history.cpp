#include "load_history.h"

#include <algorithm>

namespace wagtailhead::standin {

auto LoadHistory::record(Load load, TimePoint now, Duration lag) -> void
{
    samples_.push_back({ now, load });
    // The newest sample that is older than the lag still holds at that time, so it is kept.
    while (samples_.size() > 1 && samples_[1].time_ <= now - lag) {
        samples_.pop_front();
    }
}

auto LoadHistory::at(TimePoint time) const -> Load
{
    if (samples_.empty()) {
        return {};
    }
    const auto next = std::upper_bound(
        samples_.begin(), samples_.end(), time, [](TimePoint wanted, const Sample& sample) {
            return wanted < sample.time_;
        });
    return next == samples_.begin() ? next->load_ : std::prev(next)->load_;
}

} // namespace wagtailhead::standin
