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

/// A member with all its content, as gossip carries it.
struct MemberRecord {
    Member member_;
    /// The member announced its own death; its address is not dialled any more.
    bool departed_ = false;

    auto operator==(const MemberRecord&) const -> bool = default;
};

/// A change of state of a member whose content the receiver is expected to know.
struct MemberNote {
    NodeRef ref_;
    std::uint64_t sequence_ = 0;
    MemberState state_ = MemberState::Alive;

    auto operator==(const MemberNote&) const -> bool = default;
};

/// The existence of an item, without its value.
struct ItemNotice {
    std::string key_;
    std::uint64_t generation_ = 0;

    auto operator==(const ItemNotice&) const -> bool = default;
};

enum class GossipKind : std::uint8_t {
    Probe, ///< Asks whether `target_` is alive.
    IndirectProbe, ///< Asks the receiver to probe `target_` at `probeAddress_` and to report.
    Push, ///< Carries events or requested items.
    SyncDigest, ///< Starts anti-entropy with one hash for each bucket.
    SyncDelta, ///< Second step of anti-entropy: records the receiver lacks, names of those wanted.
    Reply, ///< Answers any of the others.
};

/// One request or reply. Fields that a kind does not use stay empty and cost no bytes.
struct GossipMessage {
    GossipKind kind_ = GossipKind::Probe;
    MemberRecord sender_;
    /// The member for whom the request is meant; empty id when only an address is known.
    NodeRef target_;

    Address probeAddress_; ///< IndirectProbe: the announced address of the target.
    std::string probeZone_; ///< IndirectProbe: the zone of the target.
    bool reached_ = false; ///< Reply to an IndirectProbe: the target answered.

    std::vector<MemberRecord> members_;
    std::vector<MemberNote> notes_;
    std::vector<VersionedItem> items_;
    std::vector<ItemNotice> notices_;
    /// Keys whose values the sender asks for. In a reply, the requester sends them with a Push.
    std::vector<std::string> wantedItems_;
    std::vector<NodeId> wantedMembers_;

    std::vector<std::uint64_t> digest_; ///< SyncDigest: the hash of each bucket, 0 for an empty one.
    std::vector<std::uint64_t> differing_; ///< Reply to SyncDigest: buckets described by the summaries.
    std::vector<MemberNote> memberSummary_; ///< Reply to SyncDigest: all members of `differing_` buckets.
    std::vector<ItemNotice> itemSummary_; ///< Reply to SyncDigest: all items of `differing_` buckets.
    bool more_ = false; ///< Reply to SyncDigest: further buckets differ; the sync should be repeated.

    auto operator==(const GossipMessage&) const -> bool = default;
};

/// Returns the MessagePack form of a message.
auto encodeGossip(const GossipMessage& message) -> std::string;

/// Parses a message. Any malformed input gives an Error.
auto decodeGossip(std::string_view bytes) -> Result<GossipMessage>;

} // namespace wagtailhead
