/// Membership and versioned items of a node: runs the protocol over its transport and updates the tables that
/// other components read.
#pragma once

#include "wagtailhead/gossip.h"
#include "wagtailhead/member.h"
#include "wagtailhead/membership.h"
#include "wagtailhead/versioned_items.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace asio {
class io_context;
}

namespace wagtailhead {

struct PresenceOptions {
    /// The record that this node announces. If the port of `gossip_` is 0, the bound one is announced.
    Member self_;
    /// Addresses to join through, from settings.
    std::vector<SeedAddress> peers_;
    /// Gossip is received at `listen_`, which may differ from the announced `self_.gossip_`.
    GossipTransportOptions transport_;
    MembershipOptions membership_;
    /// Seed of the random choices of the protocol.
    std::uint64_t seed_ = 0;
    /// Minimum interval between replacements of the membership table, each of which copies all members. In
    /// large groups that change continuously the interval is longer, so that replacing the table takes at
    /// most 1% of a core.
    Duration publishInterval_ = milliseconds(100);
};

struct PresenceStats {
    MembershipStats membership_;
    GossipTransportStats transport_;
    std::size_t liveMembers_ = 0;
    std::size_t items_ = 0;
};

/// Runs the membership protocol of one node. Thread safe. The protocol runs in threads of the Asio context,
/// in one thread at a time. Items that other components apply to the ItemTable are disseminated, and items
/// received from other nodes are applied to it.
class PresenceService {
public:
    /// Runs in a thread of the context after the membership table was replaced.
    using MembersListener = std::function<void(std::shared_ptr<const MemberList>)>;
    /// Runs once if another process uses this node's id with a higher incarnation.
    using ReplacedListener = std::function<void(Incarnation)>;

    /// Opens the listening socket and starts to join. Registers a listener with `items`, so call it before
    /// threads run the context. The context and both tables must outlive the service, and `items` must
    /// not be changed after the service has been destroyed.
    static auto open(asio::io_context& context, PresenceOptions options, MemberTable& members,
        ItemTable& items) -> Result<std::unique_ptr<PresenceService>>;

    virtual ~PresenceService() = default;

    /// Register listeners before threads run the context.
    virtual auto onMembersChange(MembersListener listener) -> void = 0;
    virtual auto onReplaced(ReplacedListener listener) -> void = 0;

    /// Adds addresses to join through that were read from the store.
    virtual auto addSeeds(std::vector<SeedAddress> seeds) -> void = 0;
    /// Announces a change of the backend server.
    virtual auto updateBackend(bool up, int slots, std::uint64_t readySinceMs) -> void = 0;
    /// Announces that this node accepts no new calls.
    virtual auto leave() -> void = 0;
    /// Announces the departure of this node. `done` runs in a thread of the context when some members have
    /// received the announcement or cannot be reached. Nothing is announced afterwards.
    virtual auto depart(std::function<void()> done) -> void = 0;

    /// Returns the address on which gossip is received, with the port that was bound.
    virtual auto address() const -> Address = 0;
    virtual auto stats() const -> PresenceStats = 0;
};

} // namespace wagtailhead
