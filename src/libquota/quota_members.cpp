#include "quota_members.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace wagtailhead {

namespace {

/// The loss of one of four custodians leaves three quarters of the rate.
constexpr std::size_t usualCustodians = 4;
constexpr double usedTolerance = 0.5;
/// Tokens that a custodian collects at least: in many small buckets a small account finds none when its
/// requests come close together. An account with less than twice as many has one custodian.
constexpr double smallestDepth = 2;
/// Part of the rate that nodes own without asking, for the time in which they reach no custodian.
constexpr double floorPart = 0.1;
/// A floor of fewer tokens than one in this time would serve no request in time.
constexpr Duration floorWindow = seconds(5);
/// A floor keeps one token for each node. Floors and unexpired grants may take this part of the burst.
constexpr double floorBurstPart = 0.5;

auto weight(std::string_view account, std::string_view other) -> std::uint64_t
{
    return XXH3_64bits_withSeed(other.data(), other.size(), XXH3_64bits(account.data(), account.size()));
}

} // namespace

auto quotaShares(const ClientAccount& account, std::size_t nodes, std::size_t regions,
    const QuotaTerms& terms) -> QuotaShares
{
    const auto nodeCount = static_cast<double>(nodes);
    QuotaShares shares;
    const double used = 1 + terms.over_ * usedTolerance;
    double rate = account.ratePerSecond_ * used;
    double burst = account.burst_ * used + terms.slack_ * usedTolerance;
    const std::chrono::duration<double> window = floorWindow;
    const std::chrono::duration<double> lifetime = terms.grantLifetime_;
    const double floors = rate * floorPart;
    // Tokens that were granted before a window may be used in it, so they are taken off the burst.
    const double left = burst - nodeCount - (rate - floors) * lifetime.count();
    if (floors / nodeCount * window.count() >= 1 && left >= burst * (1 - floorBurstPart)) {
        shares.floorRate_ = floors / nodeCount;
        rate -= floors;
        burst -= nodeCount;
    }
    const double depth = std::max(burst - rate * lifetime.count(), 1.0);
    const auto most = std::min(nodes, std::max(usualCustodians, regions));
    shares.custodians_ = std::clamp<std::size_t>(
        static_cast<std::size_t>(std::min(depth / smallestDepth, static_cast<double>(most))), 1, most);
    const auto custodians = static_cast<double>(shares.custodians_);
    shares.custodianRate_ = rate / custodians;
    shares.custodianDepth_ = depth / custodians;
    return shares;
}

auto QuotaMembers::setNodes(std::vector<QuotaNode> nodes) -> bool
{
    std::sort(nodes.begin(), nodes.end(), [](const QuotaNode& a, const QuotaNode& b) {
        return a.name_ < b.name_;
    });
    if (nodes == nodes_) {
        return false;
    }
    nodes_ = std::move(nodes);
    byRegion_.clear();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        byRegion_[nodes_[i].region_].push_back(i);
    }
    return true;
}

auto QuotaMembers::custodiansOf(std::string_view account, std::size_t count) const
    -> std::vector<const QuotaNode*>
{
    struct Region {
        std::uint64_t weight_ = 0;
        std::vector<std::pair<std::uint64_t, const QuotaNode*>> nodes_;
    };
    std::vector<Region> regions;
    regions.reserve(byRegion_.size());
    for (const auto& [name, places] : byRegion_) {
        Region region;
        region.weight_ = weight(account, name);
        for (const auto place : places) {
            region.nodes_.emplace_back(weight(account, nodes_[place].name_), &nodes_[place]);
        }
        const auto kept = std::min(count, region.nodes_.size());
        std::partial_sort(region.nodes_.begin(), region.nodes_.begin() + static_cast<std::ptrdiff_t>(kept),
            region.nodes_.end(), std::greater<>());
        region.nodes_.resize(kept);
        regions.push_back(std::move(region));
    }
    std::sort(regions.begin(), regions.end(), [](const Region& a, const Region& b) {
        return a.weight_ > b.weight_;
    });
    std::vector<const QuotaNode*> custodians;
    for (std::size_t round = 0; round < count && custodians.size() < count; ++round) {
        for (const auto& region : regions) {
            if (round < region.nodes_.size() && custodians.size() < count) {
                custodians.push_back(region.nodes_[round].second);
            }
        }
    }
    return custodians;
}

} // namespace wagtailhead
