/// The concurrency limit that follows measured latency. Internal to libcall.
#pragma once

#include "concurrency_limit.h"
#include "latency_baseline.h"

namespace wagtailhead {

/// Starts at the slots, which are also the upper bound, and works in windows of completions.
///
/// Higher latency alone does not tell whether fewer calls in flight would help: the backend server may
/// hide an overload in its accept queue (latency grows with the calls in flight), or it may just have
/// become slower (latency does not depend on them, and a lower limit would only lose throughput).
/// Therefore the limit is lowered as a probe: when latency rises clearly above the baseline, and now
/// and then under constant load. If latency falls with the calls in flight, the lower limit is kept and
/// the probe goes on; if not, the limit returns and the measured latency becomes the baseline. After
/// congestion the limit climbs in steps that double.
class AdaptiveLimit final : public ConcurrencyLimit {
public:
    explicit AdaptiveLimit(const AdmissionOptions& options);

    auto limit() const -> int override;
    auto settledLimit() const -> int override;
    auto onInFlight(int inFlight, bool waiting, TimePoint now) -> void override;
    auto onCompletion(std::uint64_t group, Duration latency, TimePoint now) -> void override;
    auto latencyRatio() const -> double override;
    auto resize(int slots, int connections) -> void override;

private:
    /// What was measured in a window under one limit.
    struct Measurement {
        int limit_ = 0;
        double inFlight_ = 0;
        double ratio_ = 1;
    };

    auto upperBound() const -> int;
    auto lowerBound() const -> int;
    auto isWindowOver(TimePoint now) const -> bool;
    auto closeWindow(TimePoint now) -> void;
    auto startWindow(TimePoint now) -> void;
    auto isProbeDecided(TimePoint now) const -> bool;
    auto inFlightMean(TimePoint now) const -> double;
    auto closeNormalWindow(const Measurement& measured) -> void;
    auto closeProbeWindow(const Measurement& measured) -> void;
    /// Returns how far latency has fallen beyond what proves congestion, in relation to the latency before.
    auto excessFall(double ratio, double inFlightShare) const -> double;
    auto startProbe(const Measurement& measured, bool congested) -> void;
    auto stepDown(const Measurement& measured) -> void;
    auto endProbe(int limit) -> void;
    auto climb() -> void;

    const double floorShare_;
    int slots_;
    int connections_;
    int limit_;
    int windowLimit_; ///< At the start of the window.
    double climbStep_;

    LatencyBaseline baseline_;
    double ratio_ = 1; ///< Smoothed over the windows under the present limit.
    int windows_ = 0; ///< Under the present limit.
    bool steady_ = false; ///< Whether the last window agrees with the ones before.
    Duration latency_ = Duration::zero();

    /// The window measures from here on; before, the effect of a new limit settles.
    TimePoint measureFrom_;
    TimePoint integratedTo_;
    double inFlightSeconds_ = 0;
    int inFlight_ = 0;
    bool waiting_ = false;

    bool probing_ = false;
    bool probeCongested_ = false; ///< Whether latency above the baseline started the probe.
    Measurement beforeStep_; ///< Under the limit that holds if the last step does not help.
    int windowsUntilProbe_;
    int probeInterval_;
};

} // namespace wagtailhead
