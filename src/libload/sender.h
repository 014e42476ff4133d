/// Sends whole requests in an open loop, with callers that repeat what does not complete.
#pragma once

#include "mesh_rows.h"
#include "node_picker.h"
#include "records.h"
#include "scenario.h"
#include "wagtailhead/http.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace wagtailhead::load {

struct SenderOptions {
    LoadPlan plan_;
    std::vector<MeshProcess> nodes_;
    std::string runId_; ///< Part of every key and path, so that runs against one mesh do not meet.
    std::uint64_t seed_ = 1;
    /// Attempts in flight; an attempt beyond them ends at once as "sender-full" without being sent.
    std::size_t maxInFlight_ = 8'000;
};

struct SenderProgress {
    std::size_t begun_ = 0;
    std::size_t ended_ = 0;
    std::size_t good_ = 0;
    std::size_t inFlight_ = 0;

    auto operator+=(const SenderProgress& other) -> SenderProgress&;
};

/// Sends the load of a plan. Runs in the one thread of its context. The context, the client and the
/// options outlive the sender.
class Sender {
public:
    Sender(asio::io_context& context, HttpClient& client, const SenderOptions& options);

    /// Begins at `begin`, which may lie ahead. `onDone` runs once every request has ended.
    auto start(TimePoint begin, std::function<void()> onDone) -> void;

    /// Thread safe.
    auto progress() const -> SenderProgress;

    /// Returns all requests in the order of their arrival.
    auto records() const -> const Records&;

private:
    /// A request that has not ended.
    struct Open {
        std::size_t index_ = 0; ///< Position of its record.
        std::size_t node_ = 0;
        HttpRequest request_;
    };
    using OpenPtr = std::shared_ptr<Open>;

    auto scheduleNext() -> void;
    auto arrive(TimePoint intended) -> void;
    auto makeRequest(const RequestKind& kind, const std::string& region, std::size_t number) -> HttpRequest;
    auto send(const OpenPtr& open) -> void;
    auto finished(const OpenPtr& open, const HttpResult& result) -> void;
    auto repeatLater(const OpenPtr& open) -> void;
    auto end(const OpenPtr& open) -> void;
    auto endIfIdle() -> void;

    asio::io_context& context_;
    HttpClient& client_;
    const SenderOptions& options_;
    Arrivals arrivals_;
    NodePicker picker_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> kinds_;
    asio::steady_timer timer_;
    TimePoint begin_;
    std::function<void()> onDone_;
    Records records_;
    std::atomic<std::size_t> begun_ = 0;
    std::atomic<std::size_t> ended_ = 0;
    std::atomic<std::size_t> good_ = 0;
    std::atomic<std::size_t> inFlight_ = 0;
    bool allArrived_ = false;
};

} // namespace wagtailhead::load
