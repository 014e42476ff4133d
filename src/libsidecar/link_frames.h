/// The messages between nodes: MessagePack arrays behind a length of four bytes, most significant first.
#pragma once

#include "gate_types.h"
#include "wagtailhead/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace wagtailhead {

/// First frame of either side.
struct HelloFrame {
    std::string node_;
    std::uint64_t incarnation_ = 0; ///< Of the node's process.
    std::uint64_t configVersion_ = 0; ///< 0 for none.
    bool grantsRoom_ = false; ///< Answers RoomAskFrame. Processes of earlier versions do not.
};

struct CallFrame {
    std::uint64_t id_ = 0;
    std::int64_t sentAtUs_ = 0; ///< In the sender's bootNow() time.
    GateCall call_; ///< The deadline is carried as the time left.
};

struct ReplyFrame {
    std::uint64_t id_ = 0;
    std::uint64_t configVersion_ = 0;
    GateReply reply_;
};

struct CancelFrame {
    std::uint64_t id_ = 0;
};

/// "If this attempt has not been passed on, never pass it on."
struct FenceFrame {
    std::uint64_t id_ = 0;
    std::uint64_t incarnation_ = 0; ///< Of the process to which the attempt was sent.
    std::string attemptId_;
};

struct FenceReplyFrame {
    std::uint64_t id_ = 0;
    bool neverRuns_ = false;
};

struct PingFrame { };
struct PongFrame { };

/// Asks for what the other node knows.
struct StateRequestFrame {
    std::uint64_t configVersion_ = 0; ///< Of the asking node; the text comes only if it is older.
    bool wantsEntries_ = false;
};

struct StateFrame {
    /// Compressed text of the configuration; empty if the asking node's version is as new. It holds up to a
    /// megabyte, and many nodes ask for it at once.
    std::string config_;
    std::vector<NodeEntry> entries_; ///< Empty unless asked for.
};

/// A changed entry of the sender.
struct EntryFrame {
    NodeEntry entry_;
};

/// What the sender knows of the store; sent when its configuration changes, and at intervals by nodes that
/// watch the store for others.
struct BeatFrame {
    std::uint64_t configVersion_ = 0;
    bool watching_ = false;
    bool storeReachable_ = false;
    std::uint64_t entriesDigest_ = 0; ///< See Directory::digest().
    /// Since the sender has read the store; nothing if it has not. The receiver adds the time in transit.
    std::optional<Duration> storeReadAge_ {};
    std::int64_t sentAtUs_ = 0; ///< In the sender's bootNow() time.
};

/// The load of the sender's gate, told without a call while it refuses requests.
struct LoadFrame {
    GateLoad load_;
};

/// Asks a custodian for tokens of an account.
struct QuotaAskFrame {
    std::uint64_t id_ = 0;
    std::string account_;
    int wanted_ = 0;
};

struct QuotaGrantFrame {
    std::uint64_t id_ = 0; ///< Of the QuotaAskFrame.
    int tokens_ = 0;
    Duration retryAfter_ {}; ///< If fewer tokens than wanted are granted.
};

/// Asks for memory for the body of a call before the call is sent. A CancelFrame gives it back.
struct RoomAskFrame {
    std::uint64_t id_ = 0; ///< Of the call.
    std::uint64_t bytes_ = 0;
};

struct RoomReplyFrame {
    std::uint64_t id_ = 0; ///< Of the RoomAskFrame.
    bool granted_ = false;
    GateLoad load_; ///< Of the sender's gate.
};

using Frame = std::variant<HelloFrame, CallFrame, ReplyFrame, CancelFrame, FenceFrame, FenceReplyFrame,
    PingFrame, PongFrame, StateRequestFrame, StateFrame, EntryFrame, LoadFrame, BeatFrame, QuotaAskFrame,
    QuotaGrantFrame, RoomAskFrame, RoomReplyFrame>;

/// Appends the frame with its length.
auto appendFrame(std::string& out, const Frame& frame) -> void;

/// A call in pieces, so that its body is not copied. Together they are the text of appendFrame().
struct EncodedCall {
    std::string head_; ///< Until the body.
    http1::Body body_;
    std::string tail_; ///< After the body.
};

/// Precondition: the call has a body.
auto encodeCall(const CallFrame& frame) -> EncodedCall;

/// Returns the bytes of the frame at the front of `bytes`, with its length; 0 if that has not come whole or
/// is too great.
auto announcedFrameBytes(std::string_view bytes) -> std::size_t;

/// Takes one frame off the front of `bytes`. Returns nothing if it is not there as a whole yet, and an
/// error if the bytes are no frame.
auto takeFrame(std::string_view& bytes) -> Result<std::optional<Frame>>;

} // namespace wagtailhead
