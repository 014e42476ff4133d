#include "stale_entries.h"

namespace wagtailhead {

namespace {

/// A VM that comes back does so well before this.
constexpr Duration staleAfter = std::chrono::minutes(10);
/// With a greater share of the zone out of reach it is this node that is cut off.
constexpr double mostStaleShare = 0.25;

} // namespace

auto staleNodes(const Directory& directory, const std::string& zone, TimePoint now)
    -> std::vector<std::string>
{
    std::vector<std::string> stale;
    std::size_t all = 0;
    std::size_t away = 0;
    for (const auto& entry : directory.entries()) {
        if (entry.zone_ != zone) {
            continue;
        }
        ++all;
        const auto since = directory.unreachableSince(entry.node_);
        away += since ? 1 : 0;
        if (since && now - *since >= staleAfter) {
            stale.push_back(entry.node_);
        }
    }
    const bool cutOff = static_cast<double>(away) > mostStaleShare * static_cast<double>(all);
    return cutOff ? std::vector<std::string> {} : stale;
}

} // namespace wagtailhead
