/// Which shard a key belongs to, and which nodes own and witness a shard.
#pragma once

#include "wagtailhead/ids.h"
#include "wagtailhead/member.h"
#include "wagtailhead/messages.h"
#include "wagtailhead/result.h"
#include "wagtailhead/versioned_items.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

/// Numbers of shards of a service. They must never change: a key would move to another shard.
constexpr std::uint64_t globalShardCount = 16;
constexpr std::uint64_t regionShardCount = 8; ///< For each region.
constexpr std::uint64_t zoneShardCount = 2; ///< For each zone.

constexpr std::size_t witnessCount = 2;

/// The regions and their zones, from the `links` configuration.
using Topology = std::map<std::string, std::set<std::string>>;

/// Returns the shard of a key: `g/<n>`, `r/<region>/<n>` or `z/<zone>/<n>`. A prefix that is no known
/// region or zone belongs to the plain key. A region wins over a zone of the same name.
auto shardOfKey(std::string_view key, const Topology& topology) -> std::string;

/// Returns the names of all shards that a service has.
auto allShards(const Topology& topology) -> std::vector<std::string>;

enum class ShardScope : std::uint8_t {
    Global,
    Region,
    Zone,
};

/// A shard name taken apart. `place_` is the region or zone, empty for a global shard.
struct ShardName {
    ShardScope scope_ = ShardScope::Global;
    std::string place_;
    std::uint64_t number_ = 0;
};

auto parseShardName(std::string_view text) -> Result<ShardName>;

/// The document `shards/<service>/<shard>` of the store.
struct ShardRecord {
    std::string service_;
    std::string shard_;
    std::uint64_t epoch_ = 0;
    NodeRef owner_;
    std::vector<NodeRef> witnesses_; ///< Up to `witnessCount`, none equal to the owner or each other.
    /// If not 0, members of an earlier epoch were declared lost: only keys that carry a later issue time
    /// (milliseconds since the Unix epoch) may run.
    std::uint64_t issuedAfterMs_ = 0;

    auto operator<=>(const ShardRecord&) const = default; // NOLINT(modernize-use-nullptr): false finding
    auto members() const -> EpochMembers;
    auto ref() const -> ShardRef;
};

/// Parses the JSON document. The error names the field, its value and what is allowed.
auto parseShardRecord(std::string_view json) -> Result<ShardRecord>;
auto formatShardRecord(const ShardRecord& record) -> std::string;

/// Returns `shards/<service>/<shard>`.
auto shardObjectKey(const std::string& service, const std::string& shard) -> std::string;

/// Returns the record as an item for gossip.
auto shardItem(const ShardRecord& record) -> VersionedItem;

/// The shard records known to this node; for each shard only the highest epoch seen. Thread safe.
class ShardMap {
public:
    /// Takes a record in if its epoch is higher than the known one. Returns whether it was.
    auto apply(const ShardRecord& record) -> bool;

    /// Takes an item `shards/<service>/<shard>` in. A malformed item or one whose key or generation
    /// contradicts the document is an error and changes nothing.
    auto applyItem(const VersionedItem& item) -> Result<bool>;

    auto find(const std::string& service, const std::string& shard) const -> std::optional<ShardRecord>;

    /// Returns all records of a service, or of all services if it is empty.
    auto list(const std::string& service = {}) const -> std::vector<ShardRecord>;

private:
    mutable std::mutex mutex_;
    std::map<std::pair<std::string, std::string>, ShardRecord> records_;
};

/// Returns whether a member may keep the shards that it owns: alive or suspect, with its backend server
/// up.
auto canOwn(const Member& member) -> bool;

/// Returns whether a member may go on serving as a witness: alive or suspect.
auto canWitness(const Member& member) -> bool;

/// Returns the members that may take the shard over, best first (rendezvous hash over the alive members
/// with their backend server up). Global shards may be owned by any node of the service, the others by
/// nodes of their region or zone, unless it has no backend server of the service. Empty for a malformed
/// name.
auto rankCandidates(const std::string& service, const std::string& shard, const MemberList& members)
    -> std::vector<const Member*>;

/// Returns the witnesses for a shard owned by `owner`, at most `witnessCount`. Global and region shards
/// get one in the owner's zone and one in another zone of its region, zone shards get both in the zone;
/// if one kind is missing, the other fills up. Nodes in `avoid` are left out.
auto placeWitnesses(const std::string& service, const std::string& shard, const Member& owner,
    const MemberList& members, const std::set<NodeRef>& avoid = {}) -> std::vector<NodeRef>;

/// Returns a shard of its service that `self` should take over for balance, or nothing. A node below its
/// fair share (shards over candidates, rounded down) takes one from the owner with most shards among
/// those that own at least two more than itself. `records` are all records of the service.
auto shardToBalance(const std::vector<ShardRecord>& records, const Member& self, const MemberList& members)
    -> std::optional<ShardRecord>;

} // namespace wagtailhead
