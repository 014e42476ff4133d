#include "outcome_share.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

} // namespace

Test(outcome_share, recent_requests_count_most)
{
    OutcomeShare share(seconds(1));
    cr_assert(share.failedShare(0, start) == 0, "nothing has been counted");
    for (int i = 0; i < 50; ++i) {
        share.add(true, start + milliseconds(20 * i));
    }
    cr_assert(share.failedShare(2, start + seconds(1)) == 1);
    share.add(false, start + seconds(7));
    cr_assert(share.failedShare(1, start + seconds(7)) < failingShare, "one success after a long pause");
}

Test(outcome_share, few_requests_say_nothing)
{
    OutcomeShare share(seconds(1));
    share.add(true, start);
    cr_assert(share.failedShare(2, start) == 0);
    share.add(true, start);
    cr_assert(share.failedShare(2, start) == 1);
    cr_assert(share.failedShare(2, start + seconds(3)) == 0, "both have faded");
}
