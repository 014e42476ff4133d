#include "adaptive_limit.h"

#include <algorithm>
#include <cmath>

namespace wagtailhead {

namespace {

/// Completions in a normal window and in a probe window. A probe window needs more, because the limit is
/// changed on its result: if the standard deviation of service times equals their mean, the mean of 96
/// samples has a standard error of 10%, a quarter of the effect of a probe step.
constexpr int windowSamples = 64;
constexpr int probeSamples = 96;

/// A probe ends early, after at least this many completions, if its result is this many standard errors
/// away from the decision threshold, because a running probe reduces throughput.
constexpr int minEarlySamples = 24;
constexpr double decisiveStandardErrors = 2.5;

/// A window of a slow service ends with this smaller number of completions once it has lasted the given
/// multiple of the mean latency.
constexpr int minWindowSamples = 16;
constexpr int windowLatencies = 2;
constexpr int probeLatencies = 8;

/// A probe without enough completions, for instance because the load has ended, is aborted after this time
/// or twice the usual number of mean latencies, whichever is longer.
constexpr Duration maxProbeDuration = seconds(2);

/// Shortest window; averages out scheduling noise for services with latencies around 1 ms.
constexpr Duration minWindow = milliseconds(20);

/// Windows shorter than this always wait for all their completions.
constexpr Duration minLongWindow = seconds(1);

/// Upper bound on the time excluded from measurement after a change of the limit.
constexpr Duration maxSettleTime = seconds(5);

/// Ratio of latency to the baseline above which a probe is started.
constexpr double congestedRatio = 1.5;

/// Ratio above which a probe is started after fewer windows.
constexpr double stronglyCongestedRatio = 2.5;

/// Windows under one limit before a probe may start, and the weight of a new window in the smoothed ratio.
/// Decisions based on single windows made the limit follow random variation when service times varied
/// widely.
constexpr int windowsBeforeProbe = 3;
constexpr int strongWindowsBeforeProbe = 2;
constexpr double windowWeight = 0.3;

/// Latency is steady if the ratio of a window differs from the smoothed ratio by less than this share of it.
/// A comparison with latency that is still rising would attribute the growth of a queue to a slower
/// backend server.
constexpr double steadyTolerance = 0.2;

/// A probe during which latency rises by this factor is discarded for the same reason.
constexpr double risingFactor = 1.15;

/// Ratio of latency to the baseline below which the limit is raised.
constexpr double uncongestedRatio = 1.3;

/// Factor by which each step of a probe multiplies the limit.
constexpr double probeStepFactor = 0.6;

/// A step counts only if it reduced the calls in flight to at most this share of those before.
constexpr double maxInFlightShare = 0.85;

/// A step succeeded if latency fell by at least this share of the reduction expected if latency were
/// proportional to the calls in flight, as with a pure queue in the backend server.
constexpr double requiredLatencyEffect = 0.5;

/// Utilization of the limit from which a window counts as busy.
constexpr double busyShare = 0.7;

/// Initial and maximum number of busy windows between periodic probes, which run without measured
/// congestion; the number doubles after each of them. Below the upper bound, periodic probes are more
/// frequent, because a limit that random variation has lowered should not persist.
constexpr int initialProbeInterval = 16;
constexpr int maxProbeInterval = 512;
constexpr int maxProbeIntervalBelowBound = 32;

/// Busy windows until the next probe after a probe classified latency above the baseline as not caused by
/// congestion.
constexpr int recheckProbeInterval = 24;

/// First relative increase of the limit; each further one is twice as large.
constexpr double initialIncreaseStep = 0.1;

} // namespace

AdaptiveLimit::AdaptiveLimit(const AdmissionOptions& options)
    : floorShare_(options.floorShare_)
    , slots_(std::max(options.slots_, 1))
    , connections_(options.connections_)
    , limit_(upperBound())
    , windowLimit_(limit_)
    , increaseStep_(initialIncreaseStep)
    , windowsUntilProbe_(initialProbeInterval)
    , probeInterval_(initialProbeInterval)
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
    const bool atUpperBound = settledLimit() >= upperBound();
    slots_ = std::max(slots, 1);
    connections_ = connections;
    endProbe(atUpperBound ? upperBound() : std::clamp(settledLimit(), lowerBound(), upperBound()));
}

