#include "mesh_status.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

auto wholeMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

auto countsJson(const PriorityCounts& counts) -> Json
{
    auto json = Json::object();
    for (const auto priority : allPriorities) {
        json[priorityName(priority)] = counts.at(static_cast<std::size_t>(priority));
    }
    return json;
}

auto addTotals(Json& json, const std::string& name, const PriorityTotals& totals) -> void
{
    json[name] = countsJson(totals.total_);
    json[name + "Last10s"] = countsJson(totals.recent_);
}

/// The capacity of a service in a zone, from the membership.
struct Capacity {
    int servers_ = 0; ///< Not dead.
    int usable_ = 0; ///< Alive, backend server up.
    int slots_ = 0; ///< Of the usable ones.
};

auto capacitiesOf(const MemberList& members) -> std::map<ServiceZone, Capacity>
{
    std::map<ServiceZone, Capacity> rows;
    for (const auto& [id, member] : members.members_) {
        auto& row = rows[{ member.service_, member.zone_ }];
        if (member.state_ == MemberState::Dead) {
            continue;
        }
        ++row.servers_;
        if (member.state_ == MemberState::Alive && member.backendUp_) {
            ++row.usable_;
            row.slots_ += member.slots_;
        }
    }
    return rows;
}

auto levelJson(const SheddingLevel& level) -> Json
{
    const double kept = static_cast<double>(level.keepBelow_) / static_cast<double>(UINT64_MAX);
    return { { "priority", priorityName(level.priority_) }, { "keptShare", kept } };
}

auto serviceRow(const ServiceZone& key, const Capacity& capacity, const ZonePart* part,
    const ServiceFigures* figures, TimePoint now) -> Json
{
    Json row { { "service", key.first }, { "zone", key.second }, { "servers", capacity.servers_ },
        { "usable", capacity.usable_ }, { "capacity", capacity.slots_ },
        { "reporting", figures ? figures->nodes_ : 0 } };
    if (!figures) {
        return row;
    }
    row["ageMs"] = wholeMilliseconds(now - part->figuresAt_);
    if (figures->nodes_ > 0) {
        row["limit"] = figures->limit_;
        row["inFlight"] = figures->inFlight_;
        row["queued"] = figures->queued_;
        row["level"] = levelJson(figures->level_);
    }
    addTotals(row, "shed", figures->shed_);
    return row;
}

auto servicesJson(const MeshStatusInput& input) -> Json
{
    auto rows = capacitiesOf(input.members_);
    for (const auto& [zone, part] : input.report_.zones_) {
        for (const auto& [service, figures] : part.report_.services_) {
            rows.try_emplace({ service, zone });
        }
    }
    auto list = Json::array();
    for (const auto& [key, capacity] : rows) {
        const auto part = input.report_.zones_.find(key.second);
        const bool known = part != input.report_.zones_.end() && part->second.known_;
        const ServiceFigures* figures = nullptr;
        if (known) {
            const auto& services = part->second.report_.services_;
            const auto found = services.find(key.first);
            figures = found == services.end() ? nullptr : &found->second;
        }
        list.push_back(serviceRow(key, capacity, known ? &part->second : nullptr, figures, input.now_));
    }
    return list;
}

auto zonesJson(const MeshStatusInput& input) -> Json
{
    std::map<std::string, std::pair<std::string, int>> members; // Region and nodes that are not dead.
    for (const auto& [id, member] : input.members_.members_) {
        auto& zone = members[member.zone_];
        zone.first = member.region_;
        zone.second += member.state_ == MemberState::Dead ? 0 : 1;
    }
    auto list = Json::array();
    for (const auto& [zone, part] : input.report_.zones_) {
        Json row { { "zone", zone }, { "region", members[zone].first }, { "nodes", members[zone].second },
            { "reachable", part.reachable_ } };
        if (part.known_) {
            row["ageMs"] = wholeMilliseconds(input.now_ - part.figuresAt_);
            row["answered"] = part.report_.nodes_;
            row["missing"] = part.report_.missing_;
            row["missingNodes"] = part.report_.namedMissing_;
            row["storeReachable"] = part.report_.storeReachable_.value_or(false);
            row["silentConnections"] = part.report_.silentConnections_;
            addTotals(row, "unknown", part.report_.unknown_);
        }
        list.push_back(std::move(row));
    }
    return list;
}

auto kindJson(ConfigKind kind, const MeshReport& report) -> Json
{
    std::uint64_t highest = 0;
    int nodes = 0;
    for (const auto& [zone, part] : report.zones_) {
        if (const auto groups = part.report_.generations_.find(kind);
            part.reachable_ && groups != part.report_.generations_.end()) {
            highest = std::max(highest, groups->second.rbegin()->first);
            for (const auto& [generation, group] : groups->second) {
                nodes += group.nodes_;
            }
        }
    }
    int lagging = 0;
    auto list = Json::array();
    for (const auto& [zone, part] : report.zones_) {
        const auto groups = part.report_.generations_.find(kind);
        if (!part.reachable_ || groups == part.report_.generations_.end()) {
            continue;
        }
        for (const auto& [generation, group] : groups->second) {
            if (generation < highest) {
                lagging += group.nodes_;
                list.push_back({ { "zone", zone }, { "generation", generation }, { "nodes", group.nodes_ },
                    { "named", group.named_ } });
            }
        }
    }
    return { { "generation", highest }, { "nodes", nodes }, { "lagging", lagging },
        { "laggingNodes", list } };
}

auto shardsJson(const MeshStatusInput& input) -> Json
{
    std::map<std::string, int> services;
    for (const auto& shard : input.shards_) {
        const bool owned = !shard.members_.empty() && input.members_.isPresent(shard.members_.front());
        services[shard.service_] += owned ? 0 : 1;
    }
    auto json = Json::object();
    for (const auto& [service, count] : services) {
        if (count > 0) {
            json[service] = count;
        }
    }
    return json;
}

} // namespace

auto meshStatus(const MeshStatusInput& input) -> nlohmann::json
{
    auto unreachable = Json::array();
    int missing = 0;
    for (const auto& [zone, part] : input.report_.zones_) {
        if (!part.reachable_) {
            unreachable.push_back(zone);
        }
        missing += part.reachable_ ? part.report_.missing_ : 0;
    }
    auto config = Json::object();
    for (const auto kind : allConfigKinds) {
        config[configKindName(kind)] = kindJson(kind, input.report_);
    }
    return { { "node", input.self_.id_ }, { "zone", input.zone_ },
        { "ageMs", wholeMilliseconds(input.now_ - input.report_.collectedAt_) },
        { "tookMs", wholeMilliseconds(input.report_.took_) }, { "requests", input.report_.requests_ },
        { "unreachableZones", unreachable }, { "missingNodes", missing }, { "config", config },
        { "zones", zonesJson(input) }, { "services", servicesJson(input) },
        { "shardsWithoutOwner", shardsJson(input) } };
}

auto loadsOf(const MeshReport& report, TimePoint now) -> std::map<ServiceZone, ServiceLoad>
{
    std::map<ServiceZone, ServiceLoad> loads;
    for (const auto& [zone, part] : report.zones_) {
        for (const auto& [service, figures] : part.report_.services_) {
            if (part.reachable_ && figures.nodes_ > 0) {
                loads[{ service, zone }]
                    = { figures.inFlight_, figures.limit_, figures.queued_, now - part.figuresAt_ };
            }
        }
    }
    return loads;
}

} // namespace wagtailhead
