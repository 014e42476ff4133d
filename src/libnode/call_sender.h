/// Sends a call to a backend server's node: routing, retries and resolution of lost attempts.
/// Internal to the library.
#pragma once

#include "wagtailhead/active_config.h"
#include "wagtailhead/member.h"
#include "wagtailhead/peer_transport.h"
#include "wagtailhead/retry.h"
#include "wagtailhead/routing.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace wagtailhead {

class CallExecutor;

/// One call as the entry or a running parent wants it to be made.
struct OutgoingCall {
    std::string service_;
    HttpRequest http_;
    CallContext context_; ///< `retryAllowance_` is set for each attempt from `allowance_`.
    Classification class_;
    TimePoint acceptedAt_;
    std::shared_ptr<RetryAllowance> allowance_;
};

/// The end of a call with what was learned about its subtree.
struct CallResult {
    Answer answer_;
    SheddingLevel subtreeLevel_;
    std::string subtreeService_;
};

/// A call under way. Thread safe.
class CallHandle {
public:
    virtual ~CallHandle() = default;
    /// Ends the call early: its callback does not run any more, and its work is cancelled where that is
    /// harmless.
    virtual auto cancel() -> void = 0;
};

/// What the sender needs from the rest of the node. All parts are thread safe and outlive the sender.
struct CallSenderParts {
    asio::io_context& context_;
    PeerTransport& transport_;
    Router& router_;
    RetryPolicy& retryPolicy_;
    MemberTable& members_;
    ConfigView& config_;
    CallExecutor& executor_;
    NodeRef self_;
};

/// Sends calls that may be repeated or lost without harm. Operations that run at most once are sent by
/// OnceSender. Thread safe.
class CallSender {
public:
    using Callback = std::function<void(CallResult)>;

    explicit CallSender(CallSenderParts parts);

    /// Sends a call. The callback runs once, never inside this function.
    auto send(OutgoingCall call, Callback callback) -> std::shared_ptr<CallHandle>;

    /// Returns the retry budget of this node towards a service.
    auto budgetOf(const std::string& service) -> RetryBudget&;

    /// Returns the services that this node has called.
    auto calledServices() -> std::vector<std::string>;

    /// Returns a new attempt number of this node.
    auto nextAttempt() -> AttemptId;

private:
    friend class SendOperation;

    CallSenderParts parts_;
    std::mutex mutex_;
    std::map<std::string, std::unique_ptr<RetryBudget>> budgets_;
    double budgetShare_ = 0; ///< Of all budgets, from the `retries` configuration in force.
    std::atomic<std::uint64_t> attempts_ { 0 };
};

/// Returns the transport's view of a member.
auto peerTargetOf(const Member& member) -> PeerTarget;

/// Returns the channel for calls of a priority.
auto channelOf(Priority priority) -> PeerChannel;

/// Returns the approximate size of a request on the wire, for the link budget.
auto wireSize(const HttpRequest& request) -> std::size_t;
auto wireSize(const Answer& answer) -> std::size_t;

} // namespace wagtailhead
