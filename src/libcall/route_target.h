/// What the router knows about one member. Internal to libcall.
#pragma once

#include "wagtailhead/routing.h"

namespace wagtailhead {

/// Load, slow start and failures of one member. Not thread safe.
class RouteTarget {
public:
    RouteTarget() = default;
    explicit RouteTarget(const NodeRef& ref);

    auto ref() const -> const NodeRef&
    {
        return ref_;
    }

    /// Takes over what the member announces.
    auto observe(const Member& member, Duration slowStart, TimePoint now, WallClock::time_point wallNow)
        -> void;

    auto onChosen(bool otherRegion) -> void;
    auto onEnded(const AttemptReport& report, Duration ejectCap, TimePoint now) -> void;

    auto otherRegion() const -> bool
    {
        return otherRegion_;
    }

    auto outstanding() const -> int
    {
        return outstanding_;
    }

    /// Returns the estimated calls at the backend server with `extra` further ones in relation to the
    /// concurrency limit, which counts in part only during slow start.
    auto load(Duration slowStart, TimePoint now, int extra = 0) const -> double;

    /// Returns the share of its limit that the member gets, rising from a small one to 1.
    auto weight(Duration slowStart, TimePoint now) const -> double;

    auto isEjected(TimePoint now) const -> bool
    {
        return ejectedUntil_ > now;
    }

    auto ejectedUntil() const -> TimePoint
    {
        return ejectedUntil_;
    }

    /// Returns whether enough attempts in a row have failed.
    auto isFailing(int ejectAfter) const -> bool
    {
        return failures_ >= ejectAfter;
    }

    auto failingSince() const -> TimePoint
    {
        return failingSince_;
    }

    auto lastSuccess() const -> TimePoint
    {
        return lastSuccess_;
    }

    /// Ejects the member for a time that doubles with each ejection. A single failure after its return
    /// ejects it again.
    auto eject(const RouterOptions& options, TimePoint now) -> void;

    /// Ends an ejection early.
    auto release(TimePoint now) -> void;

private:
    auto addSuccess(Duration ejectCap, TimePoint now) -> void;
    auto addFailure(TimePoint now) -> void;

    NodeRef ref_;
    int outstanding_ = 0;
    bool otherRegion_ = false;
    int slots_ = 1;

    LoadReport report_;
    bool hasReport_ = false;
    TimePoint reportedAt_;
    int outstandingAtReport_ = 0;

    std::uint64_t readySinceMs_ = 0;
    TimePoint readyAt_;

    int failures_ = 0;
    TimePoint failingSince_;
    TimePoint lastSuccess_;
    int ejections_ = 0;
    TimePoint ejectedUntil_;
};

} // namespace wagtailhead
