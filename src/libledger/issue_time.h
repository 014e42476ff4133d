/// Keys that carry the time at which they were issued.
#pragma once

#include "wagtailhead/clock.h"

#include <optional>
#include <string_view>

namespace wagtailhead {

/// Returns the issue time of a key that is a UUIDv7, or whose part behind the last colon is one. A time
/// further in the future than `longestKeyLead` counts as none.
auto issueTimeOf(std::string_view key, WallClock::time_point now) -> std::optional<WallClock::time_point>;

} // namespace wagtailhead
