#include "node_dump.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

auto levelJson(const SheddingLevel& level) -> Json
{
    const double kept = static_cast<double>(level.keepBelow_) / static_cast<double>(UINT64_MAX);
    return { { "priority", priorityName(level.priority_) }, { "keptShare", kept } };
}

auto membersJson(const MemberList& list) -> Json
{
    auto members = Json::array();
    for (const auto& [id, member] : list.members_) {
        members.push_back({ { "id", id }, { "incarnation", member.ref_.incarnation_ },
            { "zone", member.zone_ }, { "region", member.region_ }, { "service", member.service_ },
            { "http", member.http_.text() }, { "state", memberStateName(member.state_) },
            { "backendUp", member.backendUp_ }, { "slots", member.slots_ } });
    }
    return members;
}

auto configJson(const ActiveConfig& config) -> Json
{
    auto generations = Json::object();
    for (const auto& [kind, generation] : config.generations_) {
        generations[configKindName(kind)] = generation;
    }
    return { { "complete", config.isComplete() }, { "generations", generations } };
}

auto admissionJson(const AdmissionStats& stats) -> Json
{
    auto refused = Json::object();
    for (std::size_t i = 0; i < refusalReasonCount; ++i) {
        refused[refusalReasonName(static_cast<RefusalReason>(i))] = stats.refused_.at(i);
    }
    return { { "arrived", stats.arrived_ }, { "started", stats.started_ }, { "completed", stats.completed_ },
        { "refused", refused }, { "limit", stats.limit_ }, { "inFlight", stats.inFlight_ },
        { "queued", stats.queued_ }, { "level", levelJson(stats.level_) },
        { "serviceTimeMs", toMilliseconds(stats.serviceTime_) }, { "latencyRatio", stats.latencyRatio_ } };
}

auto routerJson(const Router& router) -> Json
{
    const auto stats = router.stats();
    auto targets = Json::array();
    for (const auto& target : router.targets(Clock::now())) {
        targets.push_back({ { "node", target.ref_.id_ }, { "outstanding", target.outstanding_ },
            { "load", target.load_ }, { "ejected", target.ejected_ }, { "weight", target.weight_ } });
    }
    return { { "ownZone", stats.ownZone_ }, { "ownRegion", stats.ownRegion_ },
        { "otherRegion", stats.otherRegion_ }, { "failures", stats.failures_ },
        { "ejections", stats.ejections_ }, { "linkRefusals", stats.linkRefusals_ },
        { "linkBytes", stats.linkBytes_ }, { "targets", targets } };
}

auto transportJson(const PeerTransportStats& stats) -> Json
{
    return { { "connectionsOpen", stats.connectionsOpen_ }, { "connectionsLost", stats.connectionsLost_ },
        { "connectionsSilent", stats.connectionsSilent_ }, { "messagesSent", stats.messagesSent_ },
        { "messagesReceived", stats.messagesReceived_ }, { "bytesSent", stats.bytesSent_ },
        { "bytesReceived", stats.bytesReceived_ } };
}

auto presenceJson(const PresenceStats& stats) -> Json
{
    const auto& membership = stats.membership_;
    return { { "live", stats.liveMembers_ }, { "items", stats.items_ },
        { "probesSent", membership.probesSent_ }, { "probesFailed", membership.probesFailed_ },
        { "suspicions", membership.suspicions_ }, { "deaths", membership.deaths_ },
        { "refutations", membership.refutations_ }, { "pushes", membership.pushesSent_ },
        { "syncs", membership.syncsSent_ }, { "bytesSent", stats.transport_.bytesSent_ },
        { "bytesReceived", stats.transport_.bytesReceived_ },
        { "requestsFailed", stats.transport_.requestsFailed_ },
        { "dialersOpen", stats.transport_.dialersOpen_ } };
}

auto storeJson(const StoreLink& store) -> Json
{
    const auto counts = store.counts();
    const auto agent = store.agentStats();
    return { { "reads", counts.reads_ }, { "writes", counts.writes_ }, { "watches", counts.watches_ },
        { "unavailable", counts.unavailable_ }, { "timeouts", counts.timeouts_ },
        { "conflicts", counts.conflicts_ },
        { "heldLease", agent.heldLease_ ? Json(*agent.heldLease_) : Json() },
        { "lastVersion", agent.lastVersion_ }, { "itemsRefused", agent.itemsRefused_ },
        { "rollbacksSeen", agent.rollbacksSeen_ } };
}

} // namespace

auto dumpNode(const NodeDumpParts& parts) -> nlohmann::json
{
    const auto& settings = parts.settings_;
    const auto entry = parts.entry_.stats();
    return { { "role", "node" }, { "version", WAGTAILHEAD_VERSION }, { "node", settings.self_.id_ },
        { "incarnation", settings.self_.incarnation_ }, { "zone", settings.zone_ },
        { "region", settings.region_ }, { "service", settings.service_ }, { "ready", parts.ready_ },
        { "leaving", parts.leaving_ }, { "uptimeSeconds", toMilliseconds(parts.uptime_) / 1000 },
        { "backendUp", parts.executor_.isBackendUp() }, { "store", storeJson(parts.store_) },
        { "config", configJson(parts.config_) },
        { "requests",
            { { "inFlight", parts.entry_.inFlight() }, { "completed", entry.completed_ },
                { "notRun", entry.notRun_ }, { "unknown", entry.unknown_ } } },
        { "executing", parts.executor_.inFlight() }, { "admission", admissionJson(parts.executor_.stats()) },
        { "routing", routerJson(parts.router_) }, { "transport", transportJson(parts.transport_.stats()) },
        { "presence", presenceJson(parts.presence_.stats()) }, { "ledger", parts.ledger_.dump() },
        { "members", membersJson(parts.members_) } };
}

} // namespace wagtailhead
