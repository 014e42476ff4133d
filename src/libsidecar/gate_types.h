/// Requests on their way to a backend server, and what became of them.
#pragma once

#include "http1_message.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/directory.h"

#include <cstdint>
#include <functional>
#include <string>

namespace wagtailhead {

/// One attempt of a request, as the sender's node hands it to the node beside the backend server.
struct GateCall {
    std::string attemptId_; ///< Given by the caller.
    std::string route_; ///< Name of the route that sent it here.
    std::string service_;
    std::string callerService_; ///< Service of the VM where the request began.
    std::string callerNode_; ///< The node of that VM; links carry it once.
    std::string method_;
    std::string target_;
    HeaderBlock headers_; ///< Without hop-by-hop fields.
    std::string body_;
    bool idempotent_ = false;
    int rank_ = 0;
    Duration goal_ {};
    TimePoint deadline_; ///< In bootNow() time.
};

enum class GateOutcome : std::uint8_t {
    Answered, ///< The backend server's whole answer.
    NotRun, ///< Has not run and never will.
    Unknown, ///< May have run; no answer will come.
};

enum class GateReason : std::uint8_t {
    None,
    Busy, ///< No room at the backend server.
    Draining,
    Unavailable, ///< The backend server cannot be reached, or none has reported.
    WrongService,
    Expired, ///< The deadline passed before the request was sent.
    Lost, ///< The connection to the backend server or to its node broke.
    Malformed, ///< The bytes that came were not the answer to this request.
    Timeout,
    Duplicate, ///< The same attempt has been passed on before.
    Stopping, ///< The node is about to end.
};

/// Returns the lower-case name of a reason, for logs.
auto gateReasonName(GateReason reason) -> const char*;

struct GateReply {
    GateOutcome outcome_ = GateOutcome::Unknown;
    GateReason reason_ = GateReason::None;
    /// Whether the request was sent to the backend server.
    bool arrived_ = false;
    http1::Response response_; ///< Valid if Answered.
    GateLoad load_;
    bool fromBackend_ = false; ///< Only backend servers use the request's route.
};

using GateCallback = std::function<void(GateReply)>;

} // namespace wagtailhead
