/// Admission control in front of the backend server of this VM.
#pragma once

#include "backend_load.h"
#include "call_profile.h"
#include "gate_types.h"
#include "header_names.h"
#include "http1_pool.h"
#include "outcome_share.h"
#include "request_metrics.h"
#include "route_origins.h"
#include "shed_level.h"
#include "wagtailhead/boot_clock.h"

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

namespace wagtailhead {

struct GateOptions {
    std::string service_;
    HeaderNames headers_;
    /// Longest expected wait in the queue, as a share of the latency objective.
    double queueShare_ = 0.2;
    /// Largest share of the backend server's slots to use; it slows down when nearly all slots are in use.
    double usedSlotShare_ = 0.93;
    /// With cost control: longest expected wait of a call of a backend server, as a share of the time that it
    /// has left. Work has been done for the request that waits for it.
    double callQueueShare_ = 0.4;
    /// With cost control: how long requests of callers that have been admitted go on making calls.
    Duration responseDelay_ = milliseconds(1400);
    /// How long after its deadline the record of a non-idempotent attempt is kept.
    Duration recordRetention_ = seconds(10);
};

/// The last reported identity and state of the backend server.
struct BackendInstance {
    std::string id_;
    std::uint64_t bornMs_ = 0;
    Address address_;
    int capacity_ = 0;
    BackendPhase phase_ = BackendPhase::Unknown;
};

struct GateStats {
    std::uint64_t admitted_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t lost_ = 0;
    std::uint64_t malformed_ = 0;
    std::uint64_t rejectedByBackend_ = 0;
};

/// Decides which requests are sent to the backend server, and when. All requests to it pass through the gate.
/// A non-idempotent request is sent at most once for each attempt id. All members and callbacks run in the
/// single thread of the asio context.
class Gate {
public:
    using TicketId = std::uint64_t;

    /// The metrics must outlive the gate.
    Gate(GateOptions options, std::shared_ptr<http1::Pool> pool, RequestMetrics& metrics);

    /// Admits or refuses a request. The callback runs exactly once unless the request is cancelled, possibly
    /// before submit() returns.
    auto submit(GateCall call, GateCallback callback) -> TicketId;

    /// Cancels a request whose response is no longer needed: removes it from the queue, or, if it is running
    /// and idempotent, aborts it at the backend server.
    auto cancel(TicketId id) -> void;

    /// Ensures that an attempt that has not started never starts. Returns false if it may have been sent to
    /// the backend server.
    auto fence(const std::string& attemptId) -> bool;

    auto setInstance(const BackendInstance& instance) -> void;
    auto setMaxConnections(std::size_t count) -> void;
    /// Refuses requests whose deadline is after `latestDeadline`.
    auto admitUntil(TimePoint latestDeadline) -> void
    {
        latestDeadline_ = latestDeadline;
    }
    /// Refuses all further requests.
    auto stopAdmitting() -> void;

    /// Updates which routes only backend servers use; see RouteOrigins. Call it every second.
    auto judgeOrigins() -> void;
    /// Sets the shedding level of the services that this backend server calls.
    auto setCalledLevel(ReportedLevel level) -> void
    {
        downstreamLevel_ = level;
        downstreamLevelSet_ = bootNow();
    }

    /// Sets whether replies say what their request has cost here and below, calls of backend servers wait
    /// longer, and the shedding level allows for the delay of its effect.
    auto setCostControl(bool on) -> void;

    /// What the requests of each route ask of the services below. Filled with cost control only.
    auto callProfile() -> CallProfile&
    {
        return profile_;
    }

    /// Sets whether the backend server calls other services.
    auto setCallsMade(CallsMade calls) -> void
    {
        calls_ = calls;
    }

    /// Drops requests that have been queued for too long, and updates the shedding level. Call it about every
    /// 100 ms.
    auto tick() -> void;

    /// Returns the number of log lines dropped since the last call.
    auto takeDroppedLines() -> std::uint64_t
    {
        return logBudget_.takeDropped();
    }

