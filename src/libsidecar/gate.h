/// The only way to the backend server of this VM.
#pragma once

#include "gate_types.h"
#include "header_names.h"
#include "http1_pool.h"
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
    /// Longest wait in the queue as a share of the latency objective.
    double queueShare_ = 0.2;
    /// The share of the backend server's slots in use at most; it slows down when it is nearly full.
    double usedSlotShare_ = 0.93;
    /// How long the record of a request that may run once outlives its deadline.
    Duration recordSlack_ = seconds(10);
};

/// What the backend server has last said of itself.
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

/// Decides which requests the backend server gets and when; nothing else reaches it. A request that may run
/// once is passed on at most once for each attempt id. All members and callbacks run in the context's
/// single thread.
class Gate {
public:
    using TicketId = std::uint64_t;

    /// The metrics must outlive the gate.
    Gate(GateOptions options, std::shared_ptr<http1::Pool> pool, RequestMetrics& metrics);

    /// Takes a request. The callback runs exactly once unless the request is cancelled, possibly before
    /// submit() returns.
    auto submit(GateCall call, GateCallback callback) -> TicketId;

    /// Nobody waits for the answer any more: drops the request if it waits, and stops it at the backend
    /// server if it is idempotent.
    auto cancel(TicketId id) -> void;

    /// Makes sure that the attempt never starts. Returns false if it may have been passed on.
    auto fence(const std::string& attemptId) -> bool;

    auto setInstance(const BackendInstance& instance) -> void;
    auto setMaxConnections(std::size_t count) -> void;
    /// Refuses requests that may end after `lastEnd`.
    auto admitUntil(TimePoint lastEnd) -> void
    {
        lastEnd_ = lastEnd;
    }
    /// Refuses all further requests.
    auto stopAdmitting() -> void;

    /// Judges which routes only backend servers use; see RouteOrigins. Call it every second.
    auto judgeOrigins() -> void;
    /// The level of the services that this backend server calls.
    auto setCalledLevel(ReportedLevel level) -> void
    {
        calledLevel_ = level;
        calledLevelSet_ = bootNow();
    }

    /// What has been seen of the backend server's calls.
    auto setCallsMade(CallsMade calls) -> void
    {
        calls_ = calls;
    }

    /// Drops what has waited too long. Call it every 100 ms or so.
    auto tick() -> void;

    /// Returns the log lines left out since the last call.
    auto takeDroppedLines() -> std::uint64_t
    {
        return logBudget_.takeDropped();
    }

    auto load() const -> GateLoad;
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
        int place_ = 0; ///< In the queue: lower goes first.
        http1::Pool::CallId poolCall_ = 0;
        bool running_ = false;
        bool abandoned_ = false;
    };
    using TicketPtr = std::shared_ptr<Ticket>;

    enum class Record : std::uint8_t {
        Waiting,
        Passed, ///< Sent to the backend server.
        Blocked, ///< Fenced: never starts.
    };
    struct AttemptRecord {
        Record record_ = Record::Waiting;
        TimePoint expires_;
        TicketId ticket_ = 0;
    };

    auto refusalFor(const GateCall& call) const -> GateReason;
    auto placeOf(const GateCall& call) const -> int;
    auto expectedWait(int place) const -> Duration;
    /// Precondition: waiting_ > 0.
    auto firstWaiting() const -> TicketPtr;
    auto startWaiting() -> void;
    auto start(const TicketPtr& ticket) -> void;
    auto changeRunning(int change) -> void;
    auto backendRequest(const GateCall& call) const -> http1::Request;
    auto onResult(const TicketPtr& ticket, http1::CallResult result) -> void;
    auto replyFor(const Ticket& ticket, http1::CallResult result) -> GateReply;
    auto answerReply(const Ticket& ticket, http1::Response response) -> GateReply;
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
    std::map<int, std::deque<TicketPtr>> queue_; ///< By place.
    std::unordered_map<TicketId, TicketPtr> tickets_;
    std::unordered_map<std::string, AttemptRecord> records_;
    TicketId lastId_ = 0;
    int running_ = 0;
    TimePoint runningSince_ = bootNow(); ///< When running_ changed last.
    double busySeconds_ = 0; ///< Slots times seconds in use since busySince_.
    TimePoint busySince_ = bootNow();
    int waiting_ = 0;
    std::size_t maxConnections_ = 0;
    Duration meanServiceTime_ = milliseconds(30);
    TimePoint unreachableUntil_;
    TimePoint nextRecordSweep_;
    RouteOrigins origins_;
    LevelController level_;
    CallsMade calls_ = CallsMade::Unknown;
    ReportedLevel calledLevel_;
    TimePoint calledLevelSet_;
    TimePoint lastEnd_ = TimePoint::max();
    bool stopping_ = false;
    GateStats stats_;
    LogBudget logBudget_;
    double loggedLevel_ = 0;
    TimePoint nextLevelLog_;
};

} // namespace wagtailhead
