/// The shedding level that matches the admitted load to capacity. Internal to libcall.
#pragma once

#include "level_control.h"

#include <deque>
#include <utility>

namespace wagtailhead {

/// Estimates the offered work of each priority and admits priorities in order of importance until capacity
/// is used up; of the last one, it admits the share of roots that fits.
///
/// Capacity is the concurrency limit, in seconds of work per second. It is increased or reduced slightly to
/// maintain a short queue, which keeps the slots busy. A feedback factor corrects errors of the estimates
/// from the observed idle slots and the admitted calls that were dropped from the queue. Callers' nodes
/// refuse most of what the level drops, so the work of a priority is extrapolated from the admitted share of
/// its roots; the estimate of a fully shed priority decays until some of it is admitted again. The level
/// becomes stricter at once, since this node applies it immediately. It is relaxed in bounded steps, since a
/// relaxed level takes effect only after it has been propagated to the callers' nodes. Critical calls
/// are shed only after they alone have exceeded capacity for some time.
class AdaptiveLevel final : public LevelControl {
public:
    auto level() const -> const SheddingLevel& override;
    auto onArrival(Priority priority, std::uint64_t rootHash, Duration work) -> void override;
    auto isDue(TimePoint now) const -> bool override;
    auto update(const LevelInput& input, TimePoint now) -> bool override;

private:
    /// The offered work of one priority, in seconds of work per second.
    struct Offer {
        double passed_ = 0; ///< Work that the level admitted since the last update, in seconds.
        double refused_ = 0;
        double observedWork_ = 0; ///< Decaying sums of the work of all arrivals and of the elapsed time.
        double observedTime_ = 0;
        double admittedWork_
            = 0; ///< Decaying sums of admitted work and of admitted share times elapsed time.
        double admittedTime_ = 0;
        double rate_ = 0;

        /// Rescales the sums after a change of the mean service time, which changes the work but not the
        /// number of calls.
        auto scale(double factor) -> void;

        auto update(double admittedShare, double elapsed, double memory) -> void;
    };

    /// Records the position for as long as callers' nodes may still apply it.
    auto recordPosition(TimePoint now) -> void;

    /// Returns the strictest position that callers' nodes may still apply.
    auto appliedPosition() const -> double;

    /// Estimates whether callers' nodes refuse most of what the level drops, and stores it in `filtered_`.
    auto updateFiltered(const LevelInput& input, double elapsed) -> void;

    /// Returns the position at which the admitted work matches capacity, from 0 (everything is dropped) to
    /// priorityCount (everything is admitted).
    auto targetPosition(const LevelInput& input, double elapsed) -> double;

    /// Returns the position when critical calls alone exceed capacity and `share` of them fits.
    auto criticalPosition(double share, double elapsed) -> double;

    /// Adjusts the correction factor by the observed idle slots and dropped calls.
    auto correctEstimates(const LevelInput& input, double elapsed) -> void;

    auto offeredWork() const -> double;
    auto isOverloaded(const LevelInput& input) const -> bool;

    /// Returns the offered work that is admitted at a position.
    auto admittedWork(double position) const -> double;

    auto setPosition(double position) -> void;

    std::array<Offer, priorityCount> offers_ {};
    double position_ = priorityCount;
    double correction_ = 1; ///< Feedback factor applied to capacity.
    double criticalOverload_ = 0; ///< Seconds for which critical calls alone have exceeded capacity.
    SheddingLevel level_;
    TimePoint updatedAt_;
    double serviceTime_ = 0; ///< At the last update, in seconds.
    std::deque<std::pair<TimePoint, double>> positions_;
    double refusedLocally_
        = 0; ///< Decaying sums of the work refused at this node and of what the level drops.
    double droppedByLevel_ = 0;
    bool filtered_ = false; ///< Whether callers' nodes refuse most of what the level drops.
};

} // namespace wagtailhead
