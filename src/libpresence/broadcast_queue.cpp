#include "broadcast_queue.h"

#include <utility>
#include <vector>

namespace wagtailhead {

namespace {

/// Limits the work for one message when many events do not fit.
constexpr std::size_t maxSkips = 32;

/// Limits memory use when very many members or items change at once; anti-entropy delivers dropped events.
constexpr std::size_t maxQueuedEvents = 8192;

} // namespace

auto BroadcastQueue::add(EventSubject subject, int sends) -> void
{
    if (const auto queued = positions_.find(subject); queued != positions_.end()) {
        erase({ queued->second.first, queued->second.second, subject });
    }
    if (positions_.size() >= maxQueuedEvents) {
        erase(QueuedEvent(*order_.rbegin()));
    }
    insert({ sends, nextAge_--, std::move(subject) });
}

auto BroadcastQueue::offer(int sendLimit, const std::function<OfferResult(const EventSubject&)>& take) -> void
{
    std::vector<QueuedEvent> taken;
    std::vector<QueuedEvent> obsolete;
    std::size_t skips = 0;
    for (const auto& event : order_) {
        const auto result = take(event.subject_);
        if (result == OfferResult::Full || (result == OfferResult::Skipped && ++skips > maxSkips)) {
            break;
        }
        if (result == OfferResult::Taken) {
            taken.push_back(event);
        } else if (result == OfferResult::Obsolete) {
            obsolete.push_back(event);
        }
    }
    for (const auto& event : obsolete) {
        erase(event);
    }
    for (auto& event : taken) {
        erase(event);
        if (++event.sends_ < sendLimit) {
            insert(std::move(event));
        }
    }
}

auto BroadcastQueue::erase(const QueuedEvent& event) -> void
{
    positions_.erase(event.subject_);
    order_.erase(event);
}

auto BroadcastQueue::insert(QueuedEvent event) -> void
{
    positions_[event.subject_] = { event.sends_, event.age_ };
    order_.insert(std::move(event));
}

} // namespace wagtailhead
