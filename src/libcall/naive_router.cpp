#include "adaptive_router.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace wagtailhead {

namespace {

/// Round-robin over all members of the service that are not dead, whatever is known about them.
class NaiveRouter final : public Router {
public:
    auto choose(const MemberList& members, const RouteRequest& request, TimePoint /*now*/,
        WallClock::time_point /*wallNow*/) -> Route override
    {
        const std::lock_guard lock(mutex_);
        const auto found = members.byService_.find(request.service_);
        if (found == members.byService_.end() || found->second.empty()) {
            ++stats_.failures_;
            return RouteFailure::UnknownService;
        }
        const auto& candidates = found->second;
        auto& turn = turns_[request.service_];
        for (std::size_t tried = 0; tried < candidates.size(); ++tried) {
            const auto& member = *candidates.at(turn++ % candidates.size());
            const auto& exclude = request.exclude_;
            if (member.state_ != MemberState::Dead
                && std::find(exclude.begin(), exclude.end(), member.ref_) == exclude.end()) {
                return member;
            }
        }
        ++stats_.failures_;
        return RouteFailure::NoneUsable;
    }

    auto ended(const NodeRef& /*member*/, const AttemptReport& /*report*/, TimePoint /*now*/) -> void override
    {
    }

    auto setLinkBudget(double /*bytesPerSecond*/) -> void override { }

    auto stats() const -> RouterStats override
    {
        const std::lock_guard lock(mutex_);
        return stats_;
    }

    auto targets(TimePoint /*now*/) const -> std::vector<RouteTargetState> override
    {
        return {};
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::size_t> turns_;
    RouterStats stats_;
};

} // namespace

auto createNaiveRouter() -> std::unique_ptr<Router>
{
    return std::make_unique<NaiveRouter>();
}

} // namespace wagtailhead
