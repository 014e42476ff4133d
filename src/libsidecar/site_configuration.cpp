#include "wagtailhead/site_configuration.h"

#include <algorithm>
#include <cctype>
#include <functional>

namespace wagtailhead {

namespace {

auto hostName(std::string_view host) -> std::string
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return name;
}

} // namespace

SiteConfiguration::SiteConfiguration(std::uint64_t version, std::string text, std::vector<SiteRoute> routes,
    std::vector<SiteService> services, CallerLimits limits, AccountTable accounts)
    : version_(version)
    , text_(std::move(text))
    , routes_(std::move(routes))
    , services_(std::move(services))
    , limits_(limits)
    , accounts_(std::move(accounts))
{
    for (std::size_t i = 0; i < routes_.size(); ++i) {
        byHostAndPrefix_.emplace(hostName(routes_[i].host_) + routes_[i].prefix_, i);
        ranks_.push_back(routes_[i].rank_);
        costControl_ = costControl_ || routes_[i].upload_;
    }
    costControl_ = costControl_ || !accounts_.isEmpty();
    for (const auto& account : accounts_.accounts()) {
        if (account.rank_) {
            ranks_.push_back(*account.rank_);
        }
    }
    std::sort(ranks_.begin(), ranks_.end(), std::greater<>());
    ranks_.erase(std::unique(ranks_.begin(), ranks_.end()), ranks_.end());
}

auto SiteConfiguration::match(std::string_view host, std::string_view path) const -> const SiteRoute*
{
    const auto query = path.find_first_of("?#");
    path = path.substr(0, query);
    std::string key = hostName(host);
    const auto hostSize = key.size();
    key.append(path);
    // Prefixes end with a slash, so only the slashes of the path can end one.
    for (auto slash = key.rfind('/'); slash != std::string::npos && slash >= hostSize;
         slash = key.rfind('/')) {
        key.resize(slash + 1);
        const auto found = byHostAndPrefix_.find(key);
        if (found != byHostAndPrefix_.end()) {
            return &routes_[found->second];
        }
        if (slash == hostSize) {
            break;
        }
        key.resize(slash);
    }
    return nullptr;
}

auto SiteConfiguration::ranksBelow(int rank) const -> int
{
    return static_cast<int>(
        std::lower_bound(ranks_.begin(), ranks_.end(), rank, std::greater<>()) - ranks_.begin());
}

auto SiteConfiguration::service(std::string_view name) const -> const SiteService*
{
    for (const auto& service : services_) {
        if (service.name_ == name) {
            return &service;
        }
    }
    return nullptr;
}

} // namespace wagtailhead
