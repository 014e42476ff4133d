#include "admission_model_test.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <numeric>

using namespace wagtailhead;

namespace {

constexpr std::uint64_t seedCount = 6;
constexpr double capacityPerSecond = 400; ///< Of the backend server below.
constexpr auto calm = milliseconds(3000);
constexpr auto surge = milliseconds(10000);

/// A backend server with 20 slots and 50 ms that gets three times its capacity for 10 s, from callers that
/// try four times, 10 ms after each refusal or failure.
auto surgeModel(std::uint64_t seed) -> ModelOptions
{
    ModelOptions options;
    options.admission_.slots_ = 20;
    options.realSlots_ = 20;
    options.serviceTime_ = milliseconds(50);
    options.spread_ = Spread::Uniform;
    options.deadline_ = milliseconds(500);
    options.tries_ = 4;
    options.retryDelay_ = milliseconds(10);
    options.mix_ = { 0.2, 0.3, 0.2, 0.3 };
    options.phases_ = { { calm, 0.7 }, { surge, 3 }, { seconds(5), 0.7 } };
    options.seed_ = seed;
    return options;
}

struct Goodput {
    double surge_ = 0; ///< As a share of capacity.
    double whole_ = 0; ///< Completed requests of the whole run.
};

auto asNaive(ModelOptions options, bool cancels) -> ModelOptions
{
    options.admission_ = naiveAdmissionOptions(options.admission_.slots_, 0);
    options.cancels_ = cancels;
    return options;
}

/// Returns the completed requests in the surge, without its first second, as a share of capacity.
auto surgeGoodput(const ModelResult& result) -> double
{
    constexpr std::size_t from = 40;
    constexpr std::size_t to = 130;
    double sum = 0;
    for (std::size_t i = from; i < to && i < result.completedPerInterval_.size(); ++i) {
        sum += result.completedPerInterval_.at(i);
    }
    return sum / (capacityPerSecond * 0.1 * (to - from));
}

auto openShareOf(const SheddingLevel& level) -> double
{
    return static_cast<double>(level.keepBelow_) / 18446744073709551616.0;
}

/// Returns the completions from the end of the second phase until the limit is back at the slots, or -1
/// if it was never lowered or is not back at the end.
auto completionsUntilRestored(const ModelOptions& options) -> int
{
    const auto recovery
        = AdmissionModel::startTime() + options.phases_.at(0).length_ + options.phases_.at(1).length_;
    const int slots = options.admission_.slots_;
    std::uint64_t completedBefore = 0;
    std::uint64_t completedAfter = 0;
    bool lowered = false;
    AdmissionModel model(options);
    model.run([&](const AdmissionController& admission, TimePoint now) {
        const auto stats = admission.stats();
        if (now < recovery) {
            completedBefore = stats.completed_;
            lowered = stats.limit_ < slots;
        } else if (completedAfter == 0 && stats.limit_ == slots) {
            completedAfter = stats.completed_;
        }
    });
    return lowered && completedAfter > 0 ? static_cast<int>(completedAfter - completedBefore) : -1;
}

} // namespace

/// Guards against goodput that collapses in a surge, orders refused although they fit, work wasted on
/// calls that nobody waits for, and shedding that outlasts the surge. `filters_` adds callers' nodes that
/// refuse by the levels in replies.
Test(admission_overload, surge_with_retrying_callers, .timeout = 0)
{
    for (const bool filters : { false, true }) {
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            auto options = surgeModel(seed);
            options.filters_ = filters;
            Duration openAfter = Duration::zero();
            AdmissionModel model(options);
            const auto result = model.run([&openAfter](const AdmissionController& admission, TimePoint now) {
                const auto sinceSurge = now - AdmissionModel::startTime() - calm - surge;
                if (sinceSurge > Duration::zero() && openAfter == Duration::zero()
                    && admission.load().level_ == SheddingLevel {}) {
                    openAfter = sinceSurge;
                }
            });
            const auto& critical = result.counts_.at(0);
            const double goodput = surgeGoodput(result);
            cr_assert(result.violation_.empty(), "%s", result.violation_.c_str());
            cr_assert(goodput > 0.8, "seed %lu: goodput %.3f", static_cast<unsigned long>(seed), goodput);
            cr_assert(critical.completed_ >= 0.999 * critical.requests_, "seed %lu: %d of %d",
                static_cast<unsigned long>(seed), critical.completed_, critical.requests_);
            cr_assert(result.wastedWork_ < 0.05 * result.work_);
            cr_assert(openAfter > Duration::zero() && openAfter <= seconds(3), "seed %lu: open after %.0f ms",
                static_cast<unsigned long>(seed), toMilliseconds(openAfter));
        }
    }
}

