/// What a process has used, from /proc.
#pragma once

#include <optional>
#include <string_view>

namespace wagtailhead::load {

struct ProcessUsage {
    double cpuSeconds_ = 0; ///< User and system time since the start.
    double memoryMb_ = 0; ///< Largest resident size so far.
};

/// Returns nothing if there is no such process.
auto readProcessUsage(int pid) -> std::optional<ProcessUsage>;

/// Returns the user and system time in clock ticks from the text of /proc/PID/stat; 0 if it is malformed.
auto cpuTicks(std::string_view stat) -> double;

/// Returns the 1 minute load average of the machine, or 0.
auto loadAverage() -> double;

} // namespace wagtailhead::load
