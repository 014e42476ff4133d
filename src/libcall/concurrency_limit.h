/// The concurrency limit of one backend server. Internal to libcall.
#pragma once

#include "wagtailhead/admission.h"

#include <memory>

namespace wagtailhead {

/// Decides how many calls run at the backend server at once. Not thread safe.
class ConcurrencyLimit {
public:
    /// Returns the limit that follows measured latency, or the naive one that is only bounded by the
    /// connections.
    static auto create(const AdmissionOptions& options) -> std::unique_ptr<ConcurrencyLimit>;

    virtual ~ConcurrencyLimit() = default;

    /// Returns the most calls that may run at once.
    virtual auto limit() const -> int = 0;

    /// Returns the limit without the temporary reduction during a probe.
    virtual auto settledLimit() const -> int = 0;

    /// Reports the number of running calls from `now` on, and whether calls are queued.
    virtual auto onInFlight(int inFlight, bool waiting, TimePoint now) -> void = 0;

    /// Reports the latency, without sub-calls, of a completed call.
    virtual auto onCompletion(std::uint64_t group, Duration latency, TimePoint now) -> void = 0;

    /// Returns the ratio of the measured latency to the baseline.
    virtual auto latencyRatio() const -> double = 0;

    virtual auto resize(int slots, int connections) -> void = 0;
};

} // namespace wagtailhead
