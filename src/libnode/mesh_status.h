/// The status of the mesh as operators read it. Internal to the library.
#pragma once

#include "status_collector.h"
#include "wagtailhead/plan.h"

#include <nlohmann/json_fwd.hpp>

namespace wagtailhead {

/// What the answering node knows besides the collected figures.
struct MeshStatusInput {
    NodeRef self_;
    std::string zone_;
    const MeshReport& report_;
    const MemberList& members_;
    const std::vector<ShardHolders>& shards_; ///< The owner is the first member.
    TimePoint now_;
};

/// Returns the answer of GET /-/admin/status.
auto meshStatus(const MeshStatusInput& input) -> nlohmann::json;

/// Returns the load by service and zone, for plans.
auto loadsOf(const MeshReport& report, TimePoint now) -> std::map<ServiceZone, ServiceLoad>;

} // namespace wagtailhead
