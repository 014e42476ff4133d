/// The state dump of a node. Internal to the library.
#pragma once

#include "call_entry.h"
#include "call_executor.h"
#include "ledger_service.h"
#include "store_link.h"
#include "wagtailhead/node_settings.h"
#include "wagtailhead/presence.h"

#include <nlohmann/json_fwd.hpp>

namespace wagtailhead {

/// The parts whose state the dump shows. Operator tokens and other secrets are never part of it.
struct NodeDumpParts {
    const NodeSettings& settings_;
    bool ready_;
    bool leaving_;
    Duration uptime_;
    const MemberList& members_;
    const ActiveConfig& config_;
    const CallExecutor& executor_;
    const CallEntry& entry_;
    const Router& router_;
    const PeerTransport& transport_;
    const PresenceService& presence_;
    const LedgerService& ledger_;
    const StoreLink& store_;
};

auto dumpNode(const NodeDumpParts& parts) -> nlohmann::json;

} // namespace wagtailhead
