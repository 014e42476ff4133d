#include "slot_queue.h"

#include <algorithm>

namespace wagtailhead::standin {

SlotQueue::SlotQueue(std::size_t slots)
    : slots_(slots)
{
}

auto SlotQueue::enter(CallId call) -> bool
{
    if (running_ < slots_) {
        ++running_;
        return true;
    }
    waiting_.push_back(call);
    return false;
}

auto SlotQueue::leave() -> std::optional<CallId>
{
    if (waiting_.empty()) {
        --running_;
        return std::nullopt;
    }
    const auto next = waiting_.front();
    waiting_.pop_front();
    return next;
}

auto SlotQueue::abandon(CallId call) -> bool
{
    const auto found = std::find(waiting_.begin(), waiting_.end(), call);
    if (found == waiting_.end()) {
        return false;
    }
    waiting_.erase(found);
    return true;
}

auto SlotQueue::slots() const -> std::size_t
{
    return slots_;
}

auto SlotQueue::running() const -> std::size_t
{
    return running_;
}

auto SlotQueue::waiting() const -> std::size_t
{
    return waiting_.size();
}

} // namespace wagtailhead::standin
