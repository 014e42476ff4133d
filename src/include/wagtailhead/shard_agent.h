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
    Renew, ///< This node owns the shard, and a witness is gone, missing or silent.
    Resume, ///< This node owns the shard by the map, but its epoch is not active here.
    Balance,
};

/// Returns "create", "owner-gone", "renew", "resume" or "balance".
auto takeoverReasonName(TakeoverReason reason) -> const char*;

struct TakeoverPlan {
    std::string service_;
    std::string shard_;
    std::uint64_t basis_ = 0; ///< The epoch in which the need was seen; 0 if there is no record.
    TakeoverReason reason_ = TakeoverReason::Create;
    std::set<NodeRef> avoid_ = {}; ///< Silent witnesses.
};

/// What the agent looks at.
struct AgentView {
    const MemberList& members_;
    const Member& self_;
    /// Names of all shards of the own service; empty while the service has no `once` operation.
    const std::vector<std::string>& shards_;
    const std::vector<ShardRecord>& records_; ///< All known records of the own service.
    const std::vector<OwnedShardInfo>& owned_;
};

struct ShardAgentOptions {
    std::size_t maxInFlight_ = 4; ///< Takeovers of this node under way at the same time.
    Duration jitter_ = milliseconds(300); ///< A need waits up to this long before it is acted upon.
    /// Candidates act in the order of their rank, this much apart: views of the membership differ, and a
    /// candidate needs some 100 ms for a takeover.
    Duration rankDelay_ = milliseconds(1500);
    Duration retryDelay_ = milliseconds(500); ///< After a takeover that stopped; doubles up to the longest.
    Duration longestRetryDelay_ = seconds(10);
    /// A node that has just started may not know shards that exist, and waits before it creates one.
    Duration creationDelay_ = seconds(3);
    Duration balanceInterval_ = seconds(5);
    /// An epoch that the map gives to this node is resumed only after this: another node may be about to
    /// take the shard over.
    Duration resumeDelay_ = seconds(1);
    /// An owner that this node has never heard of may only be new to it.
    Duration unknownOwnerDelay_ = seconds(3);
    /// Witnesses are moved to better zones, or added, after this.
    Duration placementDelay_ = seconds(3);
    /// A witness that did not answer is not chosen again within this time.
    Duration silenceMemory_ = seconds(10);
};

/// The periodic decision. Not thread safe.
class ShardAgent {
public:
    ShardAgent(TimePoint startedAt, std::uint64_t seed, ShardAgentOptions options = {});

    /// Returns the takeovers to start now; each counts as in flight until onEnded(). Call it about every
    /// 100 ms.
    auto decide(const AgentView& view, TimePoint now) -> std::vector<TakeoverPlan>;

    /// Reports that a takeover ended; `activated` tells how.
    auto onEnded(const std::string& service, const std::string& shard, bool activated, TimePoint now) -> void;

    /// Reports that a witness of an owned shard does not answer. It is replaced even if the membership
    /// still holds it for alive.
    auto onSilentWitness(const NodeRef& witness, const ShardRef& shard, TimePoint now) -> void;

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
    auto ownNeed(const ShardRecord& record, const AgentView& view, TimePoint now) const
        -> std::optional<Need>;
    auto update(const std::string& shard, const std::optional<Need>& need, TimePoint now) -> void;
    auto isDue(const std::string& shard, TimePoint now) const -> bool;
    auto isSilent(const std::string& shard, const NodeRef& witness, TimePoint now) const -> bool;
    auto silentWitnesses(const std::string& shard, TimePoint now) const -> std::set<NodeRef>;
    auto balance(const AgentView& view, TimePoint now) -> std::optional<TakeoverPlan>;
    auto jitter() -> Duration;

    const TimePoint startedAt_;
    const ShardAgentOptions options_;
    std::mt19937_64 random_;
    std::map<std::string, Need> needs_; ///< By shard.
    std::map<std::string, Retry> retries_;
    std::set<std::string> inFlight_;
    std::map<std::string, std::map<NodeRef, TimePoint>> silent_; ///< Last report, by shard.
    TimePoint nextBalance_;
};

} // namespace wagtailhead
