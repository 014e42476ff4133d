#include "route_origins.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// If this many requests are expected from the VMs of a service and none arrives, callers do not use the
/// route: the probability that this happens by chance is 1 in 3,000.
constexpr double expectedRequests = 8;
/// Number of consecutive results that must classify a route as internal. A single contrary result reverts the
/// classification: shedding an internal call wastes the work of its whole call tree, but costs less than not
/// shedding at all.
constexpr int requiredUpdates = 3;
/// Share of the counts that is kept at each call of classify(), so that old traffic loses weight.
constexpr double countDecay = 0.8;
/// A node that has sent no requests for this long is not counted as a sender.
constexpr Duration senderMaxAge = seconds(5);

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
            return now - item.second > senderMaxAge;
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

auto RouteOrigins::classify(TimePoint now) -> void
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
            counts.updatesWithMissingService_
                = missing ? std::min(counts.updatesWithMissingService_ + 1, requiredUpdates) : 0;
            counts.total_ *= countDecay;
            for (auto& [service, number] : counts.byService_) {
                number *= countDecay;
            }
        }
    }
    std::erase_if(routes_, [](const auto& item) {
        return item.second.total_ <= 0;
    });
}

auto RouteOrigins::isInternalRoute(const std::string& route) const -> bool
{
    const auto found = routes_.find(route);
    return found != routes_.end() && found->second.updatesWithMissingService_ >= requiredUpdates;
}

} // namespace wagtailhead