/// Guards against an adaptive version that is not better than the naive one where it must be.
Test(admission_overload, goodput_compared_with_the_naive_version, .timeout = 0)
{
    const auto measure = [](auto makeOptions) {
        Goodput goodput;
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            const auto result = AdmissionModel(makeOptions(seed)).run();
            goodput.surge_ += surgeGoodput(result) / seedCount;
            goodput.whole_ += std::accumulate(
                result.completedPerInterval_.begin(), result.completedPerInterval_.end(), 0.0);
        }
        return goodput;
    };
    const auto adaptive = measure(surgeModel);
    const auto naive = measure([](std::uint64_t seed) {
        return asNaive(surgeModel(seed), false);
    });
    const auto cancelling = measure([](std::uint64_t seed) {
        return asNaive(surgeModel(seed), true);
    });
    std::printf(
        "goodput in the surge as a share of capacity: adaptive %.3f, naive %.3f, naive with cancellation "
        "%.3f\n",
        adaptive.surge_, naive.surge_, cancelling.surge_);
    std::printf("completed in the whole run, adaptive to naive: %.1f, to naive with cancellation: %.1f\n",
        adaptive.whole_ / naive.whole_, adaptive.whole_ / cancelling.whole_);
    for (const auto& other : { naive, cancelling }) {
        cr_assert(adaptive.surge_ > 2 * other.surge_ && adaptive.whole_ > 2 * other.whole_);
    }
}

/// Guards against critical calls shed more than needed, unevenly, or in waves, when they alone exceed
/// capacity.
Test(admission_overload, critical_calls_alone_above_capacity, .timeout = 0)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        auto options = surgeModel(seed);
        options.mix_ = { 1, 0, 0, 0 };
        options.tries_ = 1;
        options.phases_ = { { calm, 0.7 }, { surge, 2 } };
        double least = 1;
        double most = 0;
        AdmissionModel model(options);
        const auto result = model.run([&](const AdmissionController& admission, TimePoint now) {
            const auto at = now - AdmissionModel::startTime();
            if (at > calm + seconds(3) && at < calm + surge) {
                const auto level = admission.load().level_;
                cr_assert_eq(level.priority_, Priority::Critical);
                least = std::min(least, openShareOf(level));
                most = std::max(most, openShareOf(level));
            }
        });
        cr_assert(surgeGoodput(result) > 0.85, "seed %lu: goodput %.3f", static_cast<unsigned long>(seed),
            surgeGoodput(result));
        cr_assert(least > 0.3 && most < 0.75, "seed %lu: from %.2f to %.2f", static_cast<unsigned long>(seed),
            least, most);
    }
}

/// Guards against critical calls refused although they fit: for a short excess of arrivals, or while the
/// limit is lowered for an experiment.
Test(admission_overload, critical_calls_that_fit_are_never_refused, .timeout = 0)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        auto options = surgeModel(seed);
        options.tries_ = 1;
        options.mix_ = { 0.42, 0.58, 0, 0 };
        options.phases_ = { { calm, 0.7 }, { 2 * surge, 2 } };
        const auto critical = AdmissionModel(options).run().counts_.at(0);
        cr_assert_eq(critical.refusals_, 0, "seed %lu: %d refused", static_cast<unsigned long>(seed),
            critical.refusals_);
        cr_assert(critical.completed_ >= 0.999 * critical.requests_, "seed %lu: %d of %d",
            static_cast<unsigned long>(seed), critical.completed_, critical.requests_);
    }
}

/// Guards against a limit that stays high while the backend server hides an overload in its accept queue,
/// and against one that stays low afterwards.
Test(admission_overload, limit_follows_lost_slots_and_returns, .timeout = 0)
{
    for (const auto serviceTime : { milliseconds(2), milliseconds(50), milliseconds(1000) }) {
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            auto options = surgeModel(seed);
            options.tries_ = 1;
            options.serviceTime_ = serviceTime;
            options.deadline_ = 20 * serviceTime;
            const auto length = 200 * Duration(serviceTime) + seconds(2);
            options.phases_ = { { length, 0.8 }, { length, 1.5, 1, 0.2 }, { length, 0.8 } };
            const int completions = completionsUntilRestored(options);
            cr_assert(completions >= 0 && completions <= 1500, "%.0f ms, seed %lu: %d",
                toMilliseconds(serviceTime), static_cast<unsigned long>(seed), completions);
        }
    }
}

/// Guards against slots left idle because a slower backend server was taken for an overloaded one.
Test(admission_overload, limit_stays_when_the_backend_server_is_just_slower, .timeout = 0)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        auto options = surgeModel(seed);
        options.tries_ = 1;
        options.deadline_ = seconds(2);
        options.phases_ = { { calm, 0.8 }, { surge, 0.6, 4 } };
        double used = 0;
        double observed = 0;
        AdmissionModel model(options);
        model.run([&](const AdmissionController& admission, TimePoint now) {
            if (now > AdmissionModel::startTime() + calm + seconds(2)) {
                used += admission.stats().limit_;
                observed += 1;
            }
        });
        cr_assert(used / observed > 0.9 * options.admission_.slots_, "seed %lu: mean limit %.1f",
            static_cast<unsigned long>(seed), used / observed);
    }
}
