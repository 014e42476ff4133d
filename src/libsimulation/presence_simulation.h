/// Runs many MembershipProtocol instances on a virtual clock and a virtual network.
#pragma once

#include "wagtailhead/membership.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace wagtailhead {

struct SimulationOptions {
    MembershipOptions membership_;
    /// One-way latency within a region and between regions.
    Duration nearLatency_ = microseconds(500);
    Duration farLatency_ = milliseconds(30);
    /// Each request opens a connection, so its request arrives after this many one-way latencies.
    int connectLatencies_ = 5;
    /// Part of the requests, and of the replies, that are lost.
    double loss_ = 0;
    /// Passes every message through the codec, instead of only measuring it.
    bool roundTrip_ = true;
};

/// Traffic of one node, as bytes of MessagePack.
struct SimulatedTraffic {
    std::uint64_t messages_ = 0; ///< Requests and replies, sent and received.
    std::uint64_t requests_ = 0; ///< Requests, sent and received.
    std::uint64_t bytesSent_ = 0;
    std::uint64_t bytesReceived_ = 0;
};

/// The virtual network. Not thread safe. All randomness comes from the seed.
class PresenceSimulation {
public:
    using NodeIndex = std::size_t;
    /// Runs after every event of a node, for invariants.
    using Observer = std::function<void(NodeIndex)>;
    /// Runs when a node has learnt an item from another one.
    using ItemListener = std::function<void(NodeIndex, const VersionedItem&)>;
    /// Returns whether `from` can reach `to` now.
    using Reachability = std::function<bool(NodeIndex from, NodeIndex to)>;

    PresenceSimulation(SimulationOptions options, std::uint64_t seed);

    /// Adds a node and starts it with these peers.
    auto add(Member self, const std::vector<SeedAddress>& peers) -> NodeIndex;

    /// Runs all events up to `until`, which becomes the current time.
    auto runUntil(TimePoint until) -> void;
    auto runFor(Duration duration) -> void
    {
        runUntil(now_ + duration);
    }
    auto now() const -> TimePoint
    {
        return now_;
    }

    /// Ends a node without notice.
    auto crash(NodeIndex node) -> void;
    /// Replaces a crashed node by one with the same id and address and a higher incarnation.
    auto restart(NodeIndex node, const std::vector<SeedAddress>& peers) -> void;
    /// Stops a node's execution; what arrives waits until it is thawed.
    auto freeze(NodeIndex node) -> void;
    auto thaw(NodeIndex node) -> void;
    auto setReachability(Reachability reachability) -> void;
    auto setLoss(double loss) -> void;
    auto setObserver(Observer observer) -> void;
    auto setItemListener(ItemListener listener) -> void;

    /// Runs a call on a node's protocol and sends what it puts out.
    auto with(NodeIndex node, const std::function<void(MembershipProtocol&, TimePoint)>& call) -> void;

    auto size() const -> std::size_t
    {
        return nodes_.size();
    }
    auto isRunning(NodeIndex node) const -> bool
    {
        return nodes_[node].protocol_ != nullptr;
    }
    auto isFrozen(NodeIndex node) const -> bool
    {
        return nodes_[node].frozen_;
    }
    /// Precondition: isRunning(node).
    auto protocol(NodeIndex node) const -> const MembershipProtocol&
    {
        return *nodes_[node].protocol_;
    }
    auto traffic(NodeIndex node) const -> const SimulatedTraffic&
    {
        return nodes_[node].traffic_;
    }

private:
    enum class EventKind : std::uint8_t {
        Wake,
        Request,
        Reply,
        Timeout,
    };

    struct Event {
        TimePoint at_;
        std::uint64_t order_ = 0;
        EventKind kind_ = EventKind::Wake;
        NodeIndex node_ = 0;
        std::uint64_t run_ = 0; ///< Events of an earlier run of the node are dropped.
        std::uint64_t id_ = 0; ///< Request id or reply token.
        std::shared_ptr<const GossipMessage> message_;

        auto operator<(const Event& other) const -> bool
        {
            return std::pair(at_, order_) > std::pair(other.at_, other.order_);
        }
    };

    /// Where the reply to a delivered request goes.
    struct ReplyPath {
        NodeIndex from_ = 0;
        std::uint64_t run_ = 0;
        std::uint64_t requestId_ = 0;
    };

    struct Node {
        Member self_;
        std::unique_ptr<MembershipProtocol> protocol_;
        std::uint64_t run_ = 0;
        bool frozen_ = false;
        TimePoint wakeAt_ = TimePoint::max();
        std::vector<Event> backlog_;
        SimulatedTraffic traffic_;
    };

    auto start(NodeIndex node, const std::vector<SeedAddress>& peers) -> void;
    auto schedule(Event event) -> void;
    auto handle(const Event& event) -> void;
    auto flush(NodeIndex node) -> void;
    auto sendRequest(NodeIndex from, GossipRequest request) -> void;
    auto sendReply(NodeIndex from, GossipReply reply) -> void;
    auto pass(const GossipMessage& message, NodeIndex from) -> std::shared_ptr<const GossipMessage>;
    auto latency(NodeIndex from, NodeIndex to) const -> Duration;
    auto isLost() -> bool;

    SimulationOptions options_;
    std::mt19937_64 random_;
    TimePoint now_ { std::chrono::hours(1) };
    std::vector<Node> nodes_;
    std::map<Address, NodeIndex> byAddress_;
    std::priority_queue<Event> events_;
    std::map<std::uint64_t, ReplyPath> replyPaths_;
    std::size_t lastBytes_ = 0;
    std::uint64_t nextOrder_ = 1;
    std::uint64_t nextToken_ = 1;
    Reachability reachability_;
    Observer observer_;
    ItemListener itemListener_;
};

/// Returns a member for simulations: number `index`, in `zone` and `region`, with distinct addresses.
auto simulatedMember(std::size_t index, std::string zone, std::string region, std::string service) -> Member;

} // namespace wagtailhead
