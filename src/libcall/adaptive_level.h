/// The shedding level that matches the admitted load to capacity. Internal to libcall.
#pragma once

#include "level_control.h"

#include <deque>
#include <utility>

namespace wagtailhead {

/// Estimates the work that each priority offers, and opens as many of the priorities, and of the roots
/// of the last one, as fit the capacity.
///
/// Capacity is the concurrency limit: so many seconds of work per second. A small part is added or taken
/// away to keep a short queue, which keeps the slots busy, and a factor corrects errors of the estimates
/// by what was seen to happen: idle slots, or admitted calls dropped from the queue. Callers'
/// nodes refuse most of what the level drops, so the work of a priority is estimated from the open share
/// of its roots; the estimate of a closed priority fades until it is opened again. The level becomes
/// stricter at once, which takes effect here. It becomes looser in bounded steps, since a looser level
/// takes effect only after it has spread to the callers' nodes. Critical calls are shed only after they alone
/// have exceeded capacity for some time.
class AdaptiveLevel final : public LevelControl {
public:
    auto level() const -> const SheddingLevel& override;
    auto onArrival(Priority priority, std::uint64_t rootHash, Duration work) -> void override;
    auto isDue(TimePoint now) const -> bool override;
    auto update(const LevelInput& input, TimePoint now) -> bool override;

private:
    /// The offered work of one priority, in seconds of work per second.
    struct Offer {
        double passed_ = 0; ///< Since the last update, in seconds of work.
        double refused_ = 0;
        double seenWork_ = 0; ///< Fading sums of all arrivals and of the time.
        double seenTime_ = 0;
        double openWork_ = 0; ///< Fading sums of admitted arrivals and of open share times time.
        double openTime_ = 0;
        double rate_ = 0;

        /// Follows a change of the service time, which changes the work but not the number of calls.
        auto scale(double factor) -> void;

        auto update(double openShare, double elapsed, double memory) -> void;
    };

    /// Remembers the position for the time in which callers' nodes may still apply it.
    auto rememberPosition(TimePoint now) -> void;

    /// Returns the strictest position that callers' nodes may still apply.
    auto appliedPosition() const -> double;

    /// Finds out whether callers' nodes refuse most of what the level drops.
    auto observeFilter(const LevelInput& input, double elapsed) -> void;

    /// Returns the position that fits capacity, from 0 (all dropped) to priorityCount (all open).
    auto fittingPosition(const LevelInput& input, double elapsed) -> double;

    /// Returns the position for the critical calls alone.
    auto criticalPosition(double share, double elapsed) -> double;

    /// Lets the correction factor follow idle slots and dropped calls.
    auto correctEstimates(const LevelInput& input, double elapsed) -> void;

    auto offeredWork() const -> double;
    auto isOverloaded(const LevelInput& input) const -> bool;

    /// Returns the offered work that passes at a position.
    auto admittedWork(double position) const -> double;

    auto setPosition(double position) -> void;

    std::array<Offer, priorityCount> offers_ {};
    double position_ = priorityCount;
    double correction_ = 1; ///< Factor on capacity.
    double criticalOverload_ = 0; ///< Seconds for which critical calls alone have exceeded capacity.
    SheddingLevel level_;
    TimePoint updatedAt_;
    double serviceTime_ = 0; ///< At the last update, in seconds.
    std::deque<std::pair<TimePoint, double>> positions_;
    double refusedHere_ = 0; ///< Fading sums of the work refused here and of what the level drops.
    double droppedByLevel_ = 0;
    bool filtered_ = false;
};

} // namespace wagtailhead
