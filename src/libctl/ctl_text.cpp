#include "ctl_text.h"

#include "text_table.h"

#include <array>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

constexpr std::array priorities { "critical", "interactive", "internal", "bulk" };

/// Returns a field as text: texts without quotes, "-" if it is absent.
auto cell(const Json& json, const char* field) -> std::string
{
    const auto found = json.is_object() ? json.find(field) : json.end();
    if (!json.is_object() || found == json.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Returns a field, or `fallback` if it is absent or of another type: a node of another version may
/// answer differently.
template <typename T> auto fieldOr(const Json& json, const char* field, T fallback) -> T
{
    const auto found = json.is_object() ? json.find(field) : json.end();
    if (!json.is_object() || found == json.end()) {
        return fallback;
    }
    const bool matches = std::is_same_v<T, bool> ? found->is_boolean() : found->is_number();
    return matches ? found->template get<T>() : fallback;
}

/// Returns a list field, or an empty list.
auto list(const Json& json, const char* field) -> Json
{
    const auto found = json.is_object() ? json.find(field) : json.end();
    return json.is_object() && found != json.end() && found->is_array() ? *found : Json::array();
}

auto object(const Json& json, const char* field) -> Json
{
    const auto found = json.is_object() ? json.find(field) : json.end();
    return json.is_object() && found != json.end() && found->is_object() ? *found : Json::object();
}

auto joined(const Json& texts, const char* separator = ", ") -> std::string
{
    std::string all;
    for (const auto& text : texts) {
        all += (all.empty() ? "" : separator) + (text.is_string() ? text.get<std::string>() : text.dump());
    }
    return all.empty() ? "none" : all;
}

/// Returns the counts of the four priorities as "0/0/12/40".
auto counts(const Json& json, const char* field) -> std::string
{
    const auto values = object(json, field);
    if (values.empty()) {
        return "-";
    }
    std::string text;
    for (const auto* priority : priorities) {
        text += (text.empty() ? "" : "/") + cell(values, priority);
    }
    return text;
}

auto printSentences(std::ostream& out, const Json& plan, const char* field, const char* title) -> void
{
    for (const auto& sentence : list(plan, field)) {
        out << title << sentence.get<std::string>() << '\n';
    }
}

auto printChanges(std::ostream& out, const Json& plan) -> void
{
    TextTable table({ "CHANGE", "OLD", "NEW" });
    for (const auto& change : list(plan, "changes")) {
        table.add({ cell(change, "field"), cell(change, "old"), cell(change, "new") });
    }
    out << '\n';
    table.print(out);
}

auto printCapacity(std::ostream& out, const Json& plan) -> void
{
    const auto rows = list(plan, "capacity");
    if (rows.empty()) {
        return;
    }
    TextTable table({ "SERVICE", "ZONE", "SERVERS", "LEFT", "SLOTS", "LEFT", "IN FLIGHT", "QUEUED" });
    for (const auto& row : rows) {
        table.add({ cell(row, "service"), cell(row, "zone"), cell(row, "serversBefore"),
            cell(row, "serversAfter"), cell(row, "slotsBefore"), cell(row, "slotsAfter"),
            cell(row, "inFlight"), cell(row, "queued") });
    }
    out << '\n';
    table.print(out);
}

auto printServers(std::ostream& out, const Json& plan) -> void
{
    TextTable table({ "BACKEND SERVER OF NODE", "SERVICE", "ZONE", "STATE", "UP", "SLOTS" });
    const auto servers = list(plan, "servers");
    for (const auto& server : servers) {
        table.add({ cell(server, "id"), cell(server, "service"), cell(server, "zone"), cell(server, "state"),
            cell(server, "backendUp"), cell(server, "slots") });
    }
    if (!servers.empty()) {
        out << '\n';
        table.print(out);
    }
    const auto total = fieldOr(plan, "serverCount", servers.size());
    if (total > servers.size()) {
        out << "and " << total - servers.size() << " more\n";
    }
}

auto printConfig(std::ostream& out, const Json& status) -> void
{
    TextTable table({ "CONFIGURATION", "GENERATION", "NODES", "LAGGING", "WHERE" });
    const auto config = object(status, "config");
    for (const auto& [kind, row] : config.items()) {
        const auto spread = spreadOf(status, kind, fieldOr(row, "generation", std::uint64_t { 0 }));
        table.add({ kind, cell(row, "generation"), cell(row, "nodes"), cell(row, "lagging"), spread.where_ });
    }
    out << '\n';
    table.print(out);
}

auto printZones(std::ostream& out, const Json& status) -> void
{
    TextTable table({ "ZONE", "REGION", "REACHABLE", "NODES", "ANSWERED", "MISSING", "STORE", "UNKNOWN/10s",
        "UNKNOWN", "SILENT", "AGE MS" });
    for (const auto& row : list(status, "zones")) {
        table.add({ cell(row, "zone"), cell(row, "region"), fieldOr(row, "reachable", false) ? "yes" : "NO",
            cell(row, "nodes"), cell(row, "answered"), cell(row, "missing"),
            row.contains("storeReachable") ? (row["storeReachable"] == true ? "yes" : "NO") : "-",
            counts(row, "unknownLast10s"), counts(row, "unknown"), cell(row, "silentConnections"),
            cell(row, "ageMs") });
    }
    out << '\n';
    table.print(out);
}

auto levelText(const Json& row) -> std::string
{
    const auto level = object(row, "level");
    if (level.empty()) {
        return "-";
    }
    const auto kept = fieldOr(level, "keptShare", 1.0);
    const auto priority = cell(level, "priority");
    if (kept >= 1 && priority == "bulk") {
        return "none";
    }
    return priority + " " + std::to_string(static_cast<int>(kept * 100)) + "%";
}

auto printServices(std::ostream& out, const Json& status) -> void
{
    TextTable table({ "SERVICE", "ZONE", "SERVERS", "USABLE", "CAPACITY", "LIMIT", "IN FLIGHT", "QUEUED",
        "SHED/10s", "SHED", "KEPT", "AGE MS" });
    for (const auto& row : list(status, "services")) {
        table.add({ cell(row, "service"), cell(row, "zone"), cell(row, "servers"), cell(row, "usable"),
            cell(row, "capacity"), cell(row, "limit"), cell(row, "inFlight"), cell(row, "queued"),
            counts(row, "shedLast10s"), counts(row, "shed"), levelText(row), cell(row, "ageMs") });
    }
    out << '\n';
    table.print(out);
}

} // namespace

auto printPlan(std::ostream& out, const nlohmann::json& plan) -> void
{
    out << "intent " << cell(plan, "id") << ", " << cell(plan, "state") << ": " << cell(plan, "summary")
        << '\n';
    out << "kind " << cell(plan, "kind") << ", generation " << cell(plan, "baseGeneration") << " -> "
        << cell(plan, "generation") << ", by team " << cell(plan, "team") << " at " << cell(plan, "created")
        << ", to be confirmed before " << cell(plan, "expires") << '\n';
    if (plan.contains("confirmed")) {
        out << "confirmed by team " << cell(plan["confirmed"], "team") << " as generation "
            << cell(plan["confirmed"], "generation") << '\n';
    }
    out << "services: " << joined(list(plan, "services")) << "; zones: " << joined(list(plan, "zones"))
        << '\n';
    printChanges(out, plan);
    printCapacity(out, plan);
    printServers(out, plan);
    out << '\n';
    printSentences(out, plan, "effects", "effect: ");
    printSentences(out, plan, "warnings", "warning: ");
    for (const auto& refusal : list(plan, "refusals")) {
        out << "refused unless forced: " << cell(refusal, "detail") << '\n';
    }
}

auto printIntents(std::ostream& out, const nlohmann::json& all) -> void
{
    TextTable table({ "INTENT", "KIND", "TEAM", "STATE", "CREATED", "SUMMARY" });
    for (const auto& row : list(all, "intents")) {
        table.add({ cell(row, "id"), cell(row, "kind"), cell(row, "team"), cell(row, "state"),
            cell(row, "created"), cell(row, "summary") });
    }
    table.print(out);
}

auto printHistory(std::ostream& out, const nlohmann::json& history) -> void
{
    TextTable table({ "GENERATION", "TIME", "TEAM", "INTENT", "SUMMARY" });
    const auto entries = list(history, "history");
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
        table.add({ cell(*entry, "generation"), cell(*entry, "time"), cell(*entry, "team"),
            cell(*entry, "intent"), cell(*entry, "summary") });
    }
    table.print(out);
}

