/// Admission of calls to one backend server, at the backend server's own node.
///
/// The node calls `arrive` for every call and carries out the returned decision. When a call has ended at
/// the backend server, the node calls `finish`, and starts and drops the queued calls that the returned
/// change lists. `tick` must be called every 10 to 100 ms; it drops queued calls that have waited too long
/// and updates the shedding level. Each started call needs exactly one `finish`; a queued call leaves the
/// queue when a change lists it as started or dropped.
///
///     auto decision = admission->arrive(admissionCallOf(id, context, group), now);
///     apply(decision.others_);
///     if (decision.action_ == AdmissionAction::Start) { ... }
///
/// Admission consists of three mechanisms, each with a naive version:
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

/// Identifies a call at one AdmissionController. Chosen by the node; unique among its queued and running
/// calls.
using AdmissionId = std::uint64_t;

/// The attributes of a call that admission uses.
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
    Evicted, ///< Removed from the full queue for a more important call.
    QueueTime, ///< Waited too long while the backend server was overloaded.
    Deadline, ///< The deadline can no longer be met, given the measured service time.
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

/// Queued calls to start and to drop. Both lists are in the order of the decisions.
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
    Completed, ///< A complete response; its duration is used as a measurement.
    Failed, ///< Connection lost or a server error; its duration is not used.
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
    /// Calls that the backend server runs at once; the upper bound of the concurrency limit.
    int slots_ = 1;
    /// Connections that the backend server accepts; neither the adaptive nor the naive limit exceeds them. 0
    /// means unknown.
    int connections_ = 0;
    /// Lower bound of the concurrency limit as a share of the slots; at least one call.
    double floorShare_ = 0.1;
    /// Maximum number of queued calls. 0 means two for each slot and at least 16.
    int queueLimit_ = 0;
    /// Maximum time in queue of a call that is not critical. Critical calls that wait longer are not dropped,
    /// but moved ahead of other critical calls. Three mean service times are always allowed.
    Duration queueTime_ = milliseconds(500);
    /// The same while the queue has not been empty for `overloadAfter_`.
    Duration overloadQueueTime_ = milliseconds(50);
    Duration overloadAfter_ = milliseconds(100);
    Mechanism limit_ = Mechanism::Adaptive; ///< Naive: no limit but the connections.
    Mechanism queue_ = Mechanism::Adaptive; ///< Naive: unbounded FIFO that drops nothing.
    Mechanism shedding_ = Mechanism::Adaptive; ///< Naive: never sheds.
};

/// Returns options with all three mechanisms set to the naive version.
auto naiveAdmissionOptions(int slots, int connections) -> AdmissionOptions;

/// Counts since construction and current values, for dumps and metrics.
struct AdmissionStats {
    std::uint64_t arrived_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t completed_ = 0;
    std::array<std::uint64_t, refusalReasonCount> refused_ {};
    int limit_ = 0;
    int inFlight_ = 0;
    int queued_ = 0;
    SheddingLevel level_;
    /// Mean time from the start to the end of a call, including its sub-calls.
    Duration serviceTime_ = Duration::zero();
    /// Measured latency without sub-calls in relation to the baseline; 1 means no congestion.
    double latencyRatio_ = 1;
};

/// Admission control of one backend server. Thread safe: one mutex, held for the short time of a decision.
/// `now` must not decrease between calls, apart from races between threads that read the clock.
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

    /// Removes a queued call and lists it in `dropped_` with reason Cancelled. A running call occupies its
    /// slot until `finish`, since the backend server still executes it.
    auto cancel(AdmissionId id, TimePoint now) -> AdmissionChange;

    /// Drops expired and overdue calls from the queue and updates the shedding level.
    auto tick(TimePoint now) -> AdmissionChange;

    /// Applies new values for the backend server. Calls in flight are not affected.
    auto resize(int slots, int connections, TimePoint now) -> AdmissionChange;

    /// Returns the current load for replies.
    auto load() const -> LoadReport;

    auto stats() const -> AdmissionStats;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace wagtailhead
