#include "root_shedding.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

namespace {

/// A service that the backend server has not called for this long does not count as downstream.
constexpr Duration downstreamMaxAge = seconds(2);
/// A backend server that has made no calls for this long is assumed to make none.
constexpr Duration callMaxAge = std::chrono::minutes(1);
/// Bounds of the time after which a refused caller may retry.
constexpr Duration shortestRetryAfter = milliseconds(200);
constexpr Duration longestRetryAfter = seconds(5);
/// Assumed decrease of a level once capacity is free again, in ranks per second.
constexpr double levelFallPerSecond = 0.5;

} // namespace

RootShedding::RootShedding(std::string service, const Directory& directory, std::uint64_t seed)
    : service_(std::move(service))
    , directory_(directory)
    , seed_(seed)
    , random_(seed)
    , policy_(std::make_unique<RankAdmission>(seed))
{
}

auto RootShedding::setCostControl(bool on) -> void
{
    if (std::exchange(costControl_, on) == on) {
        return;
    }
    if (on) {
        policy_ = std::make_unique<CostAdmission>(seed_);
    } else {
        policy_ = std::make_unique<RankAdmission>(seed_);
    }
}

auto RootShedding::levelFor(const std::string& service, const SiteRoute& route, TimePoint now) const
    -> ReportedLevel
{
    const bool below = !costControl_ || costs_.reachesBelow(route.name_);
    return directory_.level(service, now, below ? LevelPart::Highest : LevelPart::Own);
}

auto RootShedding::onReply(const std::string& service, const SiteRoute& route, bool isInternal, TimePoint now)
    -> void
{
    if (isInternal) {
        downstreamServices_[service] = now;
        internalRoutes_.insert(route.name_);
    } else {
        internalRoutes_.erase(route.name_);
    }
}

auto RootShedding::shouldRefuse(const SiteConfiguration& configuration, const SiteRoute& route,
    std::string_view account, int rank, ShedLevel level, TimePoint now) -> bool
{
    if (internalRoutes_.count(route.name_) > 0) {
        return false;
    }
    return policy_->shouldRefuse({ .route_ = route.name_,
                                     .account_ = account,
                                     .rank_ = rank,
                                     .ranksBelow_ = configuration.ranksBelow(rank),
                                     .level_ = level,
                                     .cost_ = costs_.deepest(route.name_) },
        now);
}

auto RootShedding::retryAfter(ShedLevel level, int ranksBelow) -> Duration
{
    const double wait = std::max(level - ranksBelow, 0.0) / levelFallPerSecond;
    const auto spread = std::uniform_real_distribution<>(1, 2)(random_);
    const auto pause
        = std::chrono::duration<double>(shortestRetryAfter) + std::chrono::duration<double>(wait);
    return std::min<Duration>(std::chrono::duration_cast<Duration>(pause * spread), longestRetryAfter);
}

auto RootShedding::calledLevel(TimePoint now) const -> ReportedLevel
{
    ReportedLevel highest;
    for (const auto& [service, lastCall] : downstreamServices_) {
        if (now - lastCall < downstreamMaxAge && service != service_) {
            const auto level = directory_.level(service, now);
            highest = level.level_ > highest.level_ ? level : highest;
        }
    }
    return highest;
}

auto RootShedding::makesCalls(TimePoint now) const -> bool
{
    return std::any_of(downstreamServices_.begin(), downstreamServices_.end(), [&](const auto& item) {
        return now - item.second < callMaxAge;
    });
}

} // namespace wagtailhead
