/// Measures the latency that the nodes add to a call.
#pragma once

#include "log_histogram.h"
#include "mesh_rows.h"
#include "node_picker.h"
#include "scenario.h"
#include "wagtailhead/http.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

namespace wagtailhead::load {

/// Latencies of one kind of request through a node and directly.
struct PairResult {
    std::string kind_;
    LogHistogram through_;
    LogHistogram direct_;
    std::vector<double> addedMs_; ///< Difference of each pair.
    std::size_t failed_ = 0; ///< Pairs in which a call did not complete.

    /// Returns the difference of the percentiles of both distributions.
    auto addedAt(double share) const -> double;

    /// Returns the percentile of the differences.
    auto pairedAt(double share) const -> double;
};

/// Sends pairs of equal calls, one through a node and one directly to a backend server in the node's zone,
/// one after the other; each pair begins with the other one than the pair before. Runs in the one thread of
/// its context.
class PairRunner {
public:
    /// All references outlive the runner.
    PairRunner(asio::io_context& context, HttpClient& client, const LoadPlan& plan, const MeshProcesses& mesh,
        std::string runId, std::uint64_t seed);

    /// Sends pairs from `begin` until the end of the plan's phases. `onDone` runs when the last pair is over.
    auto start(TimePoint begin, std::function<void()> onDone) -> void;

    auto results() const -> const std::vector<PairResult>&;

    /// Returns the root ids of the calls through nodes, which belong to no caller of the load.
    auto roots() const -> const std::unordered_set<std::uint64_t>&;

private:
    struct Pair;
    using PairPtr = std::shared_ptr<Pair>;

    auto scheduleNext() -> void;
    auto begin() -> void;
    auto request(const RequestKind& kind, bool direct, const std::string& region) const -> HttpRequest;
    auto sendNext(const PairPtr& pair) -> void;
    auto finish(const Pair& pair) -> void;

    asio::io_context& context_;
    HttpClient& client_;
    const LoadPlan& plan_;
    const MeshProcesses& mesh_;
    std::string runId_;
    Arrivals arrivals_;
    NodePicker picker_;
    std::mt19937_64 random_;
    asio::steady_timer timer_;
    TimePoint begin_;
    std::function<void()> onDone_;
    std::vector<PairResult> results_;
    std::unordered_set<std::uint64_t> roots_;
    std::size_t begun_ = 0;
    std::size_t open_ = 0;
    bool allArrived_ = false;
};

} // namespace wagtailhead::load
