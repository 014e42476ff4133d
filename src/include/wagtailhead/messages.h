/// The messages of the protocol between nodes.
#pragma once

#include "wagtailhead/call_context.h"
#include "wagtailhead/http.h"
#include "wagtailhead/ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wagtailhead {

constexpr int protocolVersion = 1;

/// Identifies one attempt of a call: the node that accepted the request and a counter of that node.
struct AttemptId {
    NodeRef entry_;
    std::uint64_t number_ = 0;

    auto operator<=>(const AttemptId&) const = default; // NOLINT(modernize-use-nullptr): false finding
    /// Returns `<node id>/<number>`.
    auto text() const -> std::string;
};

/// Names a shard in one epoch.
struct ShardRef {
    std::string service_;
    std::string shard_; ///< For instance "g/3" or "r/riga/5".
    std::uint64_t epoch_ = 0;

    auto operator<=>(const ShardRef&) const = default; // NOLINT(modernize-use-nullptr): false finding
};

/// The members of one epoch of a shard.
struct EpochMembers {
    std::uint64_t epoch_ = 0;
    NodeRef owner_;
    std::vector<NodeRef> witnesses_;
    /// As in the shard record: if not 0, only keys with a later issue time may run.
    std::uint64_t issuedAfterMs_ = 0;

    auto operator<=>(const EpochMembers&) const = default; // NOLINT(modernize-use-nullptr): false finding
};

/// The load of a backend server as its own node measures it.
struct LoadReport {
    int inFlight_ = 0;
    int queued_ = 0;
    int limit_ = 0;
    SheddingLevel level_;
};

/// The whole answer to a call.
struct Answer {
    Outcome outcome_ = Outcome::Unknown;
    int status_ = 0;
    std::string reason_;
    HttpHeaders headers_;
    std::string body_;
};

/// First message on a connection, in both directions.
struct Hello {
    int version_ = protocolVersion;
    NodeRef sender_;
    std::string zone_;
};

struct Ping {
    std::uint64_t number_ = 0;
};

struct Pong {
    std::uint64_t number_ = 0;
};

/// Asks a node to run a call on its backend server.
struct CallRequest {
    std::uint64_t callId_ = 0;
    NodeRef target_;
    AttemptId attempt_;
    CallContext context_; ///< `deadline_` is converted from and to remaining time by the transport.
    bool once_ = false;
    bool idempotent_ = false;
    /// The shard of the key if `once_`.
    ShardRef shard_;
    /// When the entry node accepted the request; converted like the deadline.
    TimePoint acceptedAt_;
    std::string service_;
    HttpRequest http_; ///< `target_` without the service name.
};

struct CallReply {
    std::uint64_t callId_ = 0;
    Answer answer_;
    LoadReport load_;
    /// The strictest level in the subtree of the call, and the service that reported it.
    SheddingLevel subtreeLevel_;
    std::string subtreeService_;
    int unusedRetries_ = 0;
    /// Whether another backend server of the same service may be tried: the refusal is local.
    bool localRefusal_ = false;
    /// For a `once` call with the outcome NotRun: "not run" may be told to the caller before this time
    /// only. Converted like the deadline.
    TimePoint notRunUntil_;
};

struct CancelCall {
    std::uint64_t callId_ = 0;
};

/// "If this attempt has not started, never start it."
struct Fence {
    std::uint64_t requestId_ = 0;
    ShardRef shard_;
    NodeRef owner_; ///< The owner of the epoch.
    NodeRef member_; ///< The member that is asked: the owner itself or a witness.
    std::uint64_t bodyHash_ = 0; ///< A finished key with another body is answered 422 (key-reused).
    std::string key_;
    AttemptId attempt_;
};

enum class FenceState : std::uint8_t {
    Blocked, ///< The key has not started in this epoch or before; no attempt accepted until now will.
    Started, ///< It has started; its end is not known here.
    Finished, ///< `answer_` holds the whole answer.
    NotMine, ///< This node is no member of the epoch and cannot tell.
};

struct FenceReply {
    std::uint64_t requestId_ = 0;
    FenceState state_ = FenceState::NotMine;
    Answer answer_;
    /// If Blocked: "not run" may be told before this time only. Converted like the deadline.
    TimePoint validUntil_;
};

/// Tells a witness that the owner is about to run a key.
struct RecordStart {
    std::uint64_t requestId_ = 0;
    ShardRef shard_;
    NodeRef owner_;
    NodeRef witness_;
    std::string key_;
    std::uint64_t bodyHash_ = 0;
    AttemptId attempt_;
    /// When the entry node accepted the attempt; converted like the deadline.
    TimePoint acceptedAt_;
    /// Grows with every round of records of the owner; a witness ignores older rounds of a key.
    std::uint64_t round_ = 0;
    /// The owner refuses the key: the witness blocks the attempts accepted so far and records nothing.
    bool block_ = false;
};

/// Reasons of a RecordAck that is not accepted.
namespace record_refusal {
constexpr const char* sealed = "sealed"; ///< A candidate has sealed the epoch here.
constexpr const char* superseded = "superseded"; ///< A higher epoch is known here.
constexpr const char* notMember = "not-member"; ///< This process is no witness of the epoch.
constexpr const char* blocked = "blocked"; ///< A fence blocked the attempt; blocked again.
constexpr const char* full = "full"; ///< No memory for a new key; its attempts so far are blocked.
constexpr const char* recorded = "recorded"; ///< The key has run, or may have run, before.
} // namespace record_refusal

