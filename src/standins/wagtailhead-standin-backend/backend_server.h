/// The executions of a backend server stand-in: slots, service times, sub-calls and cancellation.
#pragma once

#include "audit_log.h"
#include "backend_faults.h"
#include "call_table.h"
#include "load_history.h"
#include "request_target.h"
#include "service_times.h"
#include "slot_queue.h"
#include "standin_http.h"
#include "sub_calls.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace wagtailhead::standin {

struct BackendOptions {
    std::string service_;
    std::size_t slots_ = 1;
    ServiceTimeOptions serviceTimes_;
    CallTable calls_;
    BodySizes bodySizes_;
    SubCallOptions subCalls_;
    Duration probeTime_ = Duration::zero(); ///< Time that an answer of /health or /load takes.
};

/// Handles the requests of a backend server stand-in. Runs in the one thread of its context.
class BackendServer {
public:
    BackendServer(asio::io_context& context, HttpClient& client, BackendOptions options);

    auto handle(HttpRequest request, const Responder& responder) -> void;

    /// Appends every execution to a file from now on.
    auto writeAuditTo(const std::string& path) -> Result<Done>;

    /// Refuses new calls, and stops the context as soon as no call is left.
    auto stopWhenIdle() -> void;

private:
    using CallId = SlotQueue::CallId;

    /// A call that waits for a slot or is executed.
    struct Call {
        CallIdentity identity_;
        std::string body_;
        std::string contextToken_;
        Responder responder_;
        TimePoint deadline_;
        std::optional<AuditLog::Index> execution_; ///< Set once the call holds a slot.
        std::unique_ptr<asio::steady_timer> deadlineTimer_;
        std::unique_ptr<asio::steady_timer> serviceTimer_;
        std::shared_ptr<SubCallSet> subCalls_;
    };

    auto admit(HttpRequest request, const Responder& responder) -> void;
    auto makeCall(HttpRequest request, const Responder& responder) const -> std::unique_ptr<Call>;
    auto watchDeadline(CallId id, Call& call) -> void;
    auto execute(CallId id) -> void;
    auto serve(CallId id) -> void;
    auto finish(CallId id, std::vector<SubCallOutcome> subCalls) -> void;
    /// Ends a call whose caller has gone or whose deadline has expired.
    auto abort(CallId id, HttpResponse response) -> void;
    /// Ends a call that holds a slot, and starts the next one.
    auto end(CallId id, ExecutionState state, HttpResponse response) -> void;
    auto recordLoad() -> void;
    auto stopIfIdle() -> void;

    auto handleControl(const HttpRequest& request, const RequestTarget& target)
        -> std::optional<HttpResponse>;
    auto handleFaults(const HttpRequest& request) -> HttpResponse;
    auto handleDrain(const HttpRequest& request) -> HttpResponse;
    auto answerProbe(bool isHealth, const Responder& responder) -> void;
    auto health() const -> HttpResponse;
    auto loadReport() const -> HttpResponse;
    auto dump() const -> HttpResponse;

    asio::io_context& context_;
    HttpClient& client_;
    const BackendOptions options_;
    SlotQueue slots_;
    ServiceTimes serviceTimes_;
    std::mt19937_64 errorRandom_;
    AuditLog audit_;
    LoadHistory loads_;
    BackendFaults faults_;
    bool draining_ = false;
    bool stopping_ = false;
    std::unordered_map<CallId, std::unique_ptr<Call>> calls_;
    CallId nextCall_ = 1;
    UnansweredRequests unanswered_;
};

} // namespace wagtailhead::standin
