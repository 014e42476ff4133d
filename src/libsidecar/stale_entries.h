/// Entries of nodes that will not come back.
#pragma once

#include "wagtailhead/directory.h"

#include <string>
#include <vector>

namespace wagtailhead {

/// Returns the nodes of a zone whose entries are to be removed from the store: those that have been out of
/// reach for a long time, unless so many are that this node itself may be cut off from its zone.
auto staleNodes(const Directory& directory, const std::string& zone, TimePoint now)
    -> std::vector<std::string>;

} // namespace wagtailhead
