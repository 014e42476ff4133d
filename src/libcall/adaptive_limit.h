/// The concurrency limit that follows measured latency. Internal to libcall.
#pragma once

#include "concurrency_limit.h"
#include "latency_baseline.h"

namespace wagtailhead {

/// Starts at the number of slots, which is also the upper bound, and evaluates windows of completions.
///
/// Higher latency alone does not show whether fewer calls in flight would help: calls may be queued in the
/// accept queue of an overloaded backend server (latency grows with the calls in flight), or the backend
/// server may have become slower (latency does not depend on them, and a lower limit would only reduce
/// throughput). Therefore the limit is lowered as a probe: when latency rises clearly above the baseline,
/// and periodically under constant load. If latency falls with the calls in flight, the lower limit is kept
/// and the probe continues with the next step; if not, the previous limit is restored and the measured
/// latency becomes the baseline. After congestion the limit is raised in steps that double.
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
    /// Results of a window under one limit.
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
    /// Returns by how much the reduction of latency exceeds the one required to confirm congestion, as a
    /// share of the latency before the step. Negative if congestion is not confirmed.
    auto excessLatencyReduction(double ratio, double inFlightShare) const -> double;
    auto startProbe(const Measurement& measured, bool congested) -> void;
    auto stepDown(const Measurement& measured) -> void;
    auto endProbe(int limit) -> void;
    auto raiseLimit() -> void;

    const double floorShare_;
    int slots_;
    int connections_;
    int limit_;
    int windowLimit_; ///< The limit at the start of the window.
    double increaseStep_;

    LatencyBaseline baseline_;
    double ratio_ = 1; ///< Latency to baseline, smoothed over the windows under the current limit.
    int windows_ = 0; ///< Windows completed under the current limit.
    bool steady_ = false; ///< Whether the last window is close to the smoothed ratio.
    Duration latency_ = Duration::zero();

    /// Start of the measurement in this window. Completions before it are ignored, because they may belong
    /// to calls started under the previous limit.
    TimePoint measureFrom_;
    TimePoint integratedUntil_;
    double inFlightSeconds_ = 0;
    int inFlight_ = 0;
    bool waiting_ = false;

    bool probing_ = false;
    bool probeForCongestion_ = false; ///< Whether latency above the baseline triggered the probe.
    Measurement beforeStep_; ///< Under the limit that is restored if the last step fails.
    int windowsUntilProbe_;
    int probeInterval_;
};

} // namespace wagtailhead
