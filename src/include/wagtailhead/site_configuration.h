/// The configuration of a site: routes, services and limits for callers.
#pragma once

#include "wagtailhead/client_accounts.h"
#include "wagtailhead/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace wagtailhead {

/// A service that a route leads to, with its share of the route's requests.
struct Destination {
    std::string service_;
    double weight_ = 1;
};

/// Where requests with one host and path prefix go, and what may be done with them.
struct SiteRoute {
    std::string name_;
    std::string host_; ///< Lower case, without a port.
    std::string prefix_; ///< Begins and ends with a slash.
    bool idempotent_ = false; ///< A request may run more than once.
    bool bulk_ = false; ///< Large responses.
    bool upload_ = false; ///< Large bodies of requests.
    bool anonymous_ = false; ///< Requests need no key, also where the configuration has accounts.
    int rank_ = 0; ///< 0 is the most important.
    int maxAttempts_ = 1; ///< Most backend servers for one request.
    Duration timeout_ = seconds(1); ///< Longest time to the final answer.
    Duration goal_ = seconds(1); ///< Latency objective.
    std::vector<Destination> destinations_; ///< At least one.
};

struct SiteService {
    std::string name_;
    std::string healthPath_;
    std::size_t maxConnections_ = 0; ///< To one backend server; 0 if not known.
};

struct CallerLimits {
    std::size_t headerBytes_ = 16384;
    std::size_t bodyBytes_ = std::size_t { 64 } << 20;
    Duration headerTimeout_ = seconds(10);
    Duration idleTimeout_ = seconds(60);
};

/// One version of the configuration. Immutable once built.
class SiteConfiguration {
public:
    SiteConfiguration(std::uint64_t version, std::string text, std::vector<SiteRoute> routes,
        std::vector<SiteService> services, CallerLimits limits, AccountTable accounts = {});

    /// Returns the route of the host with the longest prefix of `path`, or null.
    auto match(std::string_view host, std::string_view path) const -> const SiteRoute*;

    auto service(std::string_view name) const -> const SiteService*;

    /// Returns how many less important ranks the routes use.
    auto ranksBelow(int rank) const -> int;

    /// A newer version has a greater number.
    auto version() const -> std::uint64_t
    {
        return version_;
    }
    /// The document from which it was read, for other nodes.
    auto text() const -> const std::string&
    {
        return text_;
    }
    auto limits() const -> const CallerLimits&
    {
        return limits_;
    }
    /// The client accounts; empty if requests need no key.
    auto accounts() const -> const AccountTable&
    {
        return accounts_;
    }
    /// Returns whether requests differ so much in cost or in their share of the capacity that admission and
    /// placement follow expected cost: there are client accounts, or routes for uploads.
    auto asksForCostControl() const -> bool
    {
        return costControl_;
    }
    auto routes() const -> const std::vector<SiteRoute>&
    {
        return routes_;
    }

private:
    std::uint64_t version_;
    std::string text_;
    std::vector<SiteRoute> routes_;
    std::vector<SiteService> services_;
    CallerLimits limits_;
    AccountTable accounts_;
    bool costControl_ = false;
    std::vector<int> ranks_; ///< In use by routes and accounts, the least important first.
    std::unordered_map<std::string, std::size_t> byHostAndPrefix_;
};

using SiteConfigurationPtr = std::shared_ptr<const SiteConfiguration>;

} // namespace wagtailhead
