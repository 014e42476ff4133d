/// Processing of one request of a caller until its final response.
#pragma once

#include "cost_model.h"
#include "gate.h"
#include "http1_listener.h"
#include "link_client.h"
#include "placement_policy.h"
#include "quota_service.h"
#include "request_metrics.h"
#include "retry_budgets.h"
#include "root_shedding.h"
#include "run_times.h"
#include "wagtailhead/site_configuration.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace wagtailhead {

struct CallerEntryStats {
    std::uint64_t requests_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0; ///< 503: not run.
    std::uint64_t failed_ = 0; ///< 502 and 504.
    std::uint64_t shed_ = 0; ///< Part of refused_: because a service is overloaded.
    std::uint64_t noRoute_ = 0;
    std::uint64_t noAccount_ = 0; ///< 401: the key belongs to no account.
    std::uint64_t overQuota_ = 0; ///< 429: the account has used its quota.
    std::uint64_t quotaUnavailable_ = 0; ///< Part of refused_: no custodian of the account's quota answered.
    std::uint64_t retries_ = 0;
    std::uint64_t cancelled_ = 0;
};

class CallerOperation;

/// Memory for large responses that are on their way to this node. It is reserved by the expected size before
/// the request is sent on, since a response without room would have run for nothing. Not thread safe.
class BulkResponses {
public:
    /// Returns the expected size of a response of a route. It is a cautious figure until one has come.
    auto expected(const std::string& route, TimePoint now) const -> std::size_t;
    auto onResponse(const std::string& route, std::size_t bytes, TimePoint now) -> void;

    auto reserve(std::size_t bytes) -> void
    {
        reserved_ += bytes;
    }
    auto release(std::size_t bytes) -> void
    {
        reserved_ -= bytes;
    }
    auto reserved() const -> std::size_t
    {
        return reserved_;
    }

private:
    struct Size {
        std::size_t bytes_ = 0;
        TimePoint seen_;
    };
    std::unordered_map<std::string, Size> sizes_; ///< Largest recent one by route.
    std::size_t reserved_ = 0;
};

/// Objects shared by all requests of a node. They outlive the requests.
struct CallerShared {
    std::string node_;
    std::string service_; ///< Of this VM; sent to backend servers as the caller's service.
    HeaderNames headers_;
    Directory& directory_;
    LinkClient& links_;
    Gate& gate_;
    RetryBudgets& budgets_;
    RootShedding& shedding_;
    CostModel& costModel_;
    QuotaService& quota_;
    RequestLog& log_;
    RequestMetrics& metrics_;
    CallerEntryStats& stats_;
    std::function<SiteConfigurationPtr()> configuration_;
    /// Whether the memory allows to hold another response of so many bytes until its caller has read it.
    std::function<bool(std::size_t bytes)> hasRoom_;
    BulkResponses& bulk_;
    RunTimes& runTimes_;
    std::function<const std::string&(const SiteRoute& route)> chooseDestination_;
    /// Called when the request has been answered or its caller has disconnected.
    std::function<void(const std::shared_ptr<CallerOperation>& operation)> onEnded_;
    bool stopping_ = false; ///< This node is shutting down and refuses further requests.
    /// Requests with a later deadline are not sent on: this process may end before they do.
    TimePoint latestDeadline_ = TimePoint::max();
    /// Requests that usually run beyond it are not sent on.
    TimePoint latestResponse_ = TimePoint::max();
};

/// Sends a request to one gate after another until there is a final response. All members run in the single
/// thread of the asio context.
class CallerOperation : public std::enable_shared_from_this<CallerOperation> {
public:
    CallerOperation(
        const CallerShared& shared, http1::Request request, std::shared_ptr<http1::Exchange> exchange);

    auto start() -> void;

    /// Ends the request because its deadline has passed. Call it responseGrace after deadline().
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
    /// Finds the client account of the request. Returns false if its route needs a key and it has no valid
    /// one.
    auto authenticate() -> bool;
    /// Waits for a token of the account's quota, then admits.
    auto takeQuota() -> void;
    auto onQuota(const QuotaResult& result) -> void;
    auto admit() -> void;
    auto attempt() -> void;
    /// Returns whether this process still runs at the deadline, and when the response usually comes.
    auto endsInTime() const -> bool
    {
        return deadline_ <= shared_.latestDeadline_
            && bootNow() + shared_.runTimes_.usual(route_->name_) <= shared_.latestResponse_;
    }
    auto placementWork() const -> PlacementWork;
    auto gateCall() const -> GateCall;
    auto onReply(GateReply reply) -> void;
    auto onLinkResult(LinkResult result) -> void;
    /// Takes what a reply says about the cost of the request.
    auto onCost(const std::string& node, const GateReply& reply, TimePoint now) -> void;
    auto onAnswered(GateReply reply) -> void;
    auto onNotRun(const GateReply& reply) -> void;
    auto onUnknown(GateReason reason) -> void;
    auto fence(std::uint64_t incarnation) -> void;
    /// Records the end of the current attempt.
    auto endAttempt(const char* outcome, GateReason reason, bool arrived) -> void;
    /// Returns whether to retry, and records the decision in the trace. `ran` is true if the request has run
    /// or may have run.
    auto mayRetry(bool ran) -> bool;
    auto retryDecision(bool ran) -> const char*;
    auto refuse(const char* reason) -> void;
    auto refuseFor(const char* reason, int status, Duration retryAfter) -> void;
    auto fail(int status, const char* reason) -> void;
    auto giveUp(const char* reason) -> void;
    auto respond(http1::Response response, RequestOutcome outcome, const char* reason) -> void;
    auto onDisconnected() -> void;
    auto stopAttempt() -> void;
    auto end(RequestOutcome outcome, int status, const char* reason) -> void;

    const CallerShared& shared_;
    http1::Request request_;
    std::shared_ptr<http1::Exchange> exchange_;
    SiteConfigurationPtr configuration_; ///< Keeps the route alive.
    const SiteRoute* route_ = nullptr;
    std::size_t reservedBytes_ = 0; ///< For the response.
    std::size_t requestBytes_ = 0; ///< Of the body.
    const ClientAccount* account_ = nullptr; ///< Null without one; owned by the configuration.
    QuotaClient::RequestId quotaWait_ = 0; ///< While the request waits for a token.
    std::optional<TimePoint> tokenExpires_; ///< If the request has taken a token of the account's quota.
    TimePoint deadline_ = TimePoint::max(); ///< The earlier one of the caller's and the route's deadline.
    RequestTrace trace_;
    std::vector<std::string> tried_; ///< Nodes that have been tried.
    std::optional<NodeEntry> current_; ///< The node of the current attempt.
    Gate::TicketId ticket_ = 0;
    LinkClient::CallId linkCall_ = 0;
    int arrivals_ = 0; ///< Attempts that have reached, or may have reached, a backend server.
    bool mayHaveRun_ = false;
    bool ended_ = false;
    std::optional<http1::Response> lastErrorResponse_; ///< The last error response of a backend server.
};

/// How long after the deadline to wait for the backend server's own response.
constexpr Duration responseGrace = milliseconds(90);

} // namespace wagtailhead
