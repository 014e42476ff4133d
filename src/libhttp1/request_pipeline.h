/// Order of the requests that a caller sends ahead on one connection.
#pragma once

#include "http1_message.h"
#include "memory_budget.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace wagtailhead::http1 {

/// Bounds on what is read ahead on one connection. The first request is always read.
struct PipelineLimits {
    std::size_t requests_ = 32;
    std::size_t bytes_ = 65536; ///< Of requests that have not started.
};

/// Holds the requests of one connection from their reading until their response is taken, in the order of
/// their reading. Requests that may overlap run side by side. Any other one starts when all before it have
/// been answered and their responses taken, and what is behind it waits for it. Not thread safe.
class RequestPipeline {
public:
    using Id = std::uint64_t;

    /// A response in its turn.
    struct Turn {
        Response response_;
        bool toHead_ = false;
        bool closes_ = false; ///< It is the last one of the connection.
    };

    struct Started {
        Id id_ = 0;
        Request request_;
    };

    explicit RequestPipeline(PipelineLimits limits = {})
        : limits_(limits)
    {
    }

    /// Returns whether another request may be read.
    auto hasRoom() const -> bool;

    /// Takes a request that has been read. `overlaps` says that it may run beside others. `charge` is held
    /// until its response is taken. Precondition: hasRoom().
    auto add(Request request, bool overlaps, MemoryCharge charge = {}) -> void;

    /// Takes a response of the connection itself, for example to a malformed request. It is the last one.
    auto addFinal(Response response) -> void;

    /// Returns the next request that may start, or nothing.
    auto takeStartable() -> std::optional<Started>;

    /// Runs `handler` if the connection ends before the request is answered. Does nothing for an answered
    /// request.
    auto onGone(Id id, std::function<void()> handler) -> void;

    /// Takes the response to a started request. Does nothing if it has been answered already.
    auto answer(Id id, Response response) -> void;

    /// Returns the response whose turn it is, or nothing if it is not there yet.
    auto takeTurn() -> std::optional<Turn>;

    /// Drops all requests that have not started and takes no more. The response of the last one that has
    /// started closes the connection.
    auto startClosing() -> void;

    /// Drops everything and returns the handlers of what has started and not been answered.
    auto clear() -> std::vector<std::function<void()>>;

    /// Returns whether the response whose turn it is has come.
    auto hasTurn() const -> bool
    {
        return !slots_.empty() && slots_.front().state_ == State::Answered;
    }
    /// Returns whether requests may follow, now or later.
    auto takesMore() const -> bool
    {
        return !closing_ && !complete_;
    }
    auto isEmpty() const -> bool
    {
        return slots_.empty();
    }
    /// Returns the size of the bodies of responses that wait for their turn.
    auto answeredBytes() const -> std::size_t
    {
        return answeredBytes_;
    }

private:
    enum class State : std::uint8_t {
        Unstarted,
        Running,
        Answered,
    };
    struct Slot {
        Id id_ = 0;
        State state_ = State::Unstarted;
        Request request_;
        Response response_;
        std::function<void()> gone_;
        MemoryCharge charge_;
        bool overlaps_ = false;
        bool keepAlive_ = true;
        bool toHead_ = false;
    };

    auto find(Id id) -> Slot*;
    static auto sizeOf(const Request& request) -> std::size_t;

    PipelineLimits limits_;
    std::deque<Slot> slots_;
    Id lastId_ = 0;
    std::size_t unstartedBytes_ = 0;
    std::size_t answeredBytes_ = 0;
    bool closing_ = false;
    bool complete_ = false; ///< The last request of the connection has been read.
};

} // namespace wagtailhead::http1
