/// Wall clock times as text, for documents that people read.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"

#include <string>
#include <string_view>

namespace wagtailhead {

/// Returns a time in UTC with whole seconds, for instance "2025-12-04T07:22:45Z". Thread safe.
auto formatWallTime(WallClock::time_point time) -> std::string;

/// Parses what formatWallTime writes, for years 1970 to 2261. Thread safe.
auto parseWallTime(std::string_view text) -> Result<WallClock::time_point>;

} // namespace wagtailhead
