/// Addresses to join through or to rejoin after a partition: peers, seeds and unreachable members.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/membership.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace wagtailhead {

class RejoinList {
public:
    /// Adds permanent addresses (from settings).
    auto addPeers(const std::vector<SeedAddress>& peers) -> void;

    /// Adds addresses that were obtained at run time; the list keeps the latest ones.
    auto addSeeds(const std::vector<SeedAddress>& seeds) -> void;

    /// Keeps the address of a dead member until `expiry`. The list is bounded; when it is full, a random
    /// address is evicted.
    auto addUnreachable(SeedAddress address, TimePoint expiry, std::mt19937_64& random) -> void;

    /// Returns a random address for which `isExcluded` does not hold, or nothing.
    auto pick(TimePoint now, const std::function<bool(const SeedAddress&)>& isExcluded,
        std::mt19937_64& random) -> std::optional<SeedAddress>;

private:
    std::vector<SeedAddress> peers_;
    std::vector<SeedAddress> seeds_;
    std::map<SeedAddress, TimePoint> unreachable_;
};

} // namespace wagtailhead
