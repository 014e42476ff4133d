/// The load part of a scenario file.
#pragma once

#include "arrivals.h"
#include "request_kind.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead::load {

/// The node to which a caller sends a repeat.
enum class RepeatThrough {
    SameNode,
    OtherNode, ///< Another node of the same zone.
    OtherZone,
};

/// How callers deal with requests that do not complete.
struct CallerPolicy {
    int attempts_ = 4; ///< Most sends of one request, the first one included.
    milliseconds timeout_ { 1000 }; ///< After this time without an answer the caller gives up an attempt.
    milliseconds deadline_ { 1000 }; ///< Sent as `Wagtailhead-Deadline-Ms`.
    milliseconds backoff_ { 50 }; ///< Mean pause before a repeat; drawn from 50 % to 150 % of it.
    RepeatThrough repeatThrough_ = RepeatThrough::OtherNode;
};

/// Pairs of a call through a node and a direct call to a backend server, for the added latency.
struct PairPlan {
    double perSecond_ = 0; ///< 0 for none.
    std::vector<std::string> kinds_;
};

struct LoadPlan {
    Phases phases_; ///< Rates of whole requests.
    std::string surge_; ///< Name of the phase that overloads; empty if none.
    CallerPolicy callers_;
    RequestKinds kinds_; ///< With the weights of the mix.
    PairPlan pairs_;
    Duration idle_ = Duration::zero(); ///< Time before the load in which the idle mesh is measured.
};

/// Parses the text of a scenario file. The fields "mesh" and "faults" belong to scripts/experiment and are
/// not read. `capacityPerSecond` is the rate of 100 % load; 0 takes the one of the file. An error names the
/// field, its value and what is allowed.
auto parseScenario(std::string_view text, std::string_view deployment, double capacityPerSecond)
    -> Result<LoadPlan>;

/// Returns the position of the surge, or -1.
auto surgeIndex(const LoadPlan& plan) -> int;

} // namespace wagtailhead::load
