/// The events that a node still has to spread, in the order in which they are sent.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace wagtailhead {

/// What an event is about. The content is looked up when the event is sent, so it is never outdated.
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
    enum class Verdict {
        Taken, ///< The event is in the message.
        Skipped, ///< It does not fit; a smaller one may.
        Obsolete, ///< There is nothing to say about the subject any more.
        Full, ///< The message takes no further event.
    };

    /// Adds an event, or makes the known event of this subject a new one. `sends` counts as sends
    /// that have taken place already.
    auto add(EventSubject subject, int sends = 0) -> void;

    /// Offers events in order until one is refused with Full. Events taken `sendLimit` times leave the
    /// queue.
    auto offer(int sendLimit, const std::function<Verdict(const EventSubject&)>& take) -> void;

    auto size() const -> std::size_t
    {
        return ranks_.size();
    }

private:
    struct Rank {
        int sends_ = 0;
        std::uint64_t age_ = 0; ///< Counts down, so newer events come first.
        EventSubject subject_;

        // clang-tidy 14 takes the 0 of the generated comparison for a pointer.
        auto operator<=>(const Rank&) const = default; // NOLINT(modernize-use-nullptr)
    };

    auto erase(const Rank& rank) -> void;
    auto insert(Rank rank) -> void;

    std::set<Rank> order_;
    std::map<EventSubject, std::pair<int, std::uint64_t>> ranks_;
    std::uint64_t nextAge_ = UINT64_MAX;
};

} // namespace wagtailhead
