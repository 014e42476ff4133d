#include "records.h"

namespace wagtailhead::load {

auto attemptEndName(AttemptEnd end) -> const char*
{
    constexpr std::array<const char*, attemptEndCount> names { "completed", "failed", "not-run", "unknown",
        "no-answer" };
    return names.at(static_cast<std::size_t>(end));
}

} // namespace wagtailhead::load
