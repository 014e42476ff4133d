/// Which nodes hold the quota of an account.
#pragma once

#include "wagtailhead/client_accounts.h"
#include "wagtailhead/clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

/// A node as far as quotas need it.
struct QuotaNode {
    std::string name_;
    std::string zone_;
    std::string region_;

    auto operator==(const QuotaNode&) const -> bool = default;
};

/// How the rate and the burst of one account are divided. Every node computes the same from the same
/// configuration and number of nodes, so no part is handed over and the parts never exceed the whole.
struct QuotaShares {
    std::size_t custodians_ = 0; ///< Nodes that grant tokens.
    double custodianRate_ = 0; ///< Tokens a second of each custodian.
    double custodianDepth_ = 0; ///< Most tokens that a custodian collects.
    double floorRate_
        = 0; ///< Tokens a second that each node owns without asking; 0 if that comes to too few.
};

/// How exactly quotas are kept.
struct QuotaTerms {
    /// How long a node may keep a granted token, from the time at which it asked: two round trips between
    /// regions.
    Duration grantLifetime_ = milliseconds(150);
    /// What the deployment tolerates above rate and burst: a share of both, and requests. Half of it is used,
    /// so that an account is not refused requests below its quota because the quota is divided; the other
    /// half covers the time between the admission of a request and its arrival at a backend server.
    double over_ = 0;
    double slack_ = 0;
};

/// Returns the shares of an account among `nodes` nodes in `regions` regions. Precondition: the account is
/// limited and `nodes` is positive. Thread safe.
auto quotaShares(const ClientAccount& account, std::size_t nodes, std::size_t regions,
    const QuotaTerms& terms) -> QuotaShares;

/// The nodes of a site, and the custodians of each account among them. Not thread safe.
class QuotaMembers {
public:
    /// Replaces the nodes. Returns whether they differ from those before.
    auto setNodes(std::vector<QuotaNode> nodes) -> bool;

    /// Returns up to `count` custodians of an account by rendezvous hashing, spread evenly over the regions.
    auto custodiansOf(std::string_view account, std::size_t count) const -> std::vector<const QuotaNode*>;

    auto nodeCount() const -> std::size_t
    {
        return nodes_.size();
    }
    auto regionCount() const -> std::size_t
    {
        return byRegion_.size();
    }

private:
    std::vector<QuotaNode> nodes_; ///< Sorted by name.
    std::map<std::string, std::vector<std::size_t>> byRegion_; ///< Places in nodes_.
};

} // namespace wagtailhead
