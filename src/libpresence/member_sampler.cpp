#include "member_sampler.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

namespace {

/// Number of random draws before the list is searched linearly from a random position.
constexpr int maxRandomTries = 8;

/// A round is rebuilt early when its list exceeds the number of live members by this factor, which happens
/// when many members join and die during a long round.
constexpr std::size_t maxRoundGrowth = 2;
constexpr std::size_t roundSlack = 16;

auto randomIndex(std::size_t count, std::mt19937_64& random) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

auto contains(const std::vector<NodeId>& ids, const NodeId& id) -> bool
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

auto isLiveMember(const MemberStore& members, const NodeId& id) -> bool
{
    const auto* entry = members.find(id);
    return entry && isLive(*entry);
}

} // namespace

auto MemberSampler::add(const Member& member, std::mt19937_64& random) -> void
{
    auto& round = isLocal(member) ? localRound_ : remoteRound_;
    round.ids_.push_back(member.ref_.id_);
    const auto rest = round.ids_.size() - round.position_;
    std::swap(round.ids_.back(), round.ids_[round.position_ + randomIndex(rest, random)]);
}

auto MemberSampler::next(const MemberStore& members, std::mt19937_64& random) -> std::optional<NodeId>
{
    const bool remote = ++calls_ % static_cast<std::uint64_t>(remoteRegionPeriod_) == 0;
    if (auto id = nextOf(remote ? remoteRound_ : localRound_, !remote, members, random)) {
        return id;
    }
    return nextOf(remote ? localRound_ : remoteRound_, remote, members, random);
}

auto MemberSampler::pick(const MemberStore& members, std::size_t count, const std::vector<NodeId>& excluded,
    std::mt19937_64& random) const -> std::vector<NodeId>
{
    std::vector<NodeId> picked;
    auto taken = excluded;
    for (std::size_t i = 0; picked.size() < count; ++i) {
        const bool remote = (i + 1) % static_cast<std::size_t>(remoteRegionPeriod_) == 0;
        auto id = pickFrom(remote ? remoteRound_ : localRound_, members, taken, random);
        if (!id) {
            id = pickFrom(remote ? localRound_ : remoteRound_, members, taken, random);
        }
        if (!id) {
            break;
        }
        taken.push_back(*id);
        picked.push_back(std::move(*id));
    }
    return picked;
}

auto MemberSampler::pickOne(const MemberStore& members, std::mt19937_64& random) const
    -> std::optional<NodeId>
{
    const bool remote = randomIndex(static_cast<std::size_t>(remoteRegionPeriod_), random) == 0;
    if (auto id = pickFrom(remote ? remoteRound_ : localRound_, members, {}, random)) {
        return id;
    }
    return pickFrom(remote ? localRound_ : remoteRound_, members, {}, random);
}

auto MemberSampler::restart(Round& round, bool local, const MemberStore& members, std::mt19937_64& random)
    -> void
{
    round.ids_.clear();
    round.position_ = 0;
    for (const auto& [id, entry] : members.entries()) {
        if (isLive(entry) && isLocal(entry.member_) == local) {
            round.ids_.push_back(id);
        }
    }
    std::shuffle(round.ids_.begin(), round.ids_.end(), random);
}

auto MemberSampler::nextOf(Round& round, bool local, const MemberStore& members, std::mt19937_64& random)
    -> std::optional<NodeId>
{
    if (round.ids_.size() > maxRoundGrowth * members.liveCount() + roundSlack) {
        restart(round, local, members, random);
    }
    // The second pass uses a new round. If that has no live member either, there is none.
    for (int pass = 0; pass < 2; ++pass) {
        while (round.position_ < round.ids_.size()) {
            const auto& id = round.ids_[round.position_++];
            if (isLiveMember(members, id)) {
                return id;
            }
        }
        restart(round, local, members, random);
    }
    return std::nullopt;
}

auto MemberSampler::pickFrom(const Round& round, const MemberStore& members,
    const std::vector<NodeId>& excluded, std::mt19937_64& random) -> std::optional<NodeId>
{
    if (round.ids_.empty()) {
        return std::nullopt;
    }
    const auto isEligible = [&](const NodeId& id) {
        return isLiveMember(members, id) && !contains(excluded, id);
    };
    for (int i = 0; i < maxRandomTries; ++i) {
        const auto& id = round.ids_[randomIndex(round.ids_.size(), random)];
        if (isEligible(id)) {
            return id;
        }
    }
    const auto start = randomIndex(round.ids_.size(), random);
    for (std::size_t i = 0; i < round.ids_.size(); ++i) {
        const auto& id = round.ids_[(start + i) % round.ids_.size()];
        if (isEligible(id)) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace wagtailhead
