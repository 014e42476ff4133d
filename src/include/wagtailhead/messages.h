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

    auto operator<=>(const AttemptId&) const = default;
    /// Returns `<node id>/<number>`.
    auto text() const -> std::string;
};

/// Names a shard in one epoch.
struct ShardRef {
    std::string service_;
    std::string shard_; ///< For instance "g/3" or "r/riga/5".
    std::uint64_t epoch_ = 0;

    auto operator<=>(const ShardRef&) const = default;
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
};

struct CancelCall {
    std::uint64_t callId_ = 0;
};

/// "If this attempt has not started, never start it."
struct Fence {
    std::uint64_t requestId_ = 0;
    ShardRef shard_;
    std::string key_;
    AttemptId attempt_;
};

enum class FenceState : std::uint8_t {
    Blocked, ///< It has not started and never will in this epoch.
    Started, ///< It has started; its end is not known here.
    Finished, ///< `answer_` holds the whole answer.
    NotMine, ///< This node is no member of the epoch and cannot tell.
};

struct FenceReply {
    std::uint64_t requestId_ = 0;
    FenceState state_ = FenceState::NotMine;
    Answer answer_;
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
};

struct RecordAck {
    std::uint64_t requestId_ = 0;
    bool accepted_ = false;
    /// The highest epoch that the witness knows for the shard.
    std::uint64_t highestEpoch_ = 0;
    std::string reason_;
};

/// Tells a witness or a successor how a key ended. Not acknowledged.
struct RecordOutcome {
    ShardRef shard_;
    std::string key_;
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

/// Asks a witness of `shard_` to refuse that epoch from now on and to hand out its records.
struct Seal {
    std::uint64_t requestId_ = 0;
    ShardRef shard_;
    NodeRef witness_;
    NodeRef candidate_;
    std::uint64_t newEpoch_ = 0;
};

struct SealReply {
    std::uint64_t requestId_ = 0;
    bool sealed_ = false;
    std::uint64_t highestEpoch_ = 0;
    std::vector<ShardEntry> entries_;
    /// Time-bounded blocks: keys blocked by a fence, with the rest of their life.
    std::vector<std::pair<std::string, Duration>> blocked_;
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
};

struct InstallAck {
    std::uint64_t requestId_ = 0;
    bool accepted_ = false;
    std::uint64_t highestEpoch_ = 0;
};

using Message = std::variant<Hello, Ping, Pong, CallRequest, CallReply, CancelCall, Fence, FenceReply,
    RecordStart, RecordAck, RecordOutcome, Seal, SealReply, Install, InstallAck>;

/// Encodes a message with MessagePack. Time points are written relative to `now`.
auto encodeMessage(const Message& message, TimePoint now) -> std::string;

/// Decodes a message. `sentAt` is the estimated time of sending on the receiver's clock, to which the
/// relative times of the message are added. Malformed input gives an error, never an exception.
auto decodeMessage(std::string_view bytes, TimePoint sentAt) -> Result<Message>;

} // namespace wagtailhead
