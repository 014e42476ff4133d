#include "rejoin_list.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Enough to find a region that was lost as a whole, since all nodes dial.
constexpr std::size_t maxVanished = 64;
constexpr std::size_t maxSeeds = 64;

} // namespace

auto RejoinList::addPeers(const std::vector<SeedAddress>& peers) -> void
{
    for (const auto& peer : peers) {
        if (std::find(peers_.begin(), peers_.end(), peer) == peers_.end()) {
            peers_.push_back(peer);
        }
    }
}

auto RejoinList::addSeeds(const std::vector<SeedAddress>& seeds) -> void
{
    for (const auto& seed : seeds) {
        std::erase(seeds_, seed);
        seeds_.push_back(seed);
    }
    if (seeds_.size() > maxSeeds) {
        seeds_.erase(seeds_.begin(), seeds_.end() - maxSeeds);
    }
}

auto RejoinList::addVanished(SeedAddress address, TimePoint until, std::mt19937_64& random) -> void
{
    if (vanished_.size() >= maxVanished && !vanished_.contains(address)) {
        const auto victim = std::uniform_int_distribution<std::size_t>(0, vanished_.size() - 1)(random);
        vanished_.erase(std::next(vanished_.begin(), static_cast<std::ptrdiff_t>(victim)));
    }
    vanished_[std::move(address)] = until;
}

auto RejoinList::pick(TimePoint now, const std::function<bool(const SeedAddress&)>& isLive,
    std::mt19937_64& random) -> std::optional<SeedAddress>
{
    std::erase_if(vanished_, [now](const auto& item) {
        return item.second <= now;
    });
    auto candidates = peers_;
    candidates.insert(candidates.end(), seeds_.begin(), seeds_.end());
    for (const auto& [address, until] : vanished_) {
        candidates.push_back(address);
    }
    std::shuffle(candidates.begin(), candidates.end(), random);
    const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const SeedAddress& candidate) {
        return !isLive(candidate);
    });
    return found == candidates.end() ? std::nullopt : std::optional(*found);
}

} // namespace wagtailhead
