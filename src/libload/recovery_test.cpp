#include "recovery.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::load;

namespace {

/// 40 windows of 500 ms: a surge from 8 s to 12 s in a load of 20 s.
auto calmWindows() -> std::vector<Window>
{
    std::vector<Window> windows(40, Window { {}, 100, 100, milliseconds(20), milliseconds(100) });
    for (int i = 0; i < 40; ++i) {
        windows[static_cast<std::size_t>(i)].begin_ = milliseconds(500) * i;
    }
    return windows;
}

auto judge(const std::vector<Window>& windows) -> Recovery
{
    return findRecovery(windows, seconds(8), seconds(12));
}

} // namespace

/// Guards against a recovery time when nothing was disturbed after the surge.
Test(recovery, zero_without_disturbance)
{
    auto windows = calmWindows();
    windows[18].good_ = 10; // In the surge.
    const auto recovery = judge(windows);
    cr_assert(recovery.time_ == Duration::zero());
    cr_assert(recovery.before_.medianP99_ == milliseconds(100));
    cr_assert_eq(recovery.before_.windows_, 10U); // From 3 s to 8 s.
}

/// Guards against a recovery that is seen before goodput is back.
Test(recovery, lasts_until_goodput_is_back)
{
    auto windows = calmWindows();
    windows[24].good_ = 50;
    windows[25].good_ = 90;
    cr_assert(judge(windows).time_ == Duration(seconds(1)));
}

/// Guards against a recovery that is seen while requests are still slow.
Test(recovery, lasts_until_latency_is_back)
{
    auto windows = calmWindows();
    windows[26].p99_ = milliseconds(151);
    cr_assert(judge(windows).time_ == Duration(milliseconds(1500)));
    windows[26].p99_ = milliseconds(150);
    cr_assert(judge(windows).time_ == Duration::zero());
}

/// Guards against a first good window being taken for a recovery that does not stay.
Test(recovery, a_relapse_counts)
{
    auto windows = calmWindows();
    windows[24].good_ = 0;
    windows[32].good_ = 0; // From 16 s to 16.5 s.
    cr_assert(judge(windows).time_ == Duration(milliseconds(4500)));
}

/// Guards against an overload that never ends being reported as recovered.
Test(recovery, none_if_the_end_is_still_bad)
{
    auto windows = calmWindows();
    windows[39].good_ = 0;
    cr_assert(!judge(windows).time_.has_value());
}

/// Guards against the begin of the surge, or the settling of the mesh, lowering the level before.
Test(recovery, level_before_excludes_settling_and_surge)
{
    auto windows = calmWindows();
    windows[0].good_ = 0;
    windows[0].p99_ = seconds(5);
    windows[16].good_ = 0;
    const auto recovery = judge(windows);
    cr_assert_eq(recovery.before_.goodShare_, 1.0);
    cr_assert(recovery.before_.worstP99_ == milliseconds(100));
}

/// Guards against a recovery without anything to compare with.
Test(recovery, none_without_a_level_before)
{
    cr_assert(!findRecovery(calmWindows(), seconds(0), seconds(4)).time_.has_value());
}
