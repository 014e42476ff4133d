#include "route_origins.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// With so many requests expected from the VMs of a service, none at all shows that callers do not use the
/// route: by chance that happens once in 3,000 times.
constexpr double expectedRequests = 8;
/// So many judgements in a row have to agree that a route is a call; one that does not is enough for the
/// opposite, since refusing a call wastes the work of its whole tree less than refusing nothing.
constexpr int agreeingJudgements = 3;
/// Of the counts at each judgement, so that old traffic fades.
constexpr double keptShare = 0.8;
/// A node that has sent nothing for this long does not count as a sender.
constexpr Duration senderLife = seconds(5);

} // namespace

auto RouteOrigins::count(const std::string& route, const std::string& callerService,
    const std::string& callerNode, TimePoint now) -> void
{
    auto& counts = routes_[route];
    counts.byService_[callerService] += 1;
    counts.total_ += 1;
    nodes_[callerService][callerNode] = now;
}

auto RouteOrigins::nodeShares(TimePoint now) -> std::map<std::string, double>
{
    std::map<std::string, double> shares;
    double all = 0;
    for (auto& [service, nodes] : nodes_) {
        std::erase_if(nodes, [&](const auto& item) {
            return now - item.second > senderLife;
        });
        all += static_cast<double>(nodes.size());
    }
    for (const auto& [service, nodes] : nodes_) {
        if (!nodes.empty()) {
            shares[service] = static_cast<double>(nodes.size()) / all;
        }
    }
    return shares;
}

auto RouteOrigins::judge(TimePoint now) -> void
{
    const auto shares = nodeShares(now);
    for (auto& [route, counts] : routes_) {
        bool missing = false;
        bool enough = false;
        for (const auto& [service, share] : shares) {
            if (counts.total_ * share < expectedRequests) {
                continue;
            }
            enough = true;
            const auto found = counts.byService_.find(service);
            missing = missing || found == counts.byService_.end() || found->second < 1;
        }
        if (enough) {
            counts.missing_ = missing ? std::min(counts.missing_ + 1, agreeingJudgements) : 0;
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
    return found != routes_.end() && found->second.missing_ >= agreeingJudgements;
}

} // namespace wagtailhead
