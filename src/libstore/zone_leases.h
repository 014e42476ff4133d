/// The leases of one zone as one node sees them: which one it tries to get, and who holds the others.
#pragma once

#include "wagtailhead/lease.h"
#include "wagtailhead/member.h"
#include "wagtailhead/store_agent.h"
#include "wagtailhead/versioned_items.h"

#include <optional>
#include <random>
#include <vector>

namespace wagtailhead {

/// Not thread safe.
class ZoneLeases {
public:
    struct Call {
        std::size_t lease_ = 0;
        StoreCommand command_;
    };

    ZoneLeases(const StoreAgentOptions& options, const MemberTable& members, ItemTable& items);

    auto tick(TimePoint now) -> std::vector<Call>;
    auto onAnswer(TimePoint now, std::size_t lease, const StoreAnswer& answer) -> void;
    auto release(TimePoint now) -> void;
    auto isIdle() const -> bool;

    /// Returns the number of the lease that this node holds, or nothing.
    auto held(TimePoint now) const -> std::optional<std::size_t>;
    auto lease(std::size_t number) -> Lease&
    {
        return leases_[number];
    }
    /// Returns whether a lease with a lower number has a holder that is present.
    auto hasLowerHolder(std::size_t number) const -> bool;

    auto acquired() const -> std::uint64_t
    {
        return acquired_;
    }
    auto lost() const -> std::uint64_t
    {
        return lost_;
    }

private:
    /// What the gossiped item says about the holder of a lease.
    struct Holder {
        NodeRef ref_;
        bool held_ = false;
    };

    auto holderOf(std::size_t number) const -> Holder;
    /// Returns whether another node holds the lease, as far as gossip and membership tell.
    auto isTaken(std::size_t number, const MemberList& list) const -> bool;
    /// Returns the rank of this node among those that could get the lease.
    auto rank(std::size_t number, const MemberList& list) const -> std::size_t;
    /// Returns the lease that this node should try to get, with its rank.
    auto target(TimePoint now, const MemberList& list) const
        -> std::optional<std::pair<std::size_t, std::size_t>>;
    auto isLeaving(const MemberList& list) const -> bool;
    auto chooseTarget(TimePoint now) -> void;
    auto announce(TimePoint now) -> void;
    auto publish(std::size_t number, bool held) -> void;

    const StoreAgentOptions& options_;
    const MemberTable& members_;
    ItemTable& items_;
    std::mt19937_64 random_;
    std::vector<Lease> leases_;
    std::vector<bool> wasHeld_;
    std::optional<TimePoint> startedAt_;
    bool released_ = false;
    std::uint64_t acquired_ = 0;
    std::uint64_t lost_ = 0;
};

} // namespace wagtailhead