    auto load() const -> GateLoad;
    /// Returns the share of the requests that the backend server has failed recently.
    auto failedShare() const -> double;
    auto stats() const -> const GateStats&
    {
        return stats_;
    }
    auto inFlight() const -> std::size_t
    {
        return tickets_.size();
    }

private:
    struct Ticket {
        TicketId id_ = 0;
        GateCall call_;
        GateCallback callback_;
        TimePoint arrived_;
        TimePoint sent_;
        int queuePosition_ = 0; ///< Lower positions start first.
        Duration longestWait_ {}; ///< Expected wait beyond which the request would have been refused.
        http1::Pool::CallId poolCall_ = 0;
        bool running_ = false;
        bool abandoned_ = false;
    };
    using TicketPtr = std::shared_ptr<Ticket>;

    enum class AttemptState : std::uint8_t {
        Waiting,
        Sent, ///< To the backend server.
        Fenced, ///< Never starts.
    };
    struct AttemptRecord {
        AttemptState state_ = AttemptState::Waiting;
        TimePoint expires_;
        TicketId ticket_ = 0;
    };

    auto refusalFor(const GateCall& call) const -> GateReason;
    auto queuePositionOf(const GateCall& call) const -> int;
    auto expectedWait(int queuePosition) const -> Duration;
    /// Returns how long a request may wait in the queue.
    auto longestWait(const GateCall& call) const -> Duration;
    /// Precondition: waiting_ > 0.
    auto firstWaiting() const -> TicketPtr;
    auto startWaiting() -> void;
    auto start(const TicketPtr& ticket) -> void;
    auto changeRunning(int change) -> void;
    /// Takes headers and body out of the call.
    auto backendRequest(GateCall& call) const -> http1::Request;
    auto onResult(const TicketPtr& ticket, http1::CallResult result) -> void;
    auto replyFor(const Ticket& ticket, http1::CallResult result) -> GateReply;
    auto replyForResponse(const Ticket& ticket, http1::Response response) -> GateReply;
    auto finish(const TicketPtr& ticket, GateReply reply) -> void;
    auto logRefused(const GateCall& call, GateReason reason) -> void;
    auto logEnded(const Ticket& ticket, const GateReply& reply) -> void;
    auto logLevel(TimePoint now) -> void;
    auto dropWaiting(const TicketPtr& ticket, GateReason reason) -> void;
    auto limit() const -> int;
    auto isUnreachable() const -> bool;
    auto expireRecords(TimePoint now) -> void;

    GateOptions options_;
    std::shared_ptr<http1::Pool> pool_;
    RequestMetrics& metrics_;
    BackendInstance instance_;
    std::map<int, std::deque<TicketPtr>> queue_; ///< By position.
    std::unordered_map<TicketId, TicketPtr> tickets_;
    std::unordered_map<std::string, AttemptRecord> records_;
    TicketId lastId_ = 0;
    int running_ = 0;
    TimePoint runningChangedAt_ = bootNow(); ///< When running_ changed last.
    double busySeconds_ = 0; ///< Sum over all slots of the seconds in use since busyIntervalStart_.
    TimePoint busyIntervalStart_ = bootNow();
    int waiting_ = 0;
    std::size_t maxConnections_ = 0;
    Duration meanServiceTime_ = milliseconds(30);
    TimePoint unreachableUntil_;
    TimePoint nextRecordSweep_;
    RouteOrigins origins_;
    CallProfile profile_;
    Slowdown slowdown_; ///< Of this VM, as the backend server says.
    bool costControl_ = false;
    LevelController level_;
    CallsMade calls_ = CallsMade::Unknown;
    ReportedLevel downstreamLevel_;
    TimePoint downstreamLevelSet_;
    TimePoint latestDeadline_ = TimePoint::max();
    bool stopping_ = false;
    GateStats stats_;
    OutcomeShare outcomes_ { seconds(1) }; ///< Of requests that the backend server has answered.
    LogBudget logBudget_;
    double loggedLevel_ = 0;
    TimePoint nextLevelLog_;
};

} // namespace wagtailhead
