/// Membership and versioned items of a node: the protocol, its transport and the tables others read.
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
    /// What this node announces. If the port of `gossip_` is 0, the bound one is announced.
    Member self_;
    /// Addresses to join through, from settings.
    std::vector<SeedAddress> peers_;
    /// `listen_` is where gossip is received; it may differ from the announced `self_.gossip_`.
    GossipTransportOptions transport_;
    MembershipOptions membership_;
    /// Drives the random choices of the protocol.
    std::uint64_t seed_ = 0;
    /// The membership table is replaced at most this often, because each time copies all members. Large
    /// groups that change all the time get longer pauses, so that this takes 1% of a core at most.
    Duration publishInterval_ = milliseconds(100);
};

struct PresenceStats {
    MembershipStats membership_;
    GossipTransportStats transport_;
    std::size_t liveMembers_ = 0;
    std::size_t items_ = 0;
};

/// Runs the membership protocol of one node. Thread safe. Work is done in threads of the Asio context,
/// one at a time. An item that any part of the node applies to the ItemTable is spread, and items learnt
/// from other nodes are applied to it.
class PresenceService {
public:
    /// Runs in a thread of the context after the membership table was replaced.
    using MembersListener = std::function<void(std::shared_ptr<const MemberList>)>;
    /// Runs once if another process uses this node's id with a higher incarnation.
    using ReplacedListener = std::function<void(Incarnation)>;

    /// Opens the listening socket and starts to join. Registers a listener at `items`, so call it before
    /// threads run the context. The context and both tables must outlive the service, and `items` must
    /// not be changed after its end.
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
    /// Announces that this node takes no new calls.
    virtual auto leave() -> void = 0;
    /// Announces the end of this node; `done` runs in a thread of the context when some members know it
    /// or cannot be reached. Nothing is announced afterwards.
    virtual auto depart(std::function<void()> done) -> void = 0;

    /// Returns the address on which gossip is received, with the real port.
    virtual auto address() const -> Address = 0;
    virtual auto stats() const -> PresenceStats = 0;
};

} // namespace wagtailhead
