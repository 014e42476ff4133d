/// Brings what the store holds to the nodes of a zone.
///
/// Up to two nodes of a zone hold a lease `leases/<zone>/<n>`. Each holder keeps one watch and puts what
/// it sees into the item table, from which gossip spreads it. All other nodes make no periodic call: they
/// learn from the gossiped items `agents/<zone>/<n>` who holds the leases, and only the nodes with the
/// lowest rendezvous ranks of the zone try to get a lease whose holder is gone.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/lease.h"
#include "wagtailhead/member.h"
#include "wagtailhead/membership.h"
#include "wagtailhead/store_client.h"
#include "wagtailhead/versioned_items.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace wagtailhead {

struct StoreAgentOptions {
    NodeRef self_;
    std::string zone_;
    std::uint64_t seed_ = 0;
    /// Leases of a zone, and so nodes that hold a watch.
    int leases_ = 2;
    /// Nodes of a zone that try to get a free lease.
    int candidates_ = 3;
    /// A candidate of rank r waits r times this before it tries, plus jitter.
    Duration rankDelay_ = milliseconds(500);
    /// Life, renewal and retries; key and holder are filled in.
    LeaseOptions lease_;
    /// How long the store holds a watch without changes. It bounds how late a silent connection is
    /// noticed.
    Duration watchWait_ = seconds(10);
    /// A watch starts over from version 0 this often, for changes that were missed when the store was
    /// rolled back and had passed the last seen version again.
    Duration resyncInterval_ = std::chrono::minutes(10);
    /// Addresses in `seeds/<zone>`.
    std::size_t seedCount_ = 5;
    Duration seedCheckInterval_ = seconds(10);
    /// Bounds of the growing pause after failed calls.
    Duration retryMin_ = milliseconds(500);
    Duration retryMax_ = seconds(15);
};

/// Counters for dumps and metrics.
struct StoreAgentStats {
    /// The number of the lease that this node holds, or nothing.
    std::optional<int> heldLease_;
    StoreVersion lastVersion_ = 0;
    std::uint64_t leasesAcquired_ = 0;
    std::uint64_t leasesLost_ = 0;
    std::uint64_t itemsApplied_ = 0;
    /// Objects whose generation was lower than the known one; they were not applied.
    std::uint64_t itemsRefused_ = 0;
    std::uint64_t rollbacksSeen_ = 0;
    std::uint64_t seedsWritten_ = 0;
};

/// Returns the generation of an object of the store as an item: "generation" of `config/`, "epoch" of
/// `shards/`; nothing if the value has none or the key is of another kind.
auto storeItemGeneration(const StoreObject& object) -> std::optional<std::uint64_t>;

/// Returns the addresses of an object `seeds/<zone>`; none if it is malformed.
auto parseSeeds(const StoreObject& object) -> std::vector<SeedAddress>;

/// The decisions of a store agent, without I/O. Not thread safe.
class StoreAgentLogic {
public:
    struct Call {
        std::uint64_t id_ = 0;
        StoreCommand command_;
    };

    /// Reads `members` and `items`; applies what the store holds and who holds leases to `items`.
    StoreAgentLogic(StoreAgentOptions options, const MemberTable& members, ItemTable& items);
    ~StoreAgentLogic();
    StoreAgentLogic(StoreAgentLogic&&) noexcept;
    auto operator=(StoreAgentLogic&&) noexcept -> StoreAgentLogic&;

    /// Returns the calls that are due. Call it every few hundred milliseconds and after each answer.
    auto tick(TimePoint now) -> std::vector<Call>;
    auto onAnswer(TimePoint now, std::uint64_t id, const StoreAnswer& answer) -> void;
    /// Gives up a held lease; the node is no candidate any more.
    auto release(TimePoint now) -> void;
    /// Returns whether nothing remains to be done after release().
    auto isIdle() const -> bool;
    /// Returns the number of the lease under which this node may act now, or nothing.
    auto heldLease(TimePoint now) const -> std::optional<int>;
    /// Returns addresses of other nodes that were read from the store since the last call.
    auto takeSeeds() -> std::vector<SeedAddress>;
    auto stats() const -> StoreAgentStats;

private:
    class Core;
    std::unique_ptr<Core> core_;
};

/// Runs StoreAgentLogic on a StoreClient and an Asio timer. Thread safe.
class StoreAgent {
public:
    /// Runs in a thread of the context; usually PresenceService::addSeeds.
    using SeedListener = std::function<void(std::vector<SeedAddress>)>;

    /// Starts at once. The context, the store client and both tables must outlive the agent and its
    /// calls.
    static auto create(asio::io_context& context, StoreClient& store, StoreAgentOptions options,
        const MemberTable& members, ItemTable& items, SeedListener onSeeds) -> std::unique_ptr<StoreAgent>;

    virtual ~StoreAgent() = default;

    /// Gives up a held lease before the node ends; `done` runs in a thread of the context.
    virtual auto release(std::function<void()> done) -> void = 0;
    virtual auto stats() const -> StoreAgentStats = 0;
};

} // namespace wagtailhead
