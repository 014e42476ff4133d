/// Differences between the wall clocks of nodes, as their logs show them.
#pragma once

#include "log_line.h"

#include <map>
#include <string>
#include <vector>

namespace wagtailhead {

struct ClockOffset {
    Duration offset_ {}; ///< To be added to the node's times.
    bool known_ = false; ///< Whether requests in the logs show it.
};

/// Estimates how far the clock of each node is from that of `reference`: what a gate did for an attempt lies
/// between the times at which the caller's node sent it and had its end. Offsets are found between pairs of
/// nodes and added up along the shortest way. Nodes without any such pair keep offset zero, and are not
/// known.
auto alignClocks(const std::vector<LogLine>& lines, const std::string& reference)
    -> std::map<std::string, ClockOffset>;

} // namespace wagtailhead
