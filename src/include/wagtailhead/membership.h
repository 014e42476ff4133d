/// SWIM-style membership and dissemination of versioned items, as a pure state machine.
///
/// The protocol does no I/O and never blocks: the caller passes in the current time and the received
/// messages, and then sends the requests and replies that takeOutput() returns. The same code runs over
/// nng in a node and on a virtual clock in tests and benchmarks.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/gossip_message.h"
#include "wagtailhead/member.h"
#include "wagtailhead/versioned_items.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhead {

/// The gossip address of a possible node. `zone_` selects the address translation; it is empty for
/// addresses that are dialled without translation.
struct SeedAddress {
    Address address_;
    std::string zone_;

    // clang-tidy 14 takes the 0 of the generated comparison for a pointer.
    auto operator<=>(const SeedAddress&) const = default; // NOLINT(modernize-use-nullptr)
};

struct MembershipOptions {
    Duration probeInterval_ = seconds(1);
    /// 500 ms covers a new connection between regions (three round trips of 60 ms) with a margin.
    Duration probeTimeout_ = milliseconds(500);
    /// Time for the indirect probes and the second direct one, after the first has failed.
    Duration indirectTimeout_ = seconds(1);
    int indirectProbes_ = 3;
    /// Time between the first suspicion and death, in which the member can refute it. It holds at the
    /// nodes that failed to reach the member themselves; others wait `remoteSuspicionFactor_` times as long
    /// for their verdict, so that late refutations in a large event do not cause false deaths.
    Duration suspicionTimeout_ = seconds(5);
    int remoteSuspicionFactor_ = 3;
    /// Every n-th probe, push and sync goes to another region, the others stay in the local region, because
    /// links between regions have little bandwidth and are charged by volume.
    int remoteRegionPeriod_ = 4;
    /// Number of members to which an urgent update is pushed immediately.
    int pushFanout_ = 4;
    /// Average rate and burst size of urgent pushes; events that exceed them are piggybacked on probes.
    std::size_t pushBytesPerSecond_ = 4 * 1024;
    std::size_t pushBurstBytes_ = 16 * 1024;
    /// Maximum size of probes, pushes and their replies, up to which events are added to them.
    std::size_t messageBudgetBytes_ = 1200;
    /// Events carry the value of items up to this size. For larger items they carry only the generation, and
    /// the receiver requests the value, which then crosses the network about once for each node.
    std::size_t eagerItemBytes_ = 96;
    /// Maximum size of the content of a message with requested values, or of an anti-entropy message for a
    /// joining node. A message carries at least one record.
    std::size_t bulkBudgetBytes_ = std::size_t { 256 } * 1024;
    /// Maximum size of the content of an anti-entropy message between nodes that have joined, and the time
    /// between the steps of a synchronisation that needs several. After a partition all nodes exchange their
    /// tables, each about once in two seconds; 16 KB then keeps a node within its budget of 28 KB/s.
    std::size_t repairBudgetBytes_ = std::size_t { 16 } * 1024;
    Duration repairInterval_ = seconds(1);
    /// Each node transmits an event this factor times log2(members) times.
    int retransmitFactor_ = 3;
    Duration syncInterval_ = seconds(30);
    Duration syncTimeout_ = seconds(5);
    /// The tombstones of dead members expire after this time.
    Duration tombstoneLifetime_ = std::chrono::hours(1);
    /// Interval between dials of addresses of unreachable members (one address each time). In large groups
    /// the interval is longer, so that all members together make about `groupDialsPerSecond_` dials; more
    /// would overload the smaller side of a healed partition with the exchange of its table.
    Duration dialInterval_ = seconds(5);
    int groupDialsPerSecond_ = 25;
    /// Retention of the addresses of unreachable members, so that a partition that lasts longer than the
    /// tombstones still heals.
    Duration rejoinAddressLifetime_ = std::chrono::hours(24);
    /// Interval between attempts to join while there is no other live member in the table.
    Duration joinInterval_ = seconds(1);
    /// If a call comes later than the expected wake-up by more than this, the process counts as paused.
    Duration pauseThreshold_ = seconds(1);
};

/// A request that the caller of the protocol must send and whose outcome it reports with onReply or
/// onFailure.
struct GossipRequest {
    std::uint64_t id_ = 0;
    SeedAddress to_;
    GossipMessage message_;
    Duration timeout_ {};
};

