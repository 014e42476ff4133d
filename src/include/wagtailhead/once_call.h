/// The entry node's side of the at-most-once protocol: one `once` call of one caller.
#pragma once

#include "wagtailhead/ledger_limits.h"
#include "wagtailhead/messages.h"
#include "wagtailhead/shard_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailhead {

/// Sends the CallRequest of this attempt to a node. The same attempt may be sent several times: the
/// owner's ledger joins it. Reported with onReply() or onFailure(), exactly once.
struct SendOnceCall {
    std::uint64_t ticket_ = 0;
    NodeRef owner_;
    ShardRef shard_;
    /// For CallContext::deadline_: earlier than the caller's deadline by `answerReserve_`, so that an answer
    /// that the owner sends at its deadline still reaches the caller.
    TimePoint deadline_;
};

/// Sends a Fence, over a new connection if the last one was lost. Reported with onFenceReply() or
/// onFailure(), exactly once.
struct SendFence {
    std::uint64_t ticket_ = 0;
    NodeRef to_;
    Fence message_;
    Duration timeout_ = Duration::zero();
};

/// The end of the call: the answer for the caller.
struct TellCaller {
    Answer answer_;
};

using OnceAction = std::variant<SendOnceCall, SendFence, TellCaller>;

struct OnceCallOptions {
    Duration firstPause_ = milliseconds(20); ///< Before the attempt is sent again; doubles.
    Duration longestPause_ = milliseconds(200);
    Duration fenceTimeout_ = milliseconds(300);
    /// The end of the deadline that is kept for fences, at most a quarter of the deadline.
    Duration fenceReserve_ = milliseconds(700);
    /// The owner answers this much before the caller's deadline, at most a tenth of the deadline.
    Duration answerReserve_ = milliseconds(100);
};

/// One `once` call. It sends the attempt to the owner, sends it again when a connection or the owner is
/// lost, and answers "not run" only if the owner or both witnesses have confirmed it. Not thread safe.
class OnceCall {
public:
    using Actions = std::vector<OnceAction>;
    using Record = std::optional<ShardRecord>;

    /// `shard` names service and shard; its epoch is not used. `bodyHash` as in OnceArrival.
    OnceCall(ShardRef shard, std::string key, std::uint64_t bodyHash, AttemptId attempt, TimePoint acceptedAt,
        TimePoint deadline, OnceCallOptions options = {});

    /// `record` is always the newest record of the shard in the map.
    auto start(const Record& record, TimePoint now) -> Actions;
    auto onReply(std::uint64_t ticket, const Answer& answer, TimePoint notRunUntil, const Record& record,
        TimePoint now) -> Actions;
    auto onFenceReply(std::uint64_t ticket, const FenceReply& reply, const Record& record, TimePoint now)
        -> Actions;
    auto onFailure(std::uint64_t ticket, const Record& record, TimePoint now) -> Actions;
    /// Sends again after a pause and ends the call at its deadline. Call it every 10 to 50 ms.
    auto tick(const Record& record, TimePoint now) -> Actions;

    auto isDone() const -> bool;

private:
    enum class Step : std::uint8_t {
        Waiting,
        Calling,
        FencingOwner,
        FencingWitnesses,
        Done,
    };

    auto proceed(const Record& record, TimePoint now) -> void;
    auto wait(const Record& record, TimePoint now) -> void;
    auto beginFence(const Record& record, TimePoint now) -> void;
    auto sendFence(const NodeRef& member, TimePoint now) -> void;
    auto fenceWitnesses(const Record& record, TimePoint now) -> void;
    auto endFence(const Record& record, TimePoint now) -> void;
    auto finish(Outcome outcome, int status, std::string reason) -> void;
    auto finish(Answer answer) -> void;
    auto takeActions() -> Actions;

    const ShardRef shard_;
    const std::string key_;
    const std::uint64_t bodyHash_;
    const AttemptId attempt_;
    const TimePoint deadline_;
    const OnceCallOptions options_;
    const TimePoint fenceAt_; ///< From this time on only fences are sent.
    const TimePoint ownerDeadline_;

    Step step_ = Step::Waiting;
    TimePoint resumeAt_;
    int pauses_ = 0;
    std::uint64_t nextTicket_ = 1;
    std::uint64_t callTicket_ = 0;
    std::map<std::uint64_t, NodeRef> fences_; ///< In flight, by ticket.
    ShardRecord fenced_; ///< The epoch that is being fenced.
    bool sawStarted_ = false;
    std::size_t blockedBy_ = 0; ///< Witnesses that have blocked the key.
    TimePoint blockedUntil_;
    Actions actions_;
};

} // namespace wagtailhead
