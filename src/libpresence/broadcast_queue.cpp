#include "broadcast_queue.h"

#include <utility>
#include <vector>

namespace wagtailhead {

namespace {

/// Bounds the work for one message when many events do not fit.
constexpr std::size_t maxSkips = 32;

/// Bounds the memory in a large event; what is dropped travels with anti-entropy.
constexpr std::size_t maxQueuedEvents = 8192;

} // namespace

auto BroadcastQueue::add(EventSubject subject, int sends) -> void
{
    if (const auto known = ranks_.find(subject); known != ranks_.end()) {
        erase({ known->second.first, known->second.second, subject });
    }
    if (ranks_.size() >= maxQueuedEvents) {
        erase(Rank(*order_.rbegin()));
    }
    insert({ sends, nextAge_--, std::move(subject) });
}

auto BroadcastQueue::offer(int sendLimit, const std::function<Verdict(const EventSubject&)>& take) -> void
{
    std::vector<Rank> taken;
    std::vector<Rank> obsolete;
    std::size_t skips = 0;
    for (const auto& rank : order_) {
        const auto verdict = take(rank.subject_);
        if (verdict == Verdict::Full || (verdict == Verdict::Skipped && ++skips > maxSkips)) {
            break;
        }
        if (verdict == Verdict::Taken) {
            taken.push_back(rank);
        } else if (verdict == Verdict::Obsolete) {
            obsolete.push_back(rank);
        }
    }
    for (const auto& rank : obsolete) {
        erase(rank);
    }
    for (auto& rank : taken) {
        erase(rank);
        if (++rank.sends_ < sendLimit) {
            insert(std::move(rank));
        }
    }
}

auto BroadcastQueue::erase(const Rank& rank) -> void
{
    ranks_.erase(rank.subject_);
    order_.erase(rank);
}

auto BroadcastQueue::insert(Rank rank) -> void
{
    ranks_[rank.subject_] = { rank.sends_, rank.age_ };
    order_.insert(std::move(rank));
}

} // namespace wagtailhead
