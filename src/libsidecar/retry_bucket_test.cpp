#include "retry_bucket.h"

#include <criterion/criterion.h>
#include <vector>

using namespace wagtailhead;

namespace {

constexpr TimePoint start { std::chrono::hours(1) };

auto takeAll(RetryBucket& bucket, TimePoint now) -> int
{
    int taken = 0;
    while (bucket.tryTake(now)) {
        ++taken;
    }
    return taken;
}

} // namespace

Test(retry_bucket, keeps_the_earnings_of_its_window)
{
    RetryBucket bucket({ 0.125, 0.5, seconds(10) });
    cr_assert(takeAll(bucket, start) == 0, "half a token is no retry");
    for (int i = 0; i < 20000; ++i) {
        bucket.onFirstTry(start + milliseconds(i));
    }
    const int kept = takeAll(bucket, start + milliseconds(20000));
    cr_assert(kept > 1100 && kept <= 1250, "%d", kept);
    for (int i = 0; i < 1000; ++i) {
        bucket.onFirstTry(start + milliseconds(20000 + i));
    }
    cr_assert(takeAll(bucket, start + seconds(60)) == 1, "old earnings are lost");
}

// Every node of a large site used to start with one token for each service, more than the site's whole
// allowance.
Test(retry_bucket, many_nodes_with_little_traffic_stay_within_the_allowance)
{
    constexpr int nodes = 3800;
    constexpr double allowance = 200;
    int taken = 0;
    for (int i = 0; i < nodes; ++i) {
        RetryBucket bucket({ 0.1, allowance / nodes, seconds(10) });
        for (int request = 0; request < 5; ++request) {
            bucket.onFirstTry(start + seconds(request));
            taken += takeAll(bucket, start + seconds(request));
        }
    }
    cr_assert(taken <= allowance + 0.1 * 5 * nodes, "%d", taken);
}

// A burst of failures in the middle of steady traffic, at any rate: no span of ten seconds has more retries
// than the share of its first tries and of two seconds before.
Test(retry_bucket, any_span_is_bounded)
{
    for (const int perSecond : { 1, 7, 100, 2000 }) {
        RetryBucket bucket({ 0.1, 0, seconds(10) });
        std::vector<int> retries;
        for (int second = 0; second < 40; ++second) {
            int taken = 0;
            for (int i = 0; i < perSecond; ++i) {
                const auto now = start + seconds(second) + milliseconds(1000 * i / perSecond);
                bucket.onFirstTry(now);
                const bool failing = second / 7 % 2 == 1;
                taken += failing ? takeAll(bucket, now) : 0;
            }
            retries.push_back(taken);
        }
        for (std::size_t first = 0; first + 10 <= retries.size(); ++first) {
            int sum = 0;
            for (std::size_t i = first; i < first + 10; ++i) {
                sum += retries[i];
            }
            cr_expect(sum <= 0.1 * perSecond * 20 + 1, "%d a second: %d retries from second %zu", perSecond,
                sum, first);
        }
    }
}
