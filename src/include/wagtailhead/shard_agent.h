/// Decides which takeovers this node starts, and when.
#pragma once

#include "wagtailhead/ledger.h"
#include "wagtailhead/member.h"
#include "wagtailhead/shard_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace wagtailhead {

enum class TakeoverReason : std::uint8_t {
    Create, ///< The shard has no record yet.
    OwnerGone, ///< The owner is dead, replaced, leaving or without a backend server.
    Renew, ///< This node owns the shard, and a witness is dead, missing or unresponsive.
    Resume, ///< The map names this node as the owner, but the epoch is not active here.
    Balance, ///< This node owns fewer shards than its fair share.
};

/// Returns "create", "owner-gone", "renew", "resume" or "balance".
auto takeoverReasonName(TakeoverReason reason) -> const char*;

struct TakeoverPlan {
    std::string service_;
    std::string shard_;
    std::uint64_t basis_ = 0; ///< The epoch that the takeover replaces; 0 if there is no record.
    TakeoverReason reason_ = TakeoverReason::Create;
    std::set<NodeRef> avoid_ = {}; ///< Unresponsive witnesses.
};

/// The input of the agent's decision.
struct AgentView {
    const MemberList& members_;
    const Member& self_;
    /// Names of all shards of this node's service; empty while the service has no `once` operation.
    const std::vector<std::string>& shards_;
    const std::vector<ShardRecord>& records_; ///< All records of this node's service in the map.
    const std::vector<OwnedShardInfo>& owned_;
};

struct ShardAgentOptions {
    std::size_t maxInFlight_ = 4; ///< Concurrent takeovers of this node.
    Duration jitter_ = milliseconds(300); ///< Random delay before a takeover starts, up to this long.
    /// Candidates start in the order of their rank, this much apart: the membership views of nodes differ,
    /// and a takeover takes about 100 ms.
    Duration rankDelay_ = milliseconds(1500);
    Duration retryDelay_ = milliseconds(500); ///< After a takeover that stopped; doubles up to the longest.
    Duration longestRetryDelay_ = seconds(10);
    /// A node that has just started may not have received the records of existing shards, and waits this long
    /// before it creates a shard.
    Duration creationDelay_ = seconds(3);
    Duration balanceInterval_ = seconds(5);
    /// Delay before resuming an epoch whose owner in the map is this node: another node may be about to take
    /// the shard over.
    Duration resumeDelay_ = seconds(1);
    /// Delay before taking a shard over from an owner that is not in the membership: this node may not have
    /// received its entry yet.
    Duration unknownOwnerDelay_ = seconds(3);
    /// Delay before witnesses are moved to better zones or added.
    Duration placementDelay_ = seconds(3);
    /// An unresponsive witness is not chosen again within this time.
    Duration unresponsiveRetention_ = seconds(10);
};

/// Decides periodically which takeovers this node starts. Not thread safe.
class ShardAgent {
public:
    ShardAgent(TimePoint startedAt, std::uint64_t seed, ShardAgentOptions options = {});

    /// Returns the takeovers to start now; each counts as in flight until onEnded(). Call it about every
    /// 100 ms.
    auto decide(const AgentView& view, TimePoint now) -> std::vector<TakeoverPlan>;

    /// Reports that a takeover ended; `activated` is true if its epoch was activated.
    auto onEnded(const std::string& service, const std::string& shard, bool activated, TimePoint now) -> void;

    /// Reports that a witness of an owned shard is unresponsive. It is replaced even if the membership still
    /// reports it as alive.
    auto onUnresponsiveWitness(const NodeRef& witness, const ShardRef& shard, TimePoint now) -> void;

    auto inFlight() const -> std::size_t;

private:
    struct Need {
        TakeoverReason reason_ = TakeoverReason::Create;
        std::uint64_t basis_ = 0;
        Duration delay_ = Duration::zero();
        TimePoint notBefore_;
    };

    struct Retry {
        int failures_ = 0;
        TimePoint notBefore_;
    };

    auto needOf(const std::string& shard, const ShardRecord* record, const AgentView& view,
        TimePoint now) const -> std::optional<Need>;
    auto needOfOwnedShard(const ShardRecord& record, const AgentView& view, TimePoint now) const
        -> std::optional<Need>;
    auto update(const std::string& shard, const std::optional<Need>& need, TimePoint now) -> void;
    auto isDue(const std::string& shard, TimePoint now) const -> bool;
    auto isUnresponsive(const std::string& shard, const NodeRef& witness, TimePoint now) const -> bool;
    auto unresponsiveWitnesses(const std::string& shard, TimePoint now) const -> std::set<NodeRef>;
    auto balance(const AgentView& view, TimePoint now) -> std::optional<TakeoverPlan>;
    auto jitter() -> Duration;

    const TimePoint startedAt_;
    const ShardAgentOptions options_;
    std::mt19937_64 random_;
    std::map<std::string, Need> needs_; ///< By shard.
    std::map<std::string, Retry> retries_;
    std::set<std::string> inFlight_;
    std::map<std::string, std::map<NodeRef, TimePoint>> unresponsive_; ///< Last report, by shard.
    TimePoint nextBalance_;
};

} // namespace wagtailhead
