/// The calls that run at this node's backend server, and their sub-calls.
///
/// The node opens an entry when it sends a call to its backend server and puts the token into the
/// header `Wagtailhead-Context`. The backend server forwards the token with its sub-calls:
///
///     const auto token = table.open(request.context_);
///     ...
///     auto begun = table.beginSubCall(token, { "GET", "/stock/items/7", bodyHash }, now);
///     if (auto* grant = std::get_if<SubCallGrant>(&begun)) {
///         auto context = grant->context_;
///         context.retryAllowance_ = grant->allowance_->lend(); // for each attempt
///         ...
///         table.endSubCall(token, grant->id_, { reply.subtreeLevel_, reply.subtreeService_ }, now);
///     }
///     ...
///     const auto summary = table.close(token, now);
///     reply.unusedRetries_ = summary.unusedRetries_;
#pragma once

#include "wagtailhead/call_context.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/retry.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace wagtailhead {

/// Names a running call towards its backend server. Never 0.
using ContextToken = std::uint64_t;

/// Names a sub-call; unique in a table.
using SubCallId = std::uint64_t;

/// Parses the 16 hexadecimal digits that formatId writes.
auto parseContextToken(std::string_view text) -> std::optional<ContextToken>;

/// A running call as others see it. A copy of the context, which never changes, and the allowance that
/// all sub-calls of the call share.
struct RunningCall {
    CallContext context_;
    std::shared_ptr<RetryAllowance> allowance_;
    bool cancelled_ = false;
};

/// What makes two sub-calls of one running call the same.
struct SubCallKey {
    std::string method_;
    std::string path_; ///< With service and query, as the backend server sent it.
    std::uint64_t bodyHash_ = 0;
};

struct SubCallGrant {
    SubCallId id_ = 0;
    /// The context of the sub-call: one deeper, more work invested, without allowance (to be lent for
    /// each attempt) and without idempotency key.
    CallContext context_;
    std::shared_ptr<RetryAllowance> allowance_;
    /// Whether the backend server repeated an earlier sub-call. The repeat has been charged.
    bool repeat_ = false;
};

enum class SubCallRefusal : std::uint8_t {
    UnknownToken, ///< No such call runs; it may have ended.
    Cancelled, ///< The running call has been cancelled.
    TooDeep, ///< The sub-call would exceed maxCallDepth.
    DeadlinePassed,
    NoAllowance, ///< A repeat, and the allowance of the call tree is used up.
};

/// Returns "unknown-context", "cancelled", "too-deep", "deadline" or "retry-allowance".
auto subCallRefusalName(SubCallRefusal refusal) -> const char*;

using SubCallResult = std::variant<SubCallGrant, SubCallRefusal>;

/// A shedding level and the service that computed it.
struct SubtreeLevel {
    SheddingLevel level_;
    std::string service_;
};

/// What remains of a call when it ends.
struct CallSummary {
    /// Goes back to the sender with the reply.
    int unusedRetries_ = 0;
    /// Time in which at least one sub-call was running.
    Duration subCallTime_ = Duration::zero();
    /// Sub-calls still running, to be cancelled.
    std::vector<SubCallId> running_;
    /// The strictest level that the replies of the sub-calls listed. The sender of the reply merges the
    /// level of its own service into it.
    SubtreeLevel strictest_;
};

/// The running calls of one node. Thread safe: one mutex, held briefly.
class CallTable {
public:
    /// `seed` feeds the tokens; take it from std::random_device, so that a restarted node does not hand
    /// out the tokens of its predecessor.
    explicit CallTable(std::uint64_t seed);

    /// Adds a call. Its allowance is `context.retryAllowance_`.
    auto open(const CallContext& context) -> ContextToken;

    auto find(ContextToken token) const -> std::optional<RunningCall>;

    /// Registers a sub-call. Repeats are recognised by `key` and charge one extra attempt, also while
    /// the first one is still running.
    auto beginSubCall(ContextToken token, const SubCallKey& key, TimePoint now) -> SubCallResult;

    /// Reports the end of a sub-call and the level that its reply listed. Unknown ids and calls that have
    /// ended are ignored.
    auto endSubCall(ContextToken token, SubCallId id, const SubtreeLevel& reported, TimePoint now) -> void;

    /// Marks a call as cancelled, so that it gets no further sub-calls, and returns its running
    /// sub-calls, which are to be cancelled too. The entry stays until `close`.
    auto cancel(ContextToken token) -> std::vector<SubCallId>;

    /// Removes a call. Its unused allowance is handed out with the summary and is gone for sub-calls that
    /// still run. Returns an empty summary for an unknown token.
    auto close(ContextToken token, TimePoint now) -> CallSummary;

    auto size() const -> std::size_t;

private:
    struct Entry {
        RunningCall call_;
        std::set<SubCallId> running_;
        std::unordered_set<std::uint64_t> seen_; ///< Hashes of SubCallKey.
        int ended_ = 0;
        TimePoint waitingSince_; ///< Valid while `running_` is not empty.
        Duration subCallTime_ = Duration::zero();
        SubtreeLevel strictest_;
    };

    static auto hashOf(const SubCallKey& key) -> std::uint64_t;
    static auto refusalOf(const Entry& entry, bool repeat, TimePoint now) -> std::optional<SubCallRefusal>;

    mutable std::mutex mutex_;
    std::mt19937_64 random_;
    std::unordered_map<ContextToken, Entry> calls_;
    SubCallId lastSubCall_ = 0;
};

} // namespace wagtailhead
