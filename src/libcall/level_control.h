/// The shedding level of a service as one of its nodes computes it. Internal to libcall.
#pragma once

#include "wagtailhead/admission.h"

#include <memory>

namespace wagtailhead {

/// Work by priority, in seconds of a slot.
using PriorityWork = std::array<double, priorityCount>;

/// Measurements from which the level is computed.
struct LevelInput {
    double limit_ = 1; ///< Calls that may run at once, without the temporary reduction during a probe.
    double presentLimit_ = 1; ///< The limit in effect, including such a reduction.
    PriorityWork queued_ {}; ///< Work that waits in the queue.
    Duration serviceTime_ = Duration::zero(); ///< Mean of all calls.
    double inFlight_ = 0; ///< Mean since the last update.
    double droppedWork_ = 0; ///< Admitted since the last update or before, but dropped from the queue.
};

/// Computes the shedding level. Not thread safe.
class LevelControl {
public:
    static auto create(Mechanism mechanism) -> std::unique_ptr<LevelControl>;

    virtual ~LevelControl() = default;

    virtual auto level() const -> const SheddingLevel& = 0;

    /// Reports an arrival that is expected to occupy a slot for `work`.
    virtual auto onArrival(Priority priority, std::uint64_t rootHash, Duration work) -> void = 0;

    /// Returns whether enough time has passed for an update.
    virtual auto isDue(TimePoint now) const -> bool = 0;

    /// Recomputes the level. Returns whether it has become stricter.
    virtual auto update(const LevelInput& input, TimePoint now) -> bool = 0;
};

} // namespace wagtailhead
