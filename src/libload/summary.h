/// All results of one run, ready to be printed.
#pragma once

#include "audit_check.h"
#include "log_histogram.h"
#include "mesh_probe.h"
#include "pair_runner.h"
#include "recovery.h"
#include "scenario.h"
#include "series.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhead::load {

/// What a run has collected.
struct RunData {
    std::string deployment_;
    std::uint64_t seed_ = 0;
    TimePoint begin_; ///< Of the first phase.
    ClockPair clocks_;
    Records records_;
    Executions executions_;
    std::vector<std::string> missingAudits_;
    std::vector<PairResult> pairs_;
    std::optional<MeshSnapshot> idle_; ///< Before an idle time that was asked for.
    MeshSnapshot before_;
    MeshSnapshot after_;
    double loadAverage_ = 0; ///< Of the machine, while the load ran.
};

/// Outcomes of one kind of request in one part of the run.
struct KindOutcomes {
    std::size_t requests_ = 0;
    std::map<AttemptEnd, std::size_t> ends_; ///< Whole requests by the end of their last attempt.
    std::size_t attempts_ = 0;
    std::size_t unknownAnswers_ = 0; ///< Attempts that were answered "unknown".
    LogHistogram latency_; ///< Of good requests, from the intended start.

    auto completedShare() const -> double;
};

struct PhaseSummary {
    std::string name_;
    Duration length_ = Duration::zero();
    double offeredPerSecond_ = 0;
    double goodPerSecond_ = 0; ///< By completion within the phase.
};

/// Use of a service's slots.
struct SlotUse {
    double slots_ = 0;
    double usefulShare_ = 0; ///< Share of the slot time spent for roots that completed.
    double wastedShare_ = 0; ///< Share of the slot time spent for other roots.
};

/// A value per node: mean and largest.
struct PerNode {
    double mean_ = 0;
    double max_ = 0;
};

struct NodeCosts {
    std::size_t nodes_ = 0;
    PerNode cpuPercent_; ///< Of one core.
    PerNode memoryMb_;
    PerNode controlBytesPerSecond_;
};

struct Summary {
    std::vector<KindOutcomes> kinds_; ///< In the order of the plan's kinds.
    std::vector<KindOutcomes> surgeKinds_; ///< Of the requests that arrived in the surge.
    std::vector<std::pair<std::string, std::size_t>> reasons_; ///< "kind end reason" of attempts, most first.
    /// How long after its intended start the first attempt of a request left. A long delay means that the
    /// load tool itself was short of CPU, and that the latencies are not those of the mesh.
    LogHistogram sendDelay_;
    std::vector<PhaseSummary> phases_;
    AuditFindings findings_;
    std::map<std::string, Work> work_; ///< By service, of the whole run.
    Work totalWork_;
    Work surgeWork_;
    std::map<std::string, SlotUse> slotUse_; ///< By service, in the surge, or in the whole load without one.
    std::string bottleneck_; ///< Service with the greatest use of its slots.
    AttemptCounts attempts_;
    Recovery recovery_;
    NodeCosts idleCosts_;
    NodeCosts loadCosts_;
    double meshCores_ = 0; ///< CPU of all processes of the mesh under load.
    std::map<std::string, double> storeCallsPerSecond_;
    std::map<std::string, double> regionBytesPerSecond_;
};

constexpr Duration goodputInterval = milliseconds(100);
constexpr Duration latencyWindow = milliseconds(500);

auto summarize(const LoadPlan& plan, const RunData& data) -> Summary;

} // namespace wagtailhead::load
