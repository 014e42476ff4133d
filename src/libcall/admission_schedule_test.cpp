#include "admission_model_test.h"

#include <cmath>
#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>

using namespace wagtailhead;

namespace {

constexpr int defaultSchedules = 300;

auto scheduleCount() -> int
{
    const char* text = std::getenv("WAGTAILHEAD_SCHEDULES");
    return text ? std::atoi(text) : defaultSchedules;
}

/// Returns a random case: service times from 1 ms to 2 s, changing load and speed, errors, cancelled
/// calls, frozen times, and often fewer real slots than announced.
auto randomModel(std::uint64_t seed) -> ModelOptions
{
    std::mt19937_64 random(seed);
    const auto real = [&random](double low, double high) {
        return std::uniform_real_distribution(low, high)(random);
    };
    ModelOptions options;
    options.seed_ = seed;
    options.admission_.slots_ = 1 + static_cast<int>(random() % 16);
    options.realSlots_ = random() % 2 ? options.admission_.slots_ : 1 + static_cast<int>(random() % 16);
    options.serviceTime_
        = std::chrono::duration_cast<Duration>(std::exp(real(0, std::log(2000))) * milliseconds(1));
    options.spread_ = static_cast<Spread>(random() % 3);
    options.deadline_ = std::chrono::duration_cast<Duration>(real(1.5, 20) * options.serviceTime_);
    options.tries_ = 1 + static_cast<int>(random() % 3);
    options.retryDelay_ = std::chrono::duration_cast<Duration>(real(0, 1) * options.serviceTime_);
    options.cancels_ = random() % 4 != 0;
    options.tick_ = milliseconds(10 + random() % 90);
    options.failShare_ = random() % 2 ? 0 : real(0, 0.3);
    options.abandonShare_ = random() % 2 ? 0 : real(0, 0.3);
    options.freezeShare_ = random() % 4 ? 0 : 0.02;
    for (auto& share : options.mix_) {
        share = random() % 5 ? real(0, 1) : 0.01;
    }
    const double calls = real(50, 500);
    const auto length = options.serviceTime_ * (calls / options.realSlots_);
    for (std::uint64_t i = 0; i <= random() % 4; ++i) {
        options.phases_.push_back({ std::chrono::duration_cast<Duration>(length / 2), real(0.2, 4),
            random() % 3 ? 1 : real(0.3, 5) });
    }
    return options;
}

} // namespace

/// Guards against broken invariants of admission under random load: expired work started or queued,
/// critical calls refused while less important ones run, lost calls, and exceeded bounds.
Test(admission_schedules, invariants_hold, .timeout = 0)
{
    int requests = 0;
    int criticalRefusals = 0;
    for (int seed = 1; seed <= scheduleCount(); ++seed) {
        AdmissionModel model(randomModel(static_cast<std::uint64_t>(seed)));
        const auto result = model.run();
        cr_assert(result.violation_.empty(), "%s", result.violation_.c_str());
        for (const auto& counts : result.counts_) {
            requests += counts.requests_;
        }
        criticalRefusals += result.counts_.at(0).refusals_;
    }
    std::printf("%d schedules, %d requests, %d refusals of critical calls\n", scheduleCount(), requests,
        criticalRefusals);
    cr_assert(criticalRefusals > 0, "critical calls are never refused, so the test shows nothing");
}
