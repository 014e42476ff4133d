/// The messages that nodes exchange about membership and versioned items.
#pragma once

#include "wagtailhead/member.h"
#include "wagtailhead/result.h"
#include "wagtailhead/versioned_items.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

/// The complete record of a member, as carried by gossip.
struct MemberRecord {
    Member member_;
    /// The member announced its own departure, so its address is not dialled any more.
    bool departed_ = false;

    auto operator==(const MemberRecord&) const -> bool = default;
};

/// The state of a member, without its record, which the receiver is expected to have.
struct MemberStatus {
    NodeRef ref_;
    std::uint64_t sequence_ = 0;
    MemberState state_ = MemberState::Alive;

    auto operator==(const MemberStatus&) const -> bool = default;
};

/// The latest generation of an item, without its value.
struct ItemVersion {
    std::string key_;
    std::uint64_t generation_ = 0;

    auto operator==(const ItemVersion&) const -> bool = default;
};

enum class GossipKind : std::uint8_t {
    Probe, ///< Checks whether `target_` is alive.
    IndirectProbe, ///< Requests that the receiver probe `target_` at `probeAddress_` and report the result.
    Push, ///< Carries events or requested items.
    SyncDigest, ///< Starts anti-entropy with one hash for each bucket.
    SyncDelta, ///< Second step of anti-entropy: records that the receiver lacks, ids of those requested.
    Reply, ///< Reply to a request of any other kind.
};

/// One request or reply. Fields that a kind does not use stay empty and are not encoded.
struct GossipMessage {
    GossipKind kind_ = GossipKind::Probe;
    MemberRecord sender_;
    /// The member that the request is addressed to. The id is empty if only an address is available.
    NodeRef target_;

    Address probeAddress_; ///< IndirectProbe: the announced address of the target.
    std::string probeZone_; ///< IndirectProbe: the zone of the target.
    bool reached_ = false; ///< Reply to an IndirectProbe: the target replied.

    std::vector<MemberRecord> members_;
    std::vector<MemberStatus> statuses_;
    std::vector<VersionedItem> items_;
    std::vector<ItemVersion> itemVersions_;
    /// Keys whose values the sender requests. If they are in a reply, the requester sends the values in a
    /// Push.
    std::vector<std::string> wantedItems_;
    std::vector<NodeId> wantedMembers_;

    std::vector<std::uint64_t> digest_; ///< SyncDigest: the hash of each bucket, 0 for an empty one.
    std::vector<std::uint64_t> differing_; ///< Reply to SyncDigest: buckets that the summaries cover.
    std::vector<MemberStatus> memberSummary_; ///< Reply to SyncDigest: all members of `differing_` buckets.
    std::vector<ItemVersion> itemSummary_; ///< Reply to SyncDigest: all items of `differing_` buckets.
    bool more_ = false; ///< Reply to SyncDigest: further buckets differ, so the sync must be continued.

    auto operator==(const GossipMessage&) const -> bool = default;
};

/// Returns the MessagePack encoding of a message.
auto encodeGossip(const GossipMessage& message) -> std::string;

/// Parses a message. Returns an Error for any malformed input.
auto decodeGossip(std::string_view bytes) -> Result<GossipMessage>;

} // namespace wagtailhead
