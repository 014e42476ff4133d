/// Implementation of MembershipProtocol: merging updates, probing, dissemination and anti-entropy.
#pragma once

#include "broadcast_queue.h"
#include "bucket_digest.h"
#include "item_store.h"
#include "member_sampler.h"
#include "member_store.h"
#include "rejoin_list.h"
#include "wagtailhead/membership.h"

#include <map>
#include <random>

namespace wagtailhead {

class MembershipProtocol::Core {
public:
    Core(Member self, MembershipOptions options, std::uint64_t seed, TimePoint now);

    // Entry points; see MembershipProtocol.
    auto addPeers(TimePoint now, const std::vector<SeedAddress>& peers) -> void;
    auto addSeeds(TimePoint now, const std::vector<SeedAddress>& seeds) -> void;
    auto tick(TimePoint now) -> void;
    auto nextWake() const -> TimePoint;
    auto onRequest(TimePoint now, std::uint64_t token, const GossipMessage& message) -> void;
    auto onReply(TimePoint now, std::uint64_t requestId, const GossipMessage& message) -> void;
    auto onFailure(TimePoint now, std::uint64_t requestId) -> void;
    auto updateSelf(TimePoint now, bool backendUp, int slots, std::uint64_t readySinceMs) -> void;
    auto leave(TimePoint now) -> void;
    auto depart(TimePoint now) -> void;
    auto publish(TimePoint now, const VersionedItem& item) -> bool;

    MembershipOptions options_;
    MemberRecord self_;
    BucketDigest digest_;
    MemberStore members_ { digest_ };
    ItemStore items_ { digest_ };
    MembershipOutput output_;
    MembershipStats stats_;
    BroadcastQueue events_;
    std::optional<Incarnation> replacedBy_;

private:
    /// The purpose of an outstanding request.
    enum class Purpose : std::uint8_t {
        DirectProbe,
        IndirectProbe,
        RelayedProbe, ///< On behalf of another node's IndirectProbe.
        Recheck, ///< Probes a member that this node suspects, so that it can refute the suspicion.
        Push,
        Sync,
        SyncDelta,
    };

    /// How an update was received, which determines how often this node sends it on.
    enum class UpdateSource : std::uint8_t {
        Gossip, ///< A recent update; sent on the full number of times.
        Sync, ///< Possibly old; sent on a few times, anti-entropy propagates it further.
        Join, ///< Received while joining; the other members have it already.
    };

    struct OutstandingRequest {
        Purpose purpose_ = Purpose::Push;
        SeedAddress to_;
        NodeRef target_;
        /// The id of the probe, the token of the relayed request, or the number of the sync step.
        std::uint64_t reference_ = 0;
        TimePoint sentAt_;
        Duration timeout_ {};
        bool more_ = false; ///< Further buckets remain to be synchronised with this member.
    };

    struct Probe {
        NodeRef target_;
        int outstanding_ = 0;
        bool indirect_ = false;
    };

    /// The next step of a synchronisation that did not fit into one exchange.
    struct NextStep {
        SeedAddress to_;
        NodeRef target_;
        std::uint64_t step_ = 0;
        TimePoint at_;
    };

    struct ItemRequest {
        std::uint64_t generation_ = 0;
        TimePoint expires_;
    };

    // Messages and requests (membership_core.cpp).
    auto detectPause(TimePoint now) -> void;
    auto makeMessage(GossipKind kind, NodeRef target) const -> GossipMessage;
    auto send(TimePoint now, OutstandingRequest pending, GossipMessage message) -> void;
    auto sendReply(std::uint64_t token, GossipMessage message) -> void;
    auto isStale(const GossipMessage& message) const -> bool;
    auto mergeMessage(TimePoint now, const GossipMessage& message, UpdateSource source) -> void;
    auto addRequestedRecords(const GossipMessage& message, GossipMessage& answer) const -> void;
    auto requestAnnouncedItems(
        TimePoint now, const std::vector<ItemVersion>& itemVersions, GossipMessage& message) -> void;
    auto addressOf(const NodeId& id) const -> SeedAddress;
    auto isLiveAddress(const SeedAddress& address) const -> bool;
    auto onRequestFailed(TimePoint now, const OutstandingRequest& pending) -> void;
    auto sendFollowUp(TimePoint now, const OutstandingRequest& pending, const GossipMessage& message) -> void;
    auto liveCount() const -> std::size_t;

