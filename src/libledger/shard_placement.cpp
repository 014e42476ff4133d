#include "wagtailhead/shard_map.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Rendezvous weight of a node for a shard. The incarnation is left out: a restart moves nothing.
auto weight(const std::string& service, const std::string& shard, const NodeId& node) -> std::uint64_t
{
    return stableHash(node, stableHash(service + "/" + shard));
}

auto isInPlace(const Member& member, const ShardName& name) -> bool
{
    switch (name.scope_) {
    case ShardScope::Global:
        return true;
    case ShardScope::Region:
        return member.region_ == name.place_;
    case ShardScope::Zone:
        return member.zone_ == name.place_;
    }
    return false;
}

auto sortByWeight(std::vector<const Member*>& members, const std::string& service, const std::string& shard)
    -> void
{
    std::sort(members.begin(), members.end(), [&](const Member* left, const Member* right) {
        const auto leftWeight = weight(service, shard, left->ref_.id_);
        const auto rightWeight = weight(service, shard, right->ref_.id_);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left->ref_.id_ < right->ref_.id_;
    });
}

/// Takes one witness of each kind in turn, then fills up with what is left.
auto pickWitnesses(std::vector<const Member*> sameZone, std::vector<const Member*> otherZone)
    -> std::vector<NodeRef>
{
    std::vector<const Member*> order;
    for (std::size_t rank = 0; rank < std::max(sameZone.size(), otherZone.size()); ++rank) {
        if (rank < sameZone.size()) {
            order.push_back(sameZone[rank]);
        }
        if (rank < otherZone.size()) {
            order.push_back(otherZone[rank]);
        }
    }
    std::vector<NodeRef> witnesses;
    for (const auto* member : order) {
        if (witnesses.size() < witnessCount) {
            witnesses.push_back(member->ref_);
        }
    }
    return witnesses;
}

} // namespace

auto canOwn(const Member& member) -> bool
{
    return canWitness(member) && member.backendUp_;
}

auto canWitness(const Member& member) -> bool
{
    return member.state_ == MemberState::Alive || member.state_ == MemberState::Suspect;
}

auto rankCandidates(const std::string& service, const std::string& shard, const MemberList& members)
    -> std::vector<const Member*>
{
    const auto name = parseShardName(shard);
    const auto ofService = members.byService_.find(service);
    std::vector<const Member*> candidates;
    if (!isOk(name) || ofService == members.byService_.end()) {
        return candidates;
    }
    // A region or zone without any backend server of the service is served from elsewhere; its keys would
    // have no owner at all otherwise. A takeover is safe whoever starts it.
    const bool placeServed
        = std::any_of(ofService->second.begin(), ofService->second.end(), [&](const Member* member) {
              return canOwn(*member) && isInPlace(*member, valueOf(name));
          });
    for (const auto* member : ofService->second) {
        const bool eligible = !placeServed || isInPlace(*member, valueOf(name));
        if (member->state_ == MemberState::Alive && member->backendUp_ && eligible) {
            candidates.push_back(member);
        }
    }
    sortByWeight(candidates, service, shard);
    return candidates;
}

auto placeWitnesses(const std::string& service, const std::string& shard, const Member& owner,
    const MemberList& members, const std::set<NodeRef>& avoid) -> std::vector<NodeRef>
{
    const auto name = parseShardName(shard);
    if (!isOk(name)) {
        return {};
    }
    std::vector<const Member*> sameZone;
    std::vector<const Member*> otherZone;
    for (const auto& [id, member] : members.members_) {
        if (member.state_ != MemberState::Alive || id == owner.ref_.id_ || avoid.contains(member.ref_)
            || member.region_ != owner.region_) {
            continue;
        }
        (member.zone_ == owner.zone_ ? sameZone : otherZone).push_back(&member);
    }
    if (valueOf(name).scope_ == ShardScope::Zone) {
        otherZone.clear();
    }
    sortByWeight(sameZone, service, shard);
    sortByWeight(otherZone, service, shard);
    return pickWitnesses(std::move(sameZone), std::move(otherZone));
}

auto shardToBalance(const std::vector<ShardRecord>& records, const Member& self, const MemberList& members)
    -> std::optional<ShardRecord>
{
    const auto ofService = members.byService_.find(self.service_);
    if (ofService == members.byService_.end() || self.state_ != MemberState::Alive || !self.backendUp_) {
        return std::nullopt;
    }
    std::map<NodeRef, std::size_t> owned;
    for (const auto* member : ofService->second) {
        if (canOwn(*member)) {
            owned[member->ref_] = 0;
        }
    }
    for (const auto& record : records) {
        const auto owner = owned.find(record.owner_);
        if (owner != owned.end()) {
            ++owner->second;
        }
    }
    const auto mine = owned[self.ref_];
    if (mine >= records.size() / owned.size()) {
        return std::nullopt;
    }
    const ShardRecord* best = nullptr;
    for (const auto& record : records) {
        const auto owner = owned.find(record.owner_);
        const auto name = parseShardName(record.shard_);
        if (owner == owned.end() || owner->second < mine + 2 || !isOk(name)
            || !isInPlace(self, valueOf(name))) {
            continue;
        }
        if (!best || owner->second > owned[best->owner_]) {
            best = &record;
        }
    }
    return best ? std::optional(*best) : std::nullopt;
}

} // namespace wagtailhead