/// A reply to a request that was passed in with onRequest under `token_`.
struct GossipReply {
    std::uint64_t token_ = 0;
    GossipMessage message_;
};

struct MembershipOutput {
    std::vector<GossipRequest> requests_;
    std::vector<GossipReply> replies_;
    /// Items that were received from other nodes and are newer than the stored ones.
    std::vector<VersionedItem> items_;
};

/// Counters for dumps and metrics.
struct MembershipStats {
    std::uint64_t probesSent_ = 0;
    std::uint64_t probesFailed_ = 0;
    std::uint64_t indirectProbesSent_ = 0;
    std::uint64_t suspicions_ = 0;
    std::uint64_t deaths_ = 0;
    std::uint64_t refutations_ = 0;
    std::uint64_t pushesSent_ = 0;
    std::uint64_t syncsSent_ = 0;
    std::uint64_t dialsSent_ = 0;
    std::uint64_t itemsReceived_ = 0;
    std::uint64_t pausesDetected_ = 0;
    std::uint64_t staleMessages_ = 0;
    std::size_t queuedEvents_ = 0;
};

/// The membership protocol of one node. Not thread safe. The times passed to successive calls must not
/// decrease.
class MembershipProtocol {
public:
    /// Starts as a group of one. `self` must carry an id, an incarnation and the gossip address; its
    /// sequence is set by the protocol. `seed` drives all random choices.
    MembershipProtocol(Member self, MembershipOptions options, std::uint64_t seed, TimePoint now);
    ~MembershipProtocol();
    MembershipProtocol(MembershipProtocol&&) noexcept;
    auto operator=(MembershipProtocol&&) noexcept -> MembershipProtocol&;

    /// Adds permanent addresses to join through (from settings). They are dialled immediately while there is
    /// no other live member, and later at a low rate if no live member has them.
    auto addPeers(TimePoint now, const std::vector<SeedAddress>& peers) -> void;
    /// Adds addresses to join through that were read from the store; only the latest are kept.
    auto addSeeds(TimePoint now, const std::vector<SeedAddress>& seeds) -> void;

    /// Performs all actions that are due. Call it no later than at nextWake(); earlier calls have no effect
    /// on actions that are not due.
    auto tick(TimePoint now) -> void;
    auto nextWake() const -> TimePoint;

    /// Handles a request of another node. takeOutput() returns the reply; for an indirect probe, once the
    /// relayed probe has ended.
    auto onRequest(TimePoint now, std::uint64_t token, const GossipMessage& message) -> void;
    auto onReply(TimePoint now, std::uint64_t requestId, const GossipMessage& message) -> void;
    auto onFailure(TimePoint now, std::uint64_t requestId) -> void;

    /// Returns the output accumulated since the last call.
    auto takeOutput() -> MembershipOutput;

    /// Announces a change of the backend server of this node.
    auto updateSelf(TimePoint now, bool backendUp, int slots, std::uint64_t readySinceMs) -> void;
    /// Announces that this node takes no new calls. It cannot be undone.
    auto leave(TimePoint now) -> void;
    /// Announces the departure of this node to a few members. Send the output before the process exits.
    auto depart(TimePoint now) -> void;

    /// Disseminates an item that originates at this node. Returns whether it was newer than the stored one.
    auto publish(TimePoint now, const VersionedItem& item) -> bool;

    auto self() const -> const Member&;
    /// Returns all members in the table and this node, including dead members whose tombstones are kept.
    auto members() const -> std::map<NodeId, Member>;
    /// Increases whenever the result of members() changes.
    auto membersVersion() const -> std::uint64_t;
    auto findMember(const NodeId& id) const -> const Member*;
    auto findItem(const std::string& key) const -> std::optional<VersionedItem>;
    auto itemCount() const -> std::size_t;
    /// Returns the number of members that are not dead, including this node.
    auto liveCount() const -> std::size_t;

    /// Returns the higher incarnation under which this node's id is in use by another process, or
    /// nothing. A replaced node stops all announcements; its process should end.
    auto replacedBy() const -> std::optional<Incarnation>;

    auto stats() const -> MembershipStats;

private:
    class Core;
    std::unique_ptr<Core> core_;
};

} // namespace wagtailhead