struct RecordAck {
    std::uint64_t requestId_ = 0;
    bool accepted_ = false;
    /// The highest epoch that the witness knows for the shard.
    std::uint64_t highestEpoch_ = 0;
    std::string reason_;
};

/// Tells a witness or a successor how a key ended. Not acknowledged. With the outcome NotRun a witness
/// of the same epoch forgets the record of exactly this attempt and blocks the attempts accepted so far.
struct RecordOutcome {
    ShardRef shard_;
    std::string key_;
    AttemptId attempt_; ///< The attempt of the last RecordStart of the key.
    Answer answer_;
};

/// One key of a shard table as it is copied between nodes.
struct ShardEntry {
    std::string key_;
    std::uint64_t bodyHash_ = 0;
    bool finished_ = false;
    Answer answer_; ///< Valid if finished and not evicted (`answer_.status_` is 0 if evicted).
    Duration age_ = Duration::zero(); ///< Since the start of the execution.
};

/// Keys blocked by a fence or a refusal, with the rest of the block's life.
using KeyBlocks = std::vector<std::pair<std::string, Duration>>;

/// Asks a member of `shard_` to refuse that epoch from now on and to hand out its records. If
/// `witness_` equals `owner_`, the owner itself is asked. Large tables are handed out in pages.
struct Seal {
    std::uint64_t requestId_ = 0;
    ShardRef shard_;
    NodeRef owner_; ///< The owner of the epoch to be sealed.
    NodeRef witness_; ///< The member that is asked.
    NodeRef candidate_;
    std::uint64_t newEpoch_ = 0;
    std::string after_; ///< Only entries with greater keys are wanted; empty for the first page.
};

struct SealReply {
    std::uint64_t requestId_ = 0;
    bool sealed_ = false;
    std::uint64_t highestEpoch_ = 0;
    std::vector<ShardEntry> entries_; ///< In the order of their keys.
    /// Time-bounded blocks, on the first page.
    KeyBlocks blocked_;
    bool more_ = false; ///< Further entries follow behind the last key of this page.
    /// Whether this member knows that the epoch began (a Commit or a RecordStart reached it).
    bool active_ = true;
    /// If not active: the epochs that the takeover which installed this table had sealed.
    std::vector<EpochMembers> bases_;
    /// The highest epochs of the shard that this member knows to have been written.
    std::vector<EpochMembers> known_;
};

/// Gives a new witness the whole table of a shard before the epoch begins.
struct Install {
    std::uint64_t requestId_ = 0;
    ShardRef shard_;
    NodeRef owner_;
    NodeRef witness_;
    std::vector<ShardEntry> entries_;
    /// Large tables are sent in parts; the last part completes the copy.
    bool first_ = true;
    bool last_ = true;
    EpochMembers members_; ///< All members of the new epoch.
    std::uint64_t copy_ = 0; ///< Grows with every copy; parts of an older copy are refused.
    std::uint64_t part_ = 0; ///< 0 for the first part.
    KeyBlocks blocked_; ///< On the first part.
    std::vector<EpochMembers> bases_; ///< The epochs that were sealed for this one.
};

struct InstallAck {
    std::uint64_t requestId_ = 0;
    bool accepted_ = false;
    std::uint64_t highestEpoch_ = 0;
};

/// Asks a member of an earlier epoch to accept the new one, after the store has taken it. The owner
/// becomes active only if no member refuses because it has already accepted another successor, so that a
/// store which forgets a write cannot give one shard to two owners. With `begun_`, tells a new witness
/// that the owner is active.
struct Commit {
    std::uint64_t requestId_ = 0;
    ShardRef shard_; ///< With the new epoch.
    NodeRef member_; ///< The member that is asked.
    EpochMembers members_; ///< Of the new epoch.
    std::vector<EpochMembers> bases_; ///< The epochs that were sealed for this one.
    bool begun_ = false;
};

struct CommitAck {
    std::uint64_t requestId_ = 0;
    bool accepted_ = false;
    /// If not accepted: the epoch that this member has accepted before; epoch 0 if it is not the member
    /// that was asked.
    EpochMembers known_;
};

/// Asks a node for its status figures, or for those of its whole zone.
struct SummaryRequest {
    std::uint64_t requestId_ = 0;
    bool wholeZone_ = false;
};

struct SummaryReply {
    std::uint64_t requestId_ = 0;
    std::string text_; ///< JSON of a ZoneReport.
};

using Message = std::variant<Hello, Ping, Pong, CallRequest, CallReply, CancelCall, Fence, FenceReply,
    RecordStart, RecordAck, RecordOutcome, Seal, SealReply, Install, InstallAck, Commit, CommitAck,
    SummaryRequest, SummaryReply>;

/// Encodes a message with MessagePack. Time points are written relative to `now`.
auto encodeMessage(const Message& message, TimePoint now) -> std::string;

/// Decodes a message. `sentAt` is the estimated time of sending on the receiver's clock, to which the
/// relative times of the message are added. The estimate must not be later than the true time of
/// sending by more than `datingSlack` (ledger_limits.h), also on a new connection and after a freeze;
/// being earlier is safe. Refusals of late attempts depend on it. Malformed input gives an error, never an
/// exception.
auto decodeMessage(std::string_view bytes, TimePoint sentAt) -> Result<Message>;

} // namespace wagtailhead
