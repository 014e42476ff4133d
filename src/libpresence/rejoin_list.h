/// Addresses at which other parts of the group may be found: seeds and those of vanished members.
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
    /// Adds addresses that stay for good (from settings).
    auto addPeers(const std::vector<SeedAddress>& peers) -> void;

    /// Adds addresses that were learnt; the list keeps the latest ones.
    auto addSeeds(const std::vector<SeedAddress>& seeds) -> void;

    /// Remembers the address of a dead member until `until`. The list is bounded; beyond the bound a
    /// random address makes room.
    auto addVanished(SeedAddress address, TimePoint until, std::mt19937_64& random) -> void;

    /// Returns a random address for which `isLive` does not hold, or nothing.
    auto pick(TimePoint now, const std::function<bool(const SeedAddress&)>& isLive, std::mt19937_64& random)
        -> std::optional<SeedAddress>;

private:
    std::vector<SeedAddress> peers_;
    std::vector<SeedAddress> seeds_;
    std::map<SeedAddress, TimePoint> vanished_;
};

} // namespace wagtailhead
