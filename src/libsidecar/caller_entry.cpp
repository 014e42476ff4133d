#include "caller_entry.h"

namespace wagtailhead {

CallerEntry::CallerEntry(const CallerEntryOptions& options, const CallerEntryParts& parts)
    : random_(options.seed_)
    , budgets_(options.retries_, parts.directory_)
    , shedding_(options.service_, parts.directory_, options.seed_ + 1)
    , shared_ { options.node_, options.service_, options.headers_, parts.directory_, parts.links_,
        parts.gate_, budgets_, shedding_, costModel_, parts.quota_, log_, parts.metrics_, stats_,
        parts.configuration_, parts.hasRoom_, bulk_, runTimes_,
        [this](const SiteRoute& route) -> const std::string& {
            return chooseDestination(route);
        },
        [this](const std::shared_ptr<CallerOperation>& operation) {
            operations_.erase({ operation->deadline(), operation });
        } }
{
}

auto CallerEntry::onRequest(http1::Request request, std::shared_ptr<http1::Exchange> exchange) -> void
{
    const auto operation
        = std::make_shared<CallerOperation>(shared_, std::move(request), std::move(exchange));
    operation->start();
    if (!operation->hasEnded()) {
        operations_.emplace(operation->deadline(), operation);
    }
}

auto CallerEntry::mayOverlap(const http1::Request& request) const -> bool
{
    const auto configuration = shared_.configuration_();
    const auto* route = configuration == nullptr
        ? nullptr
        : configuration->match(request.headers_.find("Host"), request.target_);
    return route != nullptr && route->idempotent_;
}

auto CallerEntry::tick() -> void
{
    const auto now = bootNow();
    while (!operations_.empty() && operations_.begin()->first + responseGrace < now) {
        const auto operation = operations_.begin()->second;
        operation->onDeadline();
    }
}

auto CallerEntry::chooseDestination(const SiteRoute& route) -> const std::string&
{
    if (route.destinations_.size() == 1) {
        return route.destinations_.front().service_;
    }
    double totalWeight = 0;
    for (const auto& destination : route.destinations_) {
        totalWeight += destination.weight_;
    }
    double remaining = std::uniform_real_distribution<>(0, totalWeight)(random_);
    for (const auto& destination : route.destinations_) {
        if (remaining < destination.weight_) {
            return destination.service_;
        }
        remaining -= destination.weight_;
    }
    return route.destinations_.back().service_;
}

} // namespace wagtailhead
