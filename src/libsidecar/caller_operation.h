/// One request of a caller until its final answer.
#pragma once

#include "gate.h"
#include "http1_listener.h"
#include "link_client.h"
#include "request_metrics.h"
#include "retry_budgets.h"
#include "root_shedding.h"
#include "wagtailhead/site_configuration.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace wagtailhead {

struct CallerEntryStats {
    std::uint64_t requests_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0; ///< 503: not run.
    std::uint64_t failed_ = 0; ///< 502 and 504.
    std::uint64_t shed_ = 0; ///< Part of refused_: for the load of a service.
    std::uint64_t noRoute_ = 0;
    std::uint64_t retries_ = 0;
    std::uint64_t cancelled_ = 0;
};

class CallerOperation;

/// What the requests of a node share. All parts outlive the requests.
struct CallerShared {
    std::string node_;
    std::string service_; ///< Of this VM; told to backend servers as the caller's service.
    HeaderNames headers_;
    Directory& directory_;
    LinkClient& links_;
    Gate& gate_;
    RetryBudgets& budgets_;
    RootShedding& shedding_;
    RequestLog& log_;
    RequestMetrics& metrics_;
    CallerEntryStats& stats_;
    std::function<SiteConfigurationPtr()> configuration_;
    std::function<const std::string&(const SiteRoute& route)> chooseDestination_;
    /// The request has been answered, or its caller has gone.
    std::function<void(const std::shared_ptr<CallerOperation>& operation)> onEnded_;
    bool stopping_ = false; ///< This node ends and takes no further requests.
};

/// Sends a request to one gate after another until there is a final answer. All members run in the context's
/// single thread.
class CallerOperation : public std::enable_shared_from_this<CallerOperation> {
public:
    CallerOperation(
        const CallerShared& shared, http1::Request request, std::shared_ptr<http1::Exchange> exchange);

    auto start() -> void;

    /// The time is over. Call it some time after deadline(), see answerGrace.
    auto onDeadline() -> void;

    auto deadline() const -> TimePoint
    {
        return deadline_;
    }
    auto hasEnded() const -> bool
    {
        return ended_;
    }

private:
    auto prepare() -> bool;
    auto attempt() -> void;
    auto gateCall() const -> GateCall;
    auto onReply(GateReply reply) -> void;
    auto onLinkResult(LinkResult result) -> void;
    auto onAnswered(GateReply reply) -> void;
    auto onNotRun(const GateReply& reply) -> void;
    auto onUnknown(GateReason reason) -> void;
    auto fence(std::uint64_t incarnation) -> void;
    /// Takes the present attempt as ended.
    auto endAttempt(const char* outcome, GateReason reason, bool arrived) -> void;
    /// Asks for a repeat and notes the verdict. `ran` tells whether the request has run, or may have.
    auto mayRepeat(bool ran) -> bool;
    auto repeatVerdict(bool ran) -> const char*;
    auto refuse(const char* reason) -> void;
    auto fail(int status, const char* reason) -> void;
    auto giveUp(const char* reason) -> void;
    auto respond(http1::Response response, RequestOutcome outcome, const char* reason) -> void;
    auto onGone() -> void;
    auto stopAttempt() -> void;
    auto end(RequestOutcome outcome, int status, const char* reason) -> void;

    const CallerShared& shared_;
    http1::Request request_;
    std::shared_ptr<http1::Exchange> exchange_;
    SiteConfigurationPtr configuration_; ///< Keeps the route alive.
    const SiteRoute* route_ = nullptr;
    TimePoint deadline_ = TimePoint::max(); ///< The earlier of the caller's and the route's.
    RequestTrace trace_;
    std::vector<std::string> tried_; ///< Nodes.
    std::optional<NodeEntry> current_; ///< Where the present attempt is.
    Gate::TicketId ticket_ = 0;
    LinkClient::CallId linkCall_ = 0;
    int arrivals_ = 0; ///< Attempts that have reached a backend server, or may have.
    bool mayHaveRun_ = false;
    bool ended_ = false;
    std::optional<http1::Response> lastAnswer_; ///< A failure that a backend server has answered.
};

/// How long after the deadline the backend server's own answer is awaited.
constexpr Duration answerGrace = milliseconds(90);

} // namespace wagtailhead
