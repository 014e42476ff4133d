/// The queue of events that a node still has to disseminate, in transmission order.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace wagtailhead {

/// The member or item that an event concerns. Its content is looked up when the event is sent, so it is
/// always current.
struct EventSubject {
    enum class Kind : std::uint8_t {
        Member,
        Item,
    };

    Kind kind_ = Kind::Member;
    std::string name_; ///< Node id or item key.

    // clang-tidy 14 takes the 0 of the generated comparison for a pointer.
    auto operator<=>(const EventSubject&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Orders events by how often they were sent (fewest first) and then by age (newest first).
class BroadcastQueue {
public:
    enum class OfferResult {
        Taken, ///< The event is in the message.
        Skipped, ///< It does not fit; a smaller one may.
        Obsolete, ///< The subject does not exist any more.
        Full, ///< The message has no space for further events.
    };

    /// Adds an event, or replaces the queued event of this subject. `sends` is the initial number of
    /// transmissions, which count towards the limit.
    auto add(EventSubject subject, int sends = 0) -> void;

    /// Offers events in order until `take` returns Full. Events that were taken `sendLimit` times are removed
    /// from the queue.
    auto offer(int sendLimit, const std::function<OfferResult(const EventSubject&)>& take) -> void;

    auto size() const -> std::size_t
    {
        return positions_.size();
    }

private:
    struct QueuedEvent {
        int sends_ = 0;
        std::uint64_t age_ = 0; ///< Decreases with each new event, so newer events come first.
        EventSubject subject_;

        // clang-tidy 14 takes the 0 of the generated comparison for a pointer.
        auto operator<=>(const QueuedEvent&) const = default; // NOLINT(modernize-use-nullptr)
    };

    auto erase(const QueuedEvent& event) -> void;
    auto insert(QueuedEvent event) -> void;

    std::set<QueuedEvent> order_;
    std::map<EventSubject, std::pair<int, std::uint64_t>> positions_;
    std::uint64_t nextAge_ = UINT64_MAX;
};

} // namespace wagtailhead
