/// The queue of calls that wait for a slot of the backend server. Internal to libcall.
#pragma once

#include "wagtailhead/admission.h"

#include <memory>
#include <vector>

namespace wagtailhead {

struct QueuedCall {
    AdmissionCall call_;
    TimePoint arrivedAt_;
};

using PriorityCounts = std::array<int, priorityCount>;

/// Holds queued calls in the order in which they start. Not thread safe.
class AdmissionQueue {
public:
    /// Returns the bounded, ordered queue, or the naive unbounded FIFO.
    static auto create(Mechanism mechanism) -> std::unique_ptr<AdmissionQueue>;

    virtual ~AdmissionQueue() = default;

    virtual auto push(const QueuedCall& call) -> void = 0;

    virtual auto size() const -> std::size_t = 0;

    /// Returns the call that starts next, or null if the queue is empty.
    virtual auto front() const -> const QueuedCall* = 0;

    /// Returns the least important call, or null if the queue is empty.
    virtual auto back() const -> const QueuedCall* = 0;

    /// Returns the number of queued calls by priority.
    virtual auto counts() const -> const PriorityCounts& = 0;

    /// Removes a call. Returns whether it was queued.
    virtual auto remove(AdmissionId id) -> bool = 0;

    /// Removes and returns all calls whose deadline is not after `now`.
    virtual auto takeExpired(TimePoint now) -> std::vector<QueuedCall> = 0;

    /// Removes and returns all calls that are not critical and arrived before `arrivedBefore`, and all
    /// calls of lower priority than the most important of them, so that no less important call starts
    /// after a more important one was dropped because of its time in queue.
    virtual auto takeOverdue(TimePoint arrivedBefore) -> std::vector<QueuedCall> = 0;

    /// Moves critical calls that arrived before `arrivedBefore` to the front of the critical calls. These
    /// are not dropped because of their time in queue. Without promotion, newer critical calls could overtake
    /// them until their deadline, even with sufficient capacity.
    virtual auto promoteOverdue(TimePoint arrivedBefore) -> void = 0;

    /// Removes and returns all calls that the level drops.
    virtual auto takeShed(const SheddingLevel& level) -> std::vector<QueuedCall> = 0;
};

} // namespace wagtailhead