    // Events (membership_events.cpp).
    auto announceMember(const NodeId& id) -> void;
    auto announceItem(const std::string& key) -> void;
    auto sendLimit() const -> int;
    auto fillEvents(GossipMessage& message) -> void;
    auto pushIfUrgent(TimePoint now) -> void;
    auto announceSelfChange(TimePoint now) -> void;
    auto toggleSelfInDigest() -> void;

    // Updates about members (membership_apply.cpp).
    auto applyRecord(TimePoint now, const MemberRecord& record) -> void;
    auto applyStatus(TimePoint now, const MemberStatus& status) -> void;
    auto applyStatusOfSelf(TimePoint now, const MemberStatus& status) -> void;
    auto applyState(TimePoint now, MemberEntry& entry, MemberState state) -> void;
    auto storeRecord(TimePoint now, const MemberRecord& record) -> void;
    auto suspect(TimePoint now, MemberEntry& entry, bool locallyDetected) -> void;
    auto declareDead(TimePoint now, MemberEntry& entry) -> void;
    auto scheduleDeathVerification(const MemberStatus& status) -> void;
    auto restartSuspicionTimeouts(TimePoint now) -> void;
    auto runMemberTimers(TimePoint now) -> void;

    // Probing (membership_probing.cpp).
    auto runProbes(TimePoint now) -> void;
    auto startProbe(TimePoint now, const NodeId& id, const std::optional<MemberStatus>& reportedDeath)
        -> void;
    auto sendProbe(
        TimePoint now, OutstandingRequest pending, const std::optional<MemberStatus>& reportedDeath) -> void;
    auto recheck(TimePoint now, const MemberEntry& entry) -> void;
    auto probeSucceeded(std::uint64_t probeId) -> void;
    auto probeFailed(TimePoint now, std::uint64_t probeId) -> void;
    auto probeIndirectly(TimePoint now, std::uint64_t probeId, Probe& probe) -> void;
    auto relayProbe(TimePoint now, std::uint64_t token, const GossipMessage& message) -> void;
    auto replyToRelayedProbe(const OutstandingRequest& pending, bool reached) -> void;

    // Anti-entropy and joining (membership_sync.cpp).
    auto runSync(TimePoint now) -> void;
    auto runDial(TimePoint now) -> void;
    auto startSync(TimePoint now, SeedAddress to, NodeRef target, std::uint64_t step) -> void;
    auto continueSync(TimePoint now, SeedAddress to, NodeRef target, std::uint64_t step) -> void;
    auto runNextStep(TimePoint now) -> void;
    auto describeBuckets(const GossipMessage& request, GossipMessage& answer) -> void;
    auto compareSummaries(TimePoint now, const OutstandingRequest& pending, const GossipMessage& message)
        -> void;

    std::mt19937_64 random_;
    MemberSampler sampler_;
    RejoinList rejoin_;
    std::map<std::uint64_t, OutstandingRequest> outstandingRequests_;
    std::map<std::uint64_t, Probe> probes_;
    std::map<std::string, ItemRequest> itemRequests_;
    /// Deaths reported by other nodes for members that are alive here. The member is probed with the report,
    /// so that it can refute it.
    std::map<NodeId, MemberStatus> reportedDeaths_;
    std::uint64_t nextId_ = 1;
    TimePoint lastCall_;
    TimePoint nextProbe_;
    TimePoint nextSync_;
    TimePoint nextDial_;
    Duration syncBackoff_;
    std::optional<NextStep> nextStep_;
    bool joined_ = false;
    UpdateSource updateSource_ = UpdateSource::Gossip;
    bool urgentPushDue_ = false;
    /// The sender of the latest urgent update; the push is not sent back to it.
    NodeId urgentUpdateSender_;
    double pushTokens_ = 0;
    TimePoint pushTokensAt_;
};

/// Estimates of encoded sizes, accurate to a few bytes.
auto estimateBytes(const MemberRecord& record) -> std::size_t;
auto estimateBytes(const MemberStatus& status) -> std::size_t;
auto estimateBytes(const VersionedItem& item) -> std::size_t;
auto estimateBytes(const ItemVersion& itemVersion) -> std::size_t;
/// Estimates the whole message with its events, without digests and summaries.
auto estimateBytes(const GossipMessage& message) -> std::size_t;

} // namespace wagtailhead
