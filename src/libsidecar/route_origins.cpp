#include "route_origins.h"

namespace wagtailhead {

namespace {

/// With so many requests expected from the VMs of a service, none at all shows that callers do not use the
/// route: by chance that happens once in 3,000 times.
constexpr double expectedRequests = 8;
/// Of the counts at each judgement, so that old traffic fades.
constexpr double keptShare = 0.8;

} // namespace

auto RouteOrigins::count(const std::string& route, const std::string& callerService) -> void
{
    auto& counts = routes_[route];
    counts.byService_[callerService] += 1;
    counts.total_ += 1;
}

auto RouteOrigins::judge(const std::map<std::string, double>& nodeShares) -> void
{
    for (auto& [route, counts] : routes_) {
        bool missing = false;
        bool enough = false;
        for (const auto& [service, share] : nodeShares) {
            if (counts.total_ * share < expectedRequests) {
                continue;
            }
            enough = true;
            const auto found = counts.byService_.find(service);
            missing = missing || found == counts.byService_.end() || found->second < 1;
        }
        if (enough) {
            counts.call_ = missing;
            counts.total_ *= keptShare;
            for (auto& [service, number] : counts.byService_) {
                number *= keptShare;
            }
        }
    }
    std::erase_if(routes_, [](const auto& item) {
        return item.second.total_ <= 0;
    });
}

auto RouteOrigins::isCall(const std::string& route) const -> bool
{
    const auto found = routes_.find(route);
    return found != routes_.end() && found->second.call_;
}

} // namespace wagtailhead
