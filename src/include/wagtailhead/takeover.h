/// One takeover of a shard: from reading the store to the beginning of the new epoch.
#pragma once

#include "wagtailhead/ledger.h"
#include "wagtailhead/ledger_limits.h"
#include "wagtailhead/messages.h"
#include "wagtailhead/shard_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace wagtailhead {

/// The input of a takeover; passed with every call.
struct TakeoverView {
    const MemberList& members_;
    /// The record of the shard in the map of this node, if there is one.
    std::optional<ShardRecord> known_;
    /// Incarnations that an operator's confirmed intent has declared lost, with the time of the declaration.
    std::map<NodeRef, WallClock::time_point> declaredLost_ = {};
};

/// Sends `message_` (Seal, Install or Commit) to a node. The node reports the reply with onReply() or the
/// failure with onFailure(), exactly once. If `to_` is this node, the message is handled locally. A Seal
/// goes to the OwnerLedger of the receiver if its `witness_` equals its `owner_`, else to its
/// WitnessLedger; Install and Commit go to the WitnessLedger.
struct TakeoverRequest {
    std::uint64_t ticket_ = 0;
    NodeRef to_;
    Message message_;
    Duration timeout_ = Duration::zero();
};

/// Reads the shard's object; reported with onStoreRead().
struct TakeoverRead {
    std::uint64_t ticket_ = 0;
};

/// Writes the shard's object on the condition that it still has this version, or does not exist;
/// reported with onStoreWrite().
struct TakeoverWrite {
    std::uint64_t ticket_ = 0;
    ShardRecord record_;
    std::optional<std::uint64_t> expectedVersion_;
};

using TakeoverAction = std::variant<TakeoverRequest, TakeoverRead, TakeoverWrite>;

/// An object as the store returned it.
struct StoredShard {
    std::uint64_t version_ = 0;
    std::string value_; ///< The JSON text.
};

struct StoreAbsent { };
struct StoreFailed { }; ///< Also if the response was lost: the effect of a write is unknown.
struct StoreWritten {
    std::uint64_t version_ = 0;
};

using StoreReadResult = std::variant<StoredShard, StoreAbsent, StoreFailed>;
/// StoredShard or StoreAbsent: the condition did not hold; this is the current state of the object.
using StoreWriteResult = std::variant<StoreWritten, StoredShard, StoreAbsent, StoreFailed>;

/// The epoch has begun: activate the table, then publish the record.
struct TakeoverActivated {
    ShardRecord record_;
    ShardTable table_;
};

/// The takeover ended without an epoch of this node.
struct TakeoverStopped {
    std::string reason_;
    /// A newer record that the takeover has received; to be added to the map.
    std::optional<ShardRecord> adopt_;
};

using TakeoverResult = std::variant<TakeoverActivated, TakeoverStopped>;

struct TakeoverOptions {
    Duration requestTimeout_ = milliseconds(300);
    int requestTries_ = 2; ///< For each Seal, Install part and Commit.
    Duration firstBackoff_ = milliseconds(100); ///< After a failure of the store; doubles, full jitter.
    Duration longestBackoff_ = seconds(5);
    std::size_t partBytes_ = std::size_t { 256 } << 10; ///< Bound of one part of an Install.
};

/// The shard to be taken over, by which node, and from which epoch.
struct TakeoverGoal {
    std::string service_;
    std::string shard_;
    Member self_; ///< The member record of this node.
    /// The epoch that the takeover replaces, 0 if the shard has no record. If a higher epoch is found, the
    /// takeover stops.
    std::uint64_t basis_ = 0;
    std::set<NodeRef> avoid_ = {}; ///< Not to be chosen as witnesses.
};

/// A takeover of one shard by this node. Not thread safe.
///
/// The steps are: read the object, seal the epoch at its members (any one witness suffices), merge their
/// tables, install the merged table at the new witnesses, write the object conditionally, and let the
/// members of the sealed epoch accept the new one (Commit). The store is read first, so that an outage
/// of the store does not leave a sealed shard without an owner.
class Takeover {
public:
    using Actions = std::vector<TakeoverAction>;

    Takeover(TakeoverGoal goal, std::uint64_t seed, TakeoverOptions options = {});

    auto start(const TakeoverView& view, TimePoint now) -> Actions;
    auto onStoreRead(std::uint64_t ticket, const StoreReadResult& result, const TakeoverView& view,
        TimePoint now) -> Actions;
    auto onStoreWrite(std::uint64_t ticket, const StoreWriteResult& result, const TakeoverView& view,
        TimePoint now) -> Actions;
    auto onReply(std::uint64_t ticket, const Message& reply, const TakeoverView& view, TimePoint now)
        -> Actions;
    auto onFailure(std::uint64_t ticket, const TakeoverView& view, TimePoint now) -> Actions;

    /// Continues after a pause, and stops if the map has a newer epoch. Call it every 10 to 100 ms.
    auto tick(const TakeoverView& view, TimePoint now) -> Actions;

    /// Returns the result once the takeover has ended; every other call then does nothing. The actions of the
    /// call that ended it still have to be carried out.
    auto result() const -> const std::optional<TakeoverResult>&;

