#include "adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace wagtailhead {

namespace {

/// Completions in a window, and in the window of a probe, whose result is a decision. With service times
/// that vary as much as their mean, the mean of 96 has an error of 10%, a quarter of the effect of a step.
constexpr int windowSamples = 64;
constexpr int probeSamples = 96;

/// A probe ends early, after at least this many completions, if its result is this many standard errors
/// away from being undecided. It costs throughput while it lasts.
constexpr int earlySamples = 24;
constexpr double decidingErrors = 2.5;

/// Windows of slow services end with fewer completions after this many mean latencies.
constexpr int leastSamples = 16;
constexpr int windowLatencies = 2;
constexpr int probeLatencies = 8;

/// A probe without enough completions, for instance because the load has ended, is given up after this
/// time or twice the usual number of latencies.
constexpr Duration longestProbe = seconds(2);

/// Shortest window; averages over scheduling noise of services that take a millisecond.
constexpr Duration minWindow = milliseconds(20);

/// Windows shorter than this always wait for all their completions.
constexpr Duration minLongWindow = seconds(1);

/// Longest time for which a new limit settles.
constexpr Duration maxSettle = seconds(5);

/// Latency in relation to the baseline above which the limit is questioned.
constexpr double congestedRatio = 1.5;

/// The same for a single window.
constexpr double stronglyCongestedRatio = 2.5;

/// Windows under one limit before the limit is questioned, and the weight of a window in their mean.
/// Decisions on single windows made the limit follow chance with widely spread service times.
constexpr int windowsBeforeProbe = 3;
constexpr int strongWindowsBeforeProbe = 2;
constexpr double windowWeight = 0.3;

/// Latency is steady if a window differs by less than this share from the mean. A comparison with latency
/// that is still rising would blame the backend server for a queue that is just growing.
constexpr double steadyShare = 0.2;

/// Latency that rises by this factor during a probe makes it void for the same reason.
constexpr double risingFactor = 1.15;

/// Latency in relation to the baseline below which the limit climbs.
constexpr double relaxedRatio = 1.3;

/// The limit of the next step of a probe.
constexpr double probeStep = 0.6;

/// A step had an effect on the calls in flight if they fell below this share.
constexpr double inFlightEffect = 0.85;

/// A step helped if latency fell by this share of what a pure queue in the backend server would give.
constexpr double neededEffect = 0.5;

/// Use of the limit from which a window counts as busy.
constexpr double busyShare = 0.7;

/// Busy windows before the first probe without cause, and at most; the number doubles in between. Below
/// the upper bound probes are more frequent, because a limit lowered by chance should not stay.
constexpr int firstProbeInterval = 16;
constexpr int maxProbeInterval = 512;
constexpr int maxProbeIntervalBelowBound = 32;

/// The same after latency above the baseline was found not to be congestion.
constexpr int checkInterval = 24;

/// First step of a climb; each further one is twice as large.
constexpr double firstClimbStep = 0.1;

} // namespace

AdaptiveLimit::AdaptiveLimit(const AdmissionOptions& options)
    : floorShare_(options.floorShare_)
    , slots_(std::max(options.slots_, 1))
    , connections_(options.connections_)
    , limit_(upperBound())
    , windowLimit_(limit_)
    , climbStep_(firstClimbStep)
    , windowsUntilProbe_(firstProbeInterval)
    , probeInterval_(firstProbeInterval)
{
}

auto AdaptiveLimit::upperBound() const -> int
{
    return connections_ > 0 ? std::min(slots_, connections_) : slots_;
}

auto AdaptiveLimit::lowerBound() const -> int
{
    return std::clamp(static_cast<int>(floorShare_ * slots_), 1, upperBound());
}

auto AdaptiveLimit::limit() const -> int
{
    return limit_;
}

auto AdaptiveLimit::settledLimit() const -> int
{
    return probing_ ? beforeStep_.limit_ : limit_;
}

auto AdaptiveLimit::latencyRatio() const -> double
{
    return ratio_;
}

auto AdaptiveLimit::resize(int slots, int connections) -> void
{
    const bool full = settledLimit() >= upperBound();
    slots_ = std::max(slots, 1);
    connections_ = connections;
    endProbe(full ? upperBound() : std::clamp(settledLimit(), lowerBound(), upperBound()));
}

auto AdaptiveLimit::onInFlight(int inFlight, bool waiting, TimePoint now) -> void
{
    const auto from = std::max(integratedTo_, measureFrom_);
    if (now > from) {
        inFlightSeconds_ += inFlight_ * std::chrono::duration<double>(now - from).count();
    }
    integratedTo_ = std::max(integratedTo_, now);
    inFlight_ = inFlight;
    waiting_ = waiting_ || waiting;
    if (probing_ && now - measureFrom_ > std::max<Duration>(longestProbe, 2 * probeLatencies * latency_)) {
        endProbe(beforeStep_.limit_);
        startWindow(now);
    }
}

auto AdaptiveLimit::onCompletion(std::uint64_t group, Duration latency, TimePoint now) -> void
{
    if (now < measureFrom_) {
        return;
    }
    if (measureFrom_ == TimePoint()) {
        measureFrom_ = now;
        integratedTo_ = now;
        inFlightSeconds_ = 0;
    }
    baseline_.add(group, latency);
    if (isWindowOver(now)) {
        closeWindow(now);
    }
}

auto AdaptiveLimit::isWindowOver(TimePoint now) const -> bool
{
    const auto age = now - measureFrom_;
    if (age < minWindow || age < baseline_.meanLatency()) {
        return false;
    }
    const auto latencies = probing_ ? probeLatencies : windowLatencies;
    const bool isLong = age >= latencies * baseline_.meanLatency() && age >= minLongWindow;
    if (baseline_.samples() >= (isLong ? leastSamples : probing_ ? probeSamples : windowSamples)) {
        return true;
    }
    return probing_ && isProbeDecided(now);
}

