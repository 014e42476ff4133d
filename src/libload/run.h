/// One run of the load tool against a running mesh.
#pragma once

#include "summary.h"

#include <functional>
#include <string>

namespace wagtailhead::load {

struct RunOptions {
    std::string deployment_;
    LoadPlan plan_;
    MeshProcesses mesh_;
    std::string runId_;
    std::uint64_t seed_ = 1;
    int senders_ = 4; ///< Threads that share the load; each is a Poisson process of its own.
    /// Called at the begin of the first phase.
    std::function<void(milliseconds unixTime)> onBegin_;
    /// Called about once a second while the load runs, with a line for a terminal.
    std::function<void(const std::string&)> onProgress_;
};

/// Sends the load, waits until every request has ended, and collects what the mesh recorded. Takes as long as
/// the plan, and at most attempts x (timeout + backoff) longer.
auto runLoad(const RunOptions& options) -> RunData;

} // namespace wagtailhead::load
