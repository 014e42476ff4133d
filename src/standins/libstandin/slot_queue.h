/// The slots of a backend server stand-in and the calls that wait for one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace wagtailhead::standin {

/// A fixed number of slots with a first-in-first-out queue. Not thread safe.
class SlotQueue {
public:
    using CallId = std::uint64_t;

    /// Precondition: `slots` is positive.
    explicit SlotQueue(std::size_t slots);

    /// Returns true if the call holds a slot now; it waits otherwise.
    auto enter(CallId call) -> bool;

    /// Frees a slot and returns the waiting call that holds it now, if any.
    /// Precondition: a slot is held by the leaving call.
    auto leave() -> std::optional<CallId>;

    /// Removes a waiting call. Returns false if it does not wait.
    auto abandon(CallId call) -> bool;

    auto slots() const -> std::size_t;
    auto running() const -> std::size_t;
    auto waiting() const -> std::size_t;

private:
    std::size_t slots_;
    std::size_t running_ = 0;
    std::deque<CallId> waiting_;
};

} // namespace wagtailhead::standin