    auto goal() const -> const TakeoverGoal&;

    /// Returns the name of the current step, for logs and dumps.
    auto stepName() const -> const char*;

private:
    enum class Step : std::uint8_t {
        Reading,
        Sealing,
        Installing,
        Writing,
        Verifying, ///< Reading back after a write whose effect is unknown.
        Committing,
        Ended,
    };

    enum class Progress : std::uint8_t {
        NotSent,
        Sent,
        Done,
        Failed,
    };

    /// One member of an epoch that is being sealed, and the part of its table received so far.
    struct SealTarget {
        Progress progress_ = Progress::NotSent;
        ShardTable table_;
    };

    /// One epoch that has to be sealed.
    struct Base {
        EpochMembers members_;
        std::map<NodeRef, SealTarget> targets_;
    };

    /// One request in flight.
    struct Pending {
        NodeRef to_;
        Message message_;
        int triesLeft_ = 0;
        bool awaited_ = true;
    };

    /// The copy to one new witness.
    struct Copy {
        std::vector<Install> parts_;
        std::size_t next_ = 0;
    };

    auto request(const NodeRef& to, Message message, int tries, bool awaited) -> void;
    auto send(Pending pending) -> void;
    auto readStore() -> void;
    auto write() -> void;
    auto pause(Step next, TimePoint now) -> void;
    auto stop(std::string reason, std::optional<ShardRecord> adopt = std::nullopt) -> void;
    auto takeActions() -> Actions;

    auto chooseBases(const std::optional<ShardRecord>& stored, const TakeoverView& view, TimePoint now)
        -> void;
    auto lowestBase() const -> std::uint64_t;
    auto highestBase() const -> std::uint64_t;
    auto isBase(const EpochMembers& members) const -> bool;
    auto addBase(const EpochMembers& members) -> bool;
    auto toRecord(const EpochMembers& members) const -> ShardRecord;
    auto readRecord(const StoredShard& stored) -> std::optional<ShardRecord>;
    auto resolveConflict(const std::optional<StoredShard>& current, const TakeoverView& view, TimePoint now)
        -> void;

    auto continueSealing(const TakeoverView& view, TimePoint now) -> void;
    auto continueBase(Base& base, const TakeoverView& view) -> bool;
    auto sendSeal(Base& base, const NodeRef& member, const std::string& after, bool isPresent) -> void;
    auto ownerSealSuffices(const Base& base, const TakeoverView& view) const -> bool;
    auto isSealed(const Base& base, const TakeoverView& view) const -> bool;
    auto isDeclaredLost(const Base& base, const TakeoverView& view) -> bool;
    auto onSealReply(const Seal& seal, const SealReply& reply, const TakeoverView& view, TimePoint now)
        -> void;
    auto onReportedEpochs(const std::vector<EpochMembers>& epochs) -> void;
    auto failSeal(const Seal& seal, const TakeoverView& view, TimePoint now) -> void;
    static auto mergeBase(const Base& base, std::map<std::string, ShardEntry>& entries, KeyBlocks& blocks)
        -> void;

    auto beginInstalling(const TakeoverView& view, TimePoint now) -> void;
    auto onInstallAck(const Install& install, const InstallAck& ack, const TakeoverView& view, TimePoint now)
        -> void;
    auto replaceWitness(const NodeRef& witness, const TakeoverView& view, TimePoint now) -> void;
    auto makeParts(const NodeRef& witness) const -> std::vector<Install>;

    auto beginCommitting(const TakeoverView& view) -> void;
    auto commitTargets(const TakeoverView& view) const -> std::set<NodeRef>;
    auto onCommitAck(const NodeRef& member, const CommitAck& ack, const TakeoverView& view, TimePoint now)
        -> void;
    auto continueCommitting(const TakeoverView& view, TimePoint now) -> void;
    auto sealedMembers() const -> std::set<NodeRef>;
    auto activate() -> void;
    auto allBases() const -> std::vector<EpochMembers>;

    const TakeoverGoal goal_;
    const TakeoverOptions options_;
    std::mt19937_64 random_;

    Step step_ = Step::Reading;
    std::optional<TimePoint> resumeAt_; ///< Set while paused.
    int failures_ = 0;
    std::uint64_t nextTicket_ = 1;
    std::uint64_t storeTicket_ = 0;
    std::map<std::uint64_t, Pending> pending_;
    Actions actions_;

    std::optional<std::uint64_t> expectedVersion_;
    std::vector<Base> bases_;
    std::vector<EpochMembers> olderBases_; ///< Sealed by takeovers whose epochs may never have begun.
    std::uint64_t highestReported_ = 0; ///< The highest epoch in replies.
    std::uint64_t issuedAfterMs_ = 0;
    std::set<NodeRef> avoid_;

    ShardRecord record_;
    std::set<ShardRecord> written_; ///< What this takeover has written, or may have.
    ShardTable table_;
    std::uint64_t copy_ = 0;
    std::map<NodeRef, Copy> copies_;
    std::set<NodeRef> acceptedBy_;
    int commitRounds_ = 0;
    std::optional<TakeoverResult> result_;
};

} // namespace wagtailhead