auto AdaptiveLimit::onInFlight(int inFlight, bool waiting, TimePoint now) -> void
{
    const auto from = std::max(integratedUntil_, measureFrom_);
    if (now > from) {
        inFlightSeconds_ += inFlight_ * std::chrono::duration<double>(now - from).count();
    }
    integratedUntil_ = std::max(integratedUntil_, now);
    inFlight_ = inFlight;
    waiting_ = waiting_ || waiting;
    if (probing_
        && now - measureFrom_ > std::max<Duration>(maxProbeDuration, 2 * probeLatencies * latency_)) {
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
        integratedUntil_ = now;
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
    if (baseline_.samples() >= (isLong ? minWindowSamples : probing_ ? probeSamples : windowSamples)) {
        return true;
    }
    return probing_ && isProbeDecided(now);
}

auto AdaptiveLimit::isProbeDecided(TimePoint now) const -> bool
{
    if (baseline_.samples() < minEarlySamples) {
        return false;
    }
    const double excessReduction
        = excessLatencyReduction(baseline_.ratio(), inFlightMean(now) / beforeStep_.inFlight_);
    return std::abs(excessReduction) > decisiveStandardErrors * baseline_.ratioError() / beforeStep_.ratio_;
}

auto AdaptiveLimit::inFlightMean(TimePoint now) const -> double
{
    const double length = std::chrono::duration<double>(now - measureFrom_).count();
    const double sinceChange
        = std::chrono::duration<double>(now - std::max(integratedUntil_, measureFrom_)).count();
    return (inFlightSeconds_ + inFlight_ * std::max(sinceChange, 0.0)) / length;
}

auto AdaptiveLimit::excessLatencyReduction(double ratio, double inFlightShare) const -> double
{
    return 1 - ratio / beforeStep_.ratio_ - requiredLatencyEffect * (1 - inFlightShare);
}

auto AdaptiveLimit::closeWindow(TimePoint now) -> void
{
    const double ratio = baseline_.ratio();
    ratio_ = windows_ == 0 ? ratio : ratio_ + windowWeight * (ratio - ratio_);
    steady_ = std::abs(ratio - ratio_) < steadyTolerance * ratio_;
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
        // Excludes completions of calls that were started under the old limit.
        measureFrom_ += std::min(latency_, maxSettleTime);
        windows_ = 0;
        windowLimit_ = limit_;
    }
}

auto AdaptiveLimit::closeNormalWindow(const Measurement& measured) -> void
{
    const bool busy = measured.inFlight_ >= busyShare * limit_;
    const bool stronglyCongested = measured.ratio_ > stronglyCongestedRatio;
    const bool conclusive
        = steady_ && windows_ >= (stronglyCongested ? strongWindowsBeforeProbe : windowsBeforeProbe);
    if (busy && conclusive && measured.ratio_ > congestedRatio) {
        increaseStep_ = initialIncreaseStep;
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
    // The baseline must not rise during congestion. It must not rise in a busy window under a lowered limit
    // either, since it would rise together with the limit.
    const bool uncongested = measured.ratio_ < uncongestedRatio;
    baseline_.follow(!busy || (uncongested && !below));
    if (uncongested) {
        raiseLimit();
    }
}

auto AdaptiveLimit::startProbe(const Measurement& measured, bool congested) -> void
{
    windowsUntilProbe_ = probeInterval_;
    probeForCongestion_ = congested;
    stepDown(measured);
}

auto AdaptiveLimit::stepDown(const Measurement& measured) -> void
{
    const int next = std::max(static_cast<int>(probeStepFactor * limit_), lowerBound());
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
    if (inFlightShare > maxInFlightShare || rising) {
        endProbe(beforeStep_.limit_);
        return;
    }
    if (excessLatencyReduction(measured.ratio_, inFlightShare) < 0) {
        baseline_.adopt();
        endProbe(beforeStep_.limit_);
        if (probeForCongestion_) {
            // If this classification is wrong, the new baseline hides the congestion, so the next probe
            // follows soon.
            probeInterval_ = recheckProbeInterval;
            windowsUntilProbe_ = recheckProbeInterval;
        }
        return;
    }
    // Latency back at the baseline confirms the baseline. Latency below it shows that the baseline itself
    // was measured under congestion.
    const bool atBaseline = measured.ratio_ <= uncongestedRatio && measured.ratio_ >= 1 / uncongestedRatio;
    if (probeForCongestion_ && atBaseline) {
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

auto AdaptiveLimit::raiseLimit() -> void
{
    if (limit_ >= upperBound()) {
        increaseStep_ = initialIncreaseStep;
        return;
    }
    const double next = std::ceil(limit_ * (1 + increaseStep_));
    limit_ = std::min(static_cast<int>(next), upperBound());
    increaseStep_ = std::min(2 * increaseStep_, 1.0);
}

} // namespace wagtailhead
