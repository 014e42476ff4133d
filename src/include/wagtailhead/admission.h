/// Admission of calls to one backend server, at the backend server's own node.
///
/// The node asks `arrive` for every call and does what the decision says. When the backend server has
/// ended a call, the node reports it with `finish`, and starts and drops the queued calls that the
/// returned change names. `tick` does the same for the passage of time and is called every 10 to
/// 100 ms. Each call that was started needs exactly one `finish`; a queued call ends by being named in
/// a change (started or dropped).
///
///     auto decision = admission->arrive(admissionCallOf(id, context, group), now);
///     apply(decision.others_);
///     if (decision.action_ == AdmissionAction::Start) { ... }
///
/// Three mechanisms work together, each with a naive version:
/// - the concurrency limit: how many calls run at the backend server at once;
/// - the queue: which calls wait, in which order, and when they are dropped;
/// - the shedding level: which root requests the whole service refuses.
#pragma once

#include "wagtailhead/call_context.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/mechanism.h"
#include "wagtailhead/messages.h"

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace wagtailhead {

/// Identifies a call at one AdmissionController. Chosen by the node; unique among its present calls.
using AdmissionId = std::uint64_t;

/// What admission needs to know about a call.
struct AdmissionCall {
    AdmissionId id_ = 0;
    Priority priority_ = Priority::Bulk;
    std::uint64_t rootHash_ = 0;
    int invested_ = 0;
    TimePoint deadline_;
    /// Groups calls with similar service times, for instance a hash of method and path group.
    std::uint64_t group_ = 0;
};

auto admissionCallOf(AdmissionId id, const CallContext& context, std::uint64_t group) -> AdmissionCall;

/// Why a call was refused or dropped. The call has not run in any of these cases.
enum class RefusalReason : std::uint8_t {
    Shed, ///< The shedding level drops this root.
    QueueFull, ///< The queue is full of calls that are at least as important.
    Evicted, ///< A more important call took the place in the queue.
    QueueTime, ///< Waited too long while the backend server was overloaded.
    Deadline, ///< The deadline cannot be met any more, given the measured service time.
    Cancelled, ///< The caller cancelled the queued call.
};

constexpr std::size_t refusalReasonCount = 6;

/// Returns "shed", "queue-full", "evicted", "queue-time", "deadline" or "cancelled".
auto refusalReasonName(RefusalReason reason) -> const char*;

struct Refusal {
    AdmissionId id_ = 0;
    RefusalReason reason_ = RefusalReason::Shed;
    /// Whether the refusal concerns this backend server only, so that another one may be tried.
    bool local_ = false;
};

/// What changes for calls that were queued before. Both lists are in the order of the decisions.
struct AdmissionChange {
    std::vector<AdmissionId> start_;
    std::vector<Refusal> dropped_;
};

enum class AdmissionAction : std::uint8_t {
    Start,
    Queue,
    Refuse,
};

struct AdmissionDecision {
    AdmissionAction action_ = AdmissionAction::Refuse;
    /// Valid if `action_` is Refuse.
    Refusal refusal_;
    AdmissionChange others_;
};

/// How a started call ended at the backend server.
enum class CallEnd : std::uint8_t {
    Completed, ///< A whole answer; its duration is a measurement.
    Failed, ///< Connection lost or a server error; its duration says nothing.
    Cancelled, ///< Cancelled, timed out, or never sent to the backend server.
};

struct FinishedCall {
    AdmissionId id_ = 0;
    CallEnd end_ = CallEnd::Completed;
    /// Time in which the call waited for sub-calls (CallSummary::subCallTime_). It is not counted as
    /// latency of this backend server, so that a slow deep service does not lower the limit here.
    Duration subCallTime_ = Duration::zero();
};

struct AdmissionOptions {
    /// Calls that the backend server runs at once; the greatest concurrency limit.
    int slots_ = 1;
    /// Connections that the backend server accepts; never exceeded, also by the naive limit. 0 means
    /// that it is not known.
    int connections_ = 0;
    /// The least concurrency limit as a share of the slots; it is at least one call.
    double floorShare_ = 0.1;
    /// Most queued calls. 0 means two for each slot and at least 16.
    int queueLimit_ = 0;
    /// Longest time in queue of a call that is not critical. Critical calls are not dropped then, but go
    /// before other critical calls. Three service times are always allowed.
    Duration queueTime_ = milliseconds(500);
    /// The same while the queue has not been empty for `overloadAfter_`.
    Duration overloadQueueTime_ = milliseconds(50);
    Duration overloadAfter_ = milliseconds(100);
    Mechanism limit_ = Mechanism::Adaptive; ///< Naive: no limit but the connections.
    Mechanism queue_ = Mechanism::Adaptive; ///< Naive: first in, first out, without any bound or drop.
    Mechanism shedding_ = Mechanism::Adaptive; ///< Naive: never sheds.
};

/// Returns options with all three mechanisms set to the naive version.
auto naiveAdmissionOptions(int slots, int connections) -> AdmissionOptions;

/// Counts since construction, and present figures, for dumps and metrics.
struct AdmissionStats {
    std::uint64_t arrived_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t completed_ = 0;
    std::array<std::uint64_t, refusalReasonCount> refused_ {};
    int limit_ = 0;
    int inFlight_ = 0;
    int queued_ = 0;
    SheddingLevel level_;
    /// Mean time from start to end of a completed call, including its sub-calls.
    Duration serviceTime_ = Duration::zero();
    /// Measured latency without sub-calls in relation to the baseline; 1 means no congestion.
    double latencyRatio_ = 1;
};

/// The admission of one backend server. Thread safe: one mutex, held for the short time of a decision.
/// `now` must not go backwards by more than the races between threads.
class AdmissionController {
public:
    explicit AdmissionController(const AdmissionOptions& options);
    ~AdmissionController();
    AdmissionController(const AdmissionController&) = delete;
    auto operator=(const AdmissionController&) -> AdmissionController& = delete;

    /// Decides about a new call.
    auto arrive(const AdmissionCall& call, TimePoint now) -> AdmissionDecision;

    /// Reports the end of a started call. Unknown ids are ignored.
    auto finish(const FinishedCall& call, TimePoint now) -> AdmissionChange;

    /// Removes a queued call, which is named in `dropped_` with reason Cancelled. A running call keeps
    /// its place until `finish`, since the backend server is still busy with it.
    auto cancel(AdmissionId id, TimePoint now) -> AdmissionChange;

    /// Drops queued calls whose time is over and lets the level follow the load.
    auto tick(TimePoint now) -> AdmissionChange;

    /// Takes over new figures of the backend server. Calls in flight are not affected.
    auto resize(int slots, int connections, TimePoint now) -> AdmissionChange;

    /// Returns the present load for replies.
    auto load() const -> LoadReport;

    auto stats() const -> AdmissionStats;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace wagtailhead
