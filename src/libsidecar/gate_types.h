/// Requests to a backend server and their outcomes.
#pragma once

#include "http1_message.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/directory.h"

#include <cstdint>
#include <functional>
#include <string>

namespace wagtailhead {

/// One attempt of a request, as the sender's node passes it to the node of the backend server.
struct GateCall {
    std::string attemptId_; ///< Given by the caller.
    std::string route_; ///< Name of the matching route.
    std::string service_;
    std::string callerService_; ///< Service of the VM whose node received the request from its caller.
    std::string callerNode_; ///< Node of that VM; sent only once per link.
    std::string account_; ///< Name of the client account; empty for calls of backend servers.
    std::string method_;
    std::string target_;
    HeaderBlock headers_; ///< Without hop-by-hop fields.
    http1::Body body_;
    bool idempotent_ = false;
    int rank_ = 0;
    Duration goal_ {};
    TimePoint deadline_; ///< In bootNow() time.
};

enum class GateOutcome : std::uint8_t {
    Answered, ///< The backend server has sent a complete response.
    NotRun, ///< Has not run and will never run.
    Unknown, ///< May have run; no response will arrive.
};

enum class GateReason : std::uint8_t {
    None,
    Busy, ///< The backend server has no free capacity.
    Draining,
    Unavailable, ///< The backend server cannot be reached, or none has reported.
    WrongService,
    Expired, ///< The deadline passed before the request was sent.
    Lost, ///< The connection to the backend server or to its node broke.
    Malformed, ///< The received data was not a valid response to this request.
    Timeout,
    Duplicate, ///< The same attempt has been submitted before.
    Stopping, ///< The node is shutting down.
};

/// Returns the lower-case name of a reason as used in logs.
auto gateReasonName(GateReason reason) -> const char*;

struct GateReply {
    GateOutcome outcome_ = GateOutcome::Unknown;
    GateReason reason_ = GateReason::None;
    /// Whether the request was sent to the backend server.
    bool arrived_ = false;
    http1::Response response_; ///< Valid if Answered.
    GateLoad load_;
    Duration spent_ {}; ///< By the backend server on this request; 0 if not known.
    double calledCostMs_ = 0; ///< Of the calls for a request of this route; see CallProfile::calledCost().
    bool fromBackend_ = false; ///< Only backend servers use the request's route.
};

using GateCallback = std::function<void(GateReply)>;

} // namespace wagtailhead
