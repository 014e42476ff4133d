#include "recovery.h"

#include <algorithm>

namespace wagtailhead::load {

namespace {

auto levelBefore(const std::vector<Window>& windows, Duration begin, Duration end) -> LevelBefore
{
    LevelBefore level;
    std::size_t arrived = 0;
    std::size_t good = 0;
    std::vector<Duration> p99s;
    for (std::size_t i = 0; i + 1 < windows.size(); ++i) {
        const auto& window = windows[i];
        // A window that reaches into the surge shows its beginning.
        if (window.begin_ < begin || windows[i + 1].begin_ > end || window.arrived_ == 0) {
            continue;
        }
        arrived += window.arrived_;
        good += window.good_;
        p99s.push_back(window.p99_);
    }
    level.windows_ = p99s.size();
    if (p99s.empty()) {
        return level;
    }
    std::sort(p99s.begin(), p99s.end());
    level.goodShare_ = static_cast<double>(good) / static_cast<double>(arrived);
    level.medianP99_ = p99s[p99s.size() / 2];
    level.worstP99_ = p99s.back();
    return level;
}

auto isAtLevel(const Window& window, const LevelBefore& level, const RecoveryOptions& options) -> bool
{
    if (window.arrived_ == 0) {
        return true;
    }
    const auto highest = std::max(
        std::chrono::duration_cast<Duration>(level.medianP99_ * options.latencyTolerance_), level.worstP99_);
    return window.goodShare() >= level.goodShare_ - options.shareTolerance_ && window.p99_ <= highest;
}

} // namespace

auto findRecovery(const std::vector<Window>& windows, Duration surgeBegin, Duration surgeEnd,
    const RecoveryOptions& options) -> Recovery
{
    Recovery recovery;
    recovery.before_ = levelBefore(windows, std::min(options.settling_, surgeBegin), surgeBegin);
    if (recovery.before_.windows_ == 0) {
        return recovery;
    }
    auto time = Duration::zero();
    bool lastIsBack = false;
    for (std::size_t i = 0; i < windows.size(); ++i) {
        if (windows[i].begin_ < surgeEnd) {
            continue;
        }
        lastIsBack = isAtLevel(windows[i], recovery.before_, options);
        if (!lastIsBack && i + 1 < windows.size()) {
            time = windows[i + 1].begin_ - surgeEnd;
        }
    }
    if (lastIsBack) {
        recovery.time_ = time;
    }
    return recovery;
}

} // namespace wagtailhead::load
