#include "wagtailhead/result.h"

#include <array>

namespace wagtailhead {

auto errorCodeName(ErrorCode code) -> const char*
{
    static constexpr std::array names { "invalid-argument", "not-found", "conflict", "unavailable", "timeout",
        "denied", "internal" };
    return names.at(static_cast<std::size_t>(code));
}

} // namespace wagtailhead
