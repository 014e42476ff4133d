#include "route_costs.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Weight of the newest reply in the moving averages.
constexpr double weight = 0.05;
/// A route whose calls cost less than this part of its own time asks nothing worth mentioning of the services
/// below. The calls are fitted, so a route without calls seldom comes out at zero.
constexpr double negligibleShare = 0.2;
constexpr std::size_t mostRoutes = 1024;

} // namespace

auto RouteCosts::onReply(const std::string& route, Duration spent, double calledMs, std::size_t responseBytes)
    -> void
{
    const double spentMs = std::chrono::duration<double, std::milli>(spent).count();
    const auto found = costs_.find(route);
    if (found != costs_.end()) {
        auto& cost = found->second;
        cost.own_ += (spentMs - cost.own_) * weight;
        cost.called_ += (calledMs - cost.called_) * weight;
        cost.responseBytes_ += (static_cast<double>(responseBytes) - cost.responseBytes_) * weight;
    } else if (costs_.size() < mostRoutes) {
        costs_.emplace(route, Cost { spentMs, calledMs, static_cast<double>(responseBytes) });
    }
}

auto RouteCosts::own(const std::string& route) const -> double
{
    const auto found = costs_.find(route);
    return found == costs_.end() ? 0 : found->second.own_;
}

auto RouteCosts::called(const std::string& route) const -> double
{
    const auto found = costs_.find(route);
    return found == costs_.end() ? 0 : found->second.called_;
}

auto RouteCosts::responseBytes(const std::string& route) const -> std::size_t
{
    const auto found = costs_.find(route);
    return found == costs_.end() ? 0 : static_cast<std::size_t>(found->second.responseBytes_);
}

auto RouteCosts::deepest(const std::string& route) const -> double
{
    return reachesBelow(route) ? called(route) : own(route);
}

auto RouteCosts::reachesBelow(const std::string& route) const -> bool
{
    const auto found = costs_.find(route);
    if (found == costs_.end()) {
        return true;
    }
    const auto& cost = found->second;
    return cost.called_ > 0 && cost.called_ >= cost.own_ * negligibleShare;
}

} // namespace wagtailhead
