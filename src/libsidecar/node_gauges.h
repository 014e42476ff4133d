/// What a node tells the scraper about its present state.
#pragma once

#include "caller_operation.h"
#include "gate.h"
#include "http1_pool.h"
#include "link_client.h"
#include "site_knowledge.h"

namespace wagtailhead {

struct NodeGauges {
    GateLoad load_;
    GateStats gate_;
    CallerEntryStats callers_;
    http1::PoolStats connections_; ///< To the backend server.
    LinkStats links_;
    ObjectStoreStats store_;
    std::size_t callerConnections_ = 0;
    std::size_t unwrittenBytes_ = 0; ///< Of responses to callers.
    http1::ListenerStats callerBounds_;
    std::uint64_t configVersion_ = 0;
    Duration configAge_ {}; ///< Since it was adopted.
    std::size_t nodes_ = 0; ///< Known ones.
    Duration storeReadAge_ {}; ///< See SiteState::readAge().
    KindCheckStats storeChecks_; ///< Of the waiting watch of the configuration.
    bool watching_ = false; ///< This node watches the store for its zone.
    bool ready_ = false;
};

/// Sets all gauges. Not thread safe.
auto publishGauges(const NodeGauges& now) -> void;

} // namespace wagtailhead
