/// SWIM-style membership and dissemination of versioned items, as a pure state machine.
///
/// The protocol neither sends nor waits: its user calls it with the current time and with what
/// arrived, and then takes the requests and replies to send from takeOutput(). The same code runs over
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

/// An address at which a node may be found. `zone_` selects the address translation; it is empty for
/// addresses that are dialled as they are.
struct SeedAddress {
    Address address_;
    std::string zone_;

    // clang-tidy 14 takes the 0 of the generated comparison for a pointer.
    auto operator<=>(const SeedAddress&) const = default; // NOLINT(modernize-use-nullptr)
};

struct MembershipOptions {
    Duration probeInterval_ = seconds(1);
    /// 500 ms covers a new connection between regions (three round trips of 60 ms) with slack.
    Duration probeTimeout_ = milliseconds(500);
    /// Time for the indirect probes and the second direct one, after the first has failed.
    Duration indirectTimeout_ = seconds(1);
    int indirectProbes_ = 3;
    /// Time between the first suspicion and death, in which the member can refute it. It holds at the
    /// nodes that failed to reach the member themselves; others wait `hearsayFactor_` times as long for
    /// their verdict, so that late refutations in a large event do not cause false deaths.
    Duration suspicionTimeout_ = seconds(5);
    int hearsayFactor_ = 3;
    /// Every n-th probe, push and sync goes to another region, the rest stay in the own one, because
    /// the links between regions are narrow and paid for by volume.
    int farEvery_ = 4;
    /// Members that are told at once when this node learns something urgent.
    int pushFanout_ = 4;
    /// Average and burst of bytes that urgent pushes may use; beyond it events travel with probes.
    std::size_t pushBytesPerSecond_ = 4 * 1024;
    std::size_t pushBurstBytes_ = 16 * 1024;
    /// Bytes of a message that probes, pushes and their replies fill with events.
    std::size_t messageBudgetBytes_ = 1200;
    /// Items up to this size travel in events; of larger ones only the generation, and the receiver
    /// asks for the value. A value then crosses the network about once for each node.
    std::size_t eagerItemBytes_ = 96;
    /// Bytes that a message of requested values or of anti-entropy for a joining node may fill (at least
    /// one record).
    std::size_t bulkBudgetBytes_ = std::size_t { 256 } * 1024;
    /// Bytes that a message of anti-entropy between nodes that have joined may fill, and the time between
    /// the steps when that is not enough. After a partition all nodes exchange their tables, about every
    /// second second each; 16 KB then stay within the budget of 28 KB/s for a node.
    std::size_t repairBudgetBytes_ = std::size_t { 16 } * 1024;
    Duration repairInterval_ = seconds(1);
    /// An event is sent this factor times log2(members) times by each node.
    int retransmitFactor_ = 3;
    Duration syncInterval_ = seconds(30);
    Duration syncTimeout_ = seconds(5);
    /// Dead members are forgotten after this time.
    Duration tombstoneLife_ = std::chrono::hours(1);
    /// Addresses of vanished members are dialled this often (one address each time), in large groups so
    /// much less that all members together make about `groupDialsPerSecond_`; more would load the smaller
    /// side of a healed partition with the exchange of its table.
    Duration dialInterval_ = seconds(5);
    int groupDialsPerSecond_ = 25;
    /// Vanished addresses are remembered this long, so that a partition that outlasts the tombstones
    /// still heals.
    Duration dialLife_ = std::chrono::hours(24);
    /// Interval of the attempts to join while no other member is known.
    Duration joinInterval_ = seconds(1);
    /// A gap between two calls beyond the expected wake-up that counts as a pause of this process.
    Duration pauseThreshold_ = seconds(1);
};

/// A request that the user of the protocol sends. Its outcome is reported with onReply or onFailure.
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
    /// Items that were learnt from other nodes and are newer than the known ones.
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
    std::uint64_t itemsLearnt_ = 0;
    std::uint64_t pausesNoticed_ = 0;
    std::uint64_t staleMessages_ = 0;
    std::size_t queuedEvents_ = 0;
};

/// The membership of one node. Not thread safe. All times passed in must not decrease.
class MembershipProtocol {
public:
    /// Starts as a group of one. `self` must carry an id, an incarnation and the gossip address; its
    /// sequence is set by the protocol. `seed` drives all random choices.
    MembershipProtocol(Member self, MembershipOptions options, std::uint64_t seed, TimePoint now);
    ~MembershipProtocol();
    MembershipProtocol(MembershipProtocol&&) noexcept;
    auto operator=(MembershipProtocol&&) noexcept -> MembershipProtocol&;

    /// Adds addresses to join through that stay for good (from settings). They are dialled at once while
    /// no other member is known, and at a low rate later if no live member has them.
    auto addPeers(TimePoint now, const std::vector<SeedAddress>& peers) -> void;
    /// Adds addresses to join through that were learnt (from the store); only the latest are kept.
    auto addSeeds(TimePoint now, const std::vector<SeedAddress>& seeds) -> void;

    /// Does everything that is due. Call it at the time of nextWake() at the latest; earlier calls are
    /// harmless.
    auto tick(TimePoint now) -> void;
    auto nextWake() const -> TimePoint;

    /// Handles a request of another node. Its reply comes with takeOutput(), for an indirect probe
    /// after the probe has ended.
    auto onRequest(TimePoint now, std::uint64_t token, const GossipMessage& message) -> void;
    auto onReply(TimePoint now, std::uint64_t requestId, const GossipMessage& message) -> void;
    auto onFailure(TimePoint now, std::uint64_t requestId) -> void;

    /// Returns what has to be sent since the last call.
    auto takeOutput() -> MembershipOutput;

    /// Announces a change of the backend server of this node.
    auto updateSelf(TimePoint now, bool backendUp, int slots, std::uint64_t readySinceMs) -> void;
    /// Announces that this node takes no new calls. It cannot be undone.
    auto leave(TimePoint now) -> void;
    /// Announces the end of this node to a few members. Send the output before the process exits.
    auto depart(TimePoint now) -> void;

    /// Spreads an item that originates at this node. Returns whether it was newer than the known one.
    auto publish(TimePoint now, const VersionedItem& item) -> bool;

    auto self() const -> const Member&;
    /// Returns all known members with this node itself, including the dead ones that are remembered.
    auto members() const -> std::map<NodeId, Member>;
    /// Grows whenever the result of members() changes.
    auto membersVersion() const -> std::uint64_t;
    auto findMember(const NodeId& id) const -> const Member*;
    auto findItem(const std::string& key) const -> std::optional<VersionedItem>;
    auto itemCount() const -> std::size_t;
    /// Returns the number of members that are not dead, with this node.
    auto liveCount() const -> std::size_t;

    /// Returns the higher incarnation under which this node's id is in use by another process, or
    /// nothing. A replaced node announces nothing any more; its process should end.
    auto replacedBy() const -> std::optional<Incarnation>;

    auto stats() const -> MembershipStats;

private:
    class Core;
    std::unique_ptr<Core> core_;
};

} // namespace wagtailhead
