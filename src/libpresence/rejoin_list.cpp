#include "rejoin_list.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Sufficient to rejoin a whole region that became unreachable, since all nodes dial.
constexpr std::size_t maxUnreachable = 64;
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

auto RejoinList::addUnreachable(SeedAddress address, TimePoint expiry, std::mt19937_64& random) -> void
{
    if (unreachable_.size() >= maxUnreachable && !unreachable_.contains(address)) {
        const auto evicted = std::uniform_int_distribution<std::size_t>(0, unreachable_.size() - 1)(random);
        unreachable_.erase(std::next(unreachable_.begin(), static_cast<std::ptrdiff_t>(evicted)));
    }
    unreachable_[std::move(address)] = expiry;
}

auto RejoinList::pick(TimePoint now, const std::function<bool(const SeedAddress&)>& isExcluded,
    std::mt19937_64& random) -> std::optional<SeedAddress>
{
    std::erase_if(unreachable_, [now](const auto& item) {
        return item.second <= now;
    });
    auto candidates = peers_;
    candidates.insert(candidates.end(), seeds_.begin(), seeds_.end());
    for (const auto& [address, expiry] : unreachable_) {
        candidates.push_back(address);
    }
    std::shuffle(candidates.begin(), candidates.end(), random);
    const auto found = std::find_if(candidates.begin(), candidates.end(), [&](const SeedAddress& candidate) {
        return !isExcluded(candidate);
    });
    return found == candidates.end() ? std::nullopt : std::optional(*found);
}

} // namespace wagtailhead
