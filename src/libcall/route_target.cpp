#include "route_target.h"

#include <algorithm>
#include <cmath>

namespace wagtailhead {

namespace {

/// A report loses its weight against the node's own count of outstanding calls with this time constant,
/// since other nodes' calls come and go in the meantime.
constexpr double reportMemorySeconds = 1;

/// Reports with less weight than this (older than about 5 s) say nothing any more.
constexpr double minTrust = 0.01;

/// Weight of a backend server that became ready just now; it needs some calls to warm up.
constexpr double coldWeight = 0.1;

constexpr int maxEjectDoublings = 16;

auto secondsBetween(TimePoint from, TimePoint to) -> double
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

RouteTarget::RouteTarget(const NodeRef& ref)
    : ref_(ref)
{
}

auto RouteTarget::observe(
    const Member& member, Duration slowStart, TimePoint now, WallClock::time_point wallNow) -> void
{
    slots_ = std::max(member.slots_, 1);
    if (member.readySinceMs_ == readySinceMs_) {
        return;
    }
    readySinceMs_ = member.readySinceMs_;
    const WallClock::time_point readySince { milliseconds(static_cast<std::int64_t>(readySinceMs_)) };
    // Clocks of VMs differ, so the age is limited to what matters.
    const auto age = std::clamp<Duration>(
        wallNow < readySince ? Duration::zero() : std::min<Duration>(wallNow - readySince, slowStart),
        Duration::zero(), slowStart);
    readyAt_ = now - age;
}

auto RouteTarget::onChosen(bool otherRegion) -> void
{
    otherRegion_ = otherRegion;
    ++outstanding_;
}

auto RouteTarget::onEnded(const AttemptReport& report, Duration ejectCap, TimePoint now) -> void
{
    outstanding_ = std::max(outstanding_ - 1, 0);
    if (report.load_) {
        report_ = *report.load_;
        hasReport_ = true;
        reportedAt_ = now;
        outstandingAtReport_ = outstanding_;
    }
    switch (report.end_) {
    case AttemptEnd::Answered:
    case AttemptEnd::Refused:
        addSuccess(ejectCap, now);
        break;
    case AttemptEnd::Failed:
    case AttemptEnd::TimedOut:
        addFailure(now);
        break;
    case AttemptEnd::Neutral:
        break;
    }
}

auto RouteTarget::load(Duration slowStart, TimePoint now, int extra) const -> double
{
    double calls = outstanding_;
    int limit = slots_;
    const double trust
        = hasReport_ ? std::exp(-std::max(secondsBetween(reportedAt_, now), 0.0) / reportMemorySeconds) : 0;
    if (trust >= minTrust) {
        const double reported
            = std::max(report_.inFlight_ + report_.queued_ + outstanding_ - outstandingAtReport_, 0);
        calls = trust * reported + (1 - trust) * calls;
        limit = report_.limit_ > 0 ? report_.limit_ : limit;
    }
    return (calls + extra) / (limit * weight(slowStart, now));
}

auto RouteTarget::weight(Duration slowStart, TimePoint now) const -> double
{
    if (slowStart <= Duration::zero()) {
        return 1;
    }
    const double age
        = std::chrono::duration<double>(now - readyAt_) / std::chrono::duration<double>(slowStart);
    return std::clamp(age, coldWeight, 1.0);
}

auto RouteTarget::addSuccess(Duration ejectCap, TimePoint now) -> void
{
    failures_ = 0;
    lastSuccess_ = now;
    if (ejections_ > 0 && now > ejectedUntil_ + ejectCap) {
        ejections_ = 0;
    }
}

auto RouteTarget::addFailure(TimePoint now) -> void
{
    if (failures_ == 0) {
        failingSince_ = now;
    }
    ++failures_;
}

auto RouteTarget::eject(const RouterOptions& options, TimePoint now) -> void
{
    const auto doublings = std::min(ejections_, maxEjectDoublings);
    ejectedUntil_ = now + std::min(options.ejectBase_ * (std::int64_t { 1 } << doublings), options.ejectCap_);
    ++ejections_;
    failures_ = options.ejectAfter_ - 1;
}

auto RouteTarget::release(TimePoint now) -> void
{
    ejectedUntil_ = std::min(ejectedUntil_, now);
}

} // namespace wagtailhead
