#include "wagtailhead/call_context.h"

namespace wagtailhead {

namespace {

constexpr std::array<const char*, priorityCount> priorityNames { "critical", "interactive", "internal",
    "bulk" };
constexpr std::array outcomeNames { "completed", "not-run", "unknown" };

} // namespace

auto priorityName(Priority priority) -> const char*
{
    return priorityNames.at(static_cast<std::size_t>(priority));
}

auto parsePriority(std::string_view text) -> Result<Priority>
{
    for (const auto priority : allPriorities) {
        if (text == priorityName(priority)) {
            return priority;
        }
    }
    return Error { ErrorCode::InvalidArgument,
        "priority '" + std::string(text) + "' is not one of critical, interactive, internal, bulk" };
}

auto rootHashOf(RootId rootId) -> std::uint64_t
{
    return stableHash(std::string_view(reinterpret_cast<const char*>(&rootId), sizeof rootId));
}

auto drops(const SheddingLevel& level, Priority priority, std::uint64_t rootHash) -> bool
{
    if (priority != level.priority_) {
        return priority > level.priority_;
    }
    return rootHash > level.keepBelow_;
}

auto isStricter(const SheddingLevel& left, const SheddingLevel& right) -> bool
{
    if (left.priority_ != right.priority_) {
        return left.priority_ < right.priority_;
    }
    return left.keepBelow_ < right.keepBelow_;
}

auto outcomeName(Outcome outcome) -> const char*
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

} // namespace wagtailhead