auto AdaptiveLimit::isProbeDecided(TimePoint now) const -> bool
{
    if (baseline_.samples() < earlySamples) {
        return false;
    }
    const double excess = excessFall(baseline_.ratio(), inFlightMean(now) / beforeStep_.inFlight_);
    return std::abs(excess) > decidingErrors * baseline_.ratioError() / beforeStep_.ratio_;
}

auto AdaptiveLimit::inFlightMean(TimePoint now) const -> double
{
    const double length = std::chrono::duration<double>(now - measureFrom_).count();
    const double sinceChange
        = std::chrono::duration<double>(now - std::max(integratedTo_, measureFrom_)).count();
    return (inFlightSeconds_ + inFlight_ * std::max(sinceChange, 0.0)) / length;
}

auto AdaptiveLimit::excessFall(double ratio, double inFlightShare) const -> double
{
    return 1 - ratio / beforeStep_.ratio_ - neededEffect * (1 - inFlightShare);
}

auto AdaptiveLimit::closeWindow(TimePoint now) -> void
{
    const double ratio = baseline_.ratio();
    ratio_ = windows_ == 0 ? ratio : ratio_ + windowWeight * (ratio - ratio_);
    steady_ = std::abs(ratio - ratio_) < steadyShare * ratio_;
    ++windows_;
    latency_ = baseline_.meanLatency();
    const Measurement measured { limit_, inFlightMean(now), ratio_ };
    if (probing_) {
        closeProbeWindow(measured);
    } else {
        closeNormalWindow(measured);
    }
    startWindow(now);
}

auto AdaptiveLimit::startWindow(TimePoint now) -> void
{
    baseline_.startWindow();
    inFlightSeconds_ = 0;
    waiting_ = false;
    measureFrom_ = now;
    if (limit_ != windowLimit_) {
        // Calls started under the old limit are still running and would blur the next measurement.
        measureFrom_ += std::min(latency_, maxSettle);
        windows_ = 0;
        windowLimit_ = limit_;
    }
}

auto AdaptiveLimit::closeNormalWindow(const Measurement& measured) -> void
{
    const bool busy = measured.inFlight_ >= busyShare * limit_;
    const bool strong = measured.ratio_ > stronglyCongestedRatio;
    const bool sure = steady_ && windows_ >= (strong ? strongWindowsBeforeProbe : windowsBeforeProbe);
    if (busy && sure && measured.ratio_ > congestedRatio) {
        climbStep_ = firstClimbStep;
        startProbe(measured, true);
        return;
    }
    const bool below = limit_ < upperBound();
    const int interval
        = below ? std::min(windowsUntilProbe_, maxProbeIntervalBelowBound) : windowsUntilProbe_;
    windowsUntilProbe_ = interval - (busy && waiting_ ? 1 : 0);
    if (windowsUntilProbe_ <= 0 && steady_ && windows_ >= windowsBeforeProbe) {
        probeInterval_ = std::min(2 * probeInterval_, maxProbeInterval);
        startProbe(measured, false);
        return;
    }
    // Congestion must not become the baseline, and under a lowered and used limit the baseline must not rise
    // either, since it would follow the limit upwards.
    const bool relaxed = measured.ratio_ < relaxedRatio;
    baseline_.follow(!busy || (relaxed && !below));
    if (relaxed) {
        climb();
    }
}

auto AdaptiveLimit::startProbe(const Measurement& measured, bool congested) -> void
{
    windowsUntilProbe_ = probeInterval_;
    probeCongested_ = congested;
    stepDown(measured);
}

auto AdaptiveLimit::stepDown(const Measurement& measured) -> void
{
    const int next = std::max(static_cast<int>(probeStep * limit_), lowerBound());
    if (next >= limit_) {
        endProbe(limit_);
        return;
    }
    beforeStep_ = measured;
    limit_ = next;
    probing_ = true;
}

auto AdaptiveLimit::closeProbeWindow(const Measurement& measured) -> void
{
    const double inFlightShare = measured.inFlight_ / beforeStep_.inFlight_;
    const bool rising = measured.ratio_ > risingFactor * beforeStep_.ratio_;
    if (inFlightShare > inFlightEffect || rising) {
        endProbe(beforeStep_.limit_);
        return;
    }
    if (excessFall(measured.ratio_, inFlightShare) < 0) {
        baseline_.adopt();
        endProbe(beforeStep_.limit_);
        if (probeCongested_) {
            // A wrong judgement would hide the congestion, so it is checked soon.
            probeInterval_ = checkInterval;
            windowsUntilProbe_ = checkInterval;
        }
        return;
    }
    // The baseline is trusted if latency has come back to it, and was learned under congestion itself if
    // latency has fallen below it.
    const bool atBaseline = measured.ratio_ <= relaxedRatio && measured.ratio_ >= 1 / relaxedRatio;
    if (probeCongested_ && atBaseline) {
        endProbe(limit_);
        return;
    }
    stepDown(measured);
}

auto AdaptiveLimit::endProbe(int limit) -> void
{
    probing_ = false;
    limit_ = limit;
}

auto AdaptiveLimit::climb() -> void
{
    if (limit_ >= upperBound()) {
        climbStep_ = firstClimbStep;
        return;
    }
    const double next = std::ceil(limit_ * (1 + climbStep_));
    limit_ = std::min(static_cast<int>(next), upperBound());
    climbStep_ = std::min(2 * climbStep_, 1.0);
}

} // namespace wagtailhead
