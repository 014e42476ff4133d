/// Lines of the processes' logs, read back.
#pragma once

#include "wagtailhead/clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailhead {

/// One event of a process.
struct LogLine {
    WallClock::time_point time_; ///< By the clock of its node.
    std::string node_;
    std::string event_;
    /// All others, in the order of the line, but for the severity and the program.
    std::vector<std::pair<std::string, std::string>> fields_;

    /// Returns the value of a field, or an empty text.
    auto find(std::string_view key) const -> std::string_view;
    /// Returns the value of a field as a number; 0 if it is missing or none.
    auto number(std::string_view key) const -> double;
};

/// Reads a line. What stands before `time=`, as a collector of logs may write it, is skipped. Returns nothing
/// for a line that names no time or event, or that ends within a quoted value.
auto parseLogLine(std::string_view text) -> std::optional<LogLine>;

} // namespace wagtailhead
