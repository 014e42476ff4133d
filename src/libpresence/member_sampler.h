/// Selects members to probe, push to and synchronise with, from shuffled lists of the local region and of the
/// other regions.
#pragma once

#include "member_store.h"

#include <random>
#include <string>
#include <vector>

namespace wagtailhead {

/// Holds shuffled lists of member ids. Ids of members that are dead by now are skipped.
class MemberSampler {
public:
    MemberSampler(std::string localRegion, int remoteRegionPeriod)
        : localRegion_(std::move(localRegion))
        , remoteRegionPeriod_(remoteRegionPeriod)
    {
    }

    /// Inserts a new member at a random position in the rest of the current round.
    auto add(const Member& member, std::mt19937_64& random) -> void;

    /// Returns the next member of the round, or nothing if there is no live member. Every n-th call
    /// takes a member of another region.
    auto next(const MemberStore& members, std::mt19937_64& random) -> std::optional<NodeId>;

    /// Returns up to `count` distinct random live members other than `excluded`; every n-th is of
    /// another region as long as members of both kinds are available.
    auto pick(const MemberStore& members, std::size_t count, const std::vector<NodeId>& excluded,
        std::mt19937_64& random) const -> std::vector<NodeId>;

    /// Returns one random live member, of another region with the probability 1/n.
    auto pickOne(const MemberStore& members, std::mt19937_64& random) const -> std::optional<NodeId>;

private:
    struct Round {
        std::vector<NodeId> ids_;
        std::size_t position_ = 0;
    };

    auto isLocal(const Member& member) const -> bool
    {
        return member.region_ == localRegion_;
    }
    auto restart(Round& round, bool local, const MemberStore& members, std::mt19937_64& random) -> void;
    auto nextOf(Round& round, bool local, const MemberStore& members, std::mt19937_64& random)
        -> std::optional<NodeId>;
    static auto pickFrom(const Round& round, const MemberStore& members, const std::vector<NodeId>& excluded,
        std::mt19937_64& random) -> std::optional<NodeId>;

    std::string localRegion_;
    int remoteRegionPeriod_;
    std::uint64_t calls_ = 0;
    Round localRound_;
    Round remoteRound_;
};

} // namespace wagtailhead
