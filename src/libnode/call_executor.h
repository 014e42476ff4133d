/// Runs calls on the backend server of this node: checks, admission, the ledger, and the HTTP call.
/// Internal to the library.
#pragma once

#include "once_guard.h"
#include "wagtailhead/admission.h"
#include "wagtailhead/call_table.h"
#include "wagtailhead/http.h"
#include "wagtailhead/messages.h"
#include "wagtailhead/node_settings.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace wagtailhead {

struct CallExecutorParts {
    asio::io_context& context_;
    HttpClient& http_;
    CallTable& calls_;
    OnceGuard& once_;
    /// Cancels the sub-calls of a running call.
    std::function<void(const std::vector<SubCallId>&)> cancelSubCalls_;
};

/// Executes calls. Thread safe.
class CallExecutor {
public:
    using ReplyFunction = std::function<void(CallReply)>;

    CallExecutor(CallExecutorParts parts, const NodeSettings& settings);
    ~CallExecutor();

    /// Takes a call from `from` (this node itself for calls of its own callers). `reply` runs exactly
    /// once unless the call is cancelled first.
    auto execute(const NodeRef& from, CallRequest call, ReplyFunction reply) -> void;

    /// The caller does not wait any more. Queued work is dropped; running work is cancelled unless it
    /// must run at most once, since its answer is still wanted for repeats.
    auto cancel(const NodeRef& from, std::uint64_t callId) -> void;

    /// Returns an id for a call of this node itself.
    auto nextLocalId() -> std::uint64_t;

    /// From now on every new call is refused; calls in flight go on.
    auto startLeaving() -> void;
    auto isLeaving() const -> bool;

    /// Tells whether the backend server answers. Calls are refused while it does not.
    auto setBackendUp(bool up) -> void;
    auto isBackendUp() const -> bool;

    auto load() const -> LoadReport;
    auto stats() const -> AdmissionStats;
    /// Returns the number of calls that are queued, recording or running.
    auto inFlight() const -> std::size_t;

private:
    struct Execution;
    using ExecutionPtr = std::shared_ptr<Execution>;
    using CallKey = std::pair<NodeRef, std::uint64_t>;

    auto refusalFor(const CallRequest& call) const -> std::optional<std::pair<Answer, bool>>;
    auto admit(const ExecutionPtr& execution) -> void;
    auto apply(const AdmissionChange& change) -> void;
    auto begin(const ExecutionPtr& execution) -> void;
    auto dispatch(const ExecutionPtr& execution) -> void;
    auto backendRequest(const Execution& execution) const -> HttpRequest;
    auto onBackendResult(const ExecutionPtr& execution, HttpResult result) -> void;
    auto release(const ExecutionPtr& execution, CallEnd end) -> void;
    auto executeOnce(const ExecutionPtr& execution, std::optional<Answer> refusal) -> void;
    auto withdraw(const ExecutionPtr& execution) -> void;
    auto refuse(const ExecutionPtr& execution, Answer answer, bool local) -> void;
    auto finish(const ExecutionPtr& execution, CallReply reply) -> void;
    auto find(AdmissionId id) -> ExecutionPtr;
    auto tick() -> void;

    CallExecutorParts parts_;
    const NodeRef self_;
    const std::string service_;
    const Address backend_;
    AdmissionController admission_;
    asio::steady_timer ticker_;
    std::atomic<bool> leaving_ { false };
    std::atomic<bool> backendUp_ { false };
    std::atomic<std::uint64_t> nextLocalId_ { 0 };

    mutable std::mutex mutex_; // Guards the fields below.
    AdmissionId nextAdmission_ = 1;
    std::map<CallKey, ExecutionPtr> byCall_;
    std::map<AdmissionId, ExecutionPtr> byAdmission_;
};

} // namespace wagtailhead
