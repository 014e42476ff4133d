/// What a change means for services, zones and backend servers. Internal to the library.
#pragma once

#include "wagtailhead/plan.h"

namespace wagtailhead {

/// Fills in the concerned services, zones and servers of a plan whose changes are known.
auto addConcerned(Plan& plan, const PlanWorld& world) -> void;

/// Fills in capacity, emptied services, warnings and effects of a change of the list of leaving nodes.
auto addCapacity(Plan& plan, const PlanWorld& world, const std::set<NodeId>& leavingBefore,
    const std::set<NodeId>& leavingAfter) -> void;

/// Fills in effects and warnings of a declaration of lost nodes.
auto addLostShards(Plan& plan, const PlanWorld& world) -> void;

} // namespace wagtailhead
