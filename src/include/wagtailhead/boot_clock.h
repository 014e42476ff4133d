/// A steady clock that goes on while the VM is suspended.
#pragma once

#include "wagtailhead/clock.h"

namespace wagtailhead {

/// Returns CLOCK_BOOTTIME. Deadlines are kept in this clock, so that work which expired during a
/// suspension of the VM is dropped before it starts. Not comparable with Clock::now().
auto bootNow() -> TimePoint;

} // namespace wagtailhead