auto printStatus(std::ostream& out, const nlohmann::json& status) -> void
{
    out << "seen from node " << cell(status, "node") << " in zone " << cell(status, "zone")
        << ", collected in " << cell(status, "tookMs") << " ms, " << cell(status, "ageMs") << " ms ago\n";
    out << "unreachable zones: " << joined(list(status, "unreachableZones")) << '\n';
    out << "nodes without an answer: " << cell(status, "missingNodes") << '\n';
    auto shards = Json::array();
    const auto ownerless = object(status, "shardsWithoutOwner");
    for (const auto& [service, count] : ownerless.items()) {
        shards.push_back(service + " " + count.dump());
    }
    out << "shards without owner: " << joined(shards) << '\n';
    printConfig(out, status);
    printZones(out, status);
    printServices(out, status);
    out << "\ncounts of four numbers are for critical/interactive/internal/bulk\n";
}

auto spreadOf(const nlohmann::json& status, const std::string& kind, std::uint64_t generation) -> Spread
{
    Spread spread;
    const auto row = object(object(status, "config"), kind.c_str());
    spread.nodes_ = fieldOr(row, "nodes", std::int64_t { 0 });
    const auto highest = fieldOr(row, "generation", std::uint64_t { 0 });
    if (highest < generation) {
        spread.lagging_ = spread.nodes_;
        spread.where_ = "everywhere";
    } else {
        for (const auto& group : list(row, "laggingNodes")) {
            if (fieldOr(group, "generation", std::uint64_t { 0 }) >= generation) {
                continue;
            }
            spread.lagging_ += fieldOr(group, "nodes", std::int64_t { 0 });
            spread.where_ += (spread.where_.empty() ? "" : ", ") + cell(group, "zone") + " "
                + cell(group, "nodes") + " (" + joined(list(group, "named"), " ") + ")";
        }
    }
    spread.missing_ = fieldOr(status, "missingNodes", std::int64_t { 0 });
    const auto unreachable = list(status, "unreachableZones");
    spread.unreachable_ = unreachable.empty() ? "" : joined(unreachable);
    return spread;
}

auto refusalText(const nlohmann::json& answer) -> std::string
{
    return cell(answer, "error") + ": " + cell(answer, "detail");
}

} // namespace wagtailhead
