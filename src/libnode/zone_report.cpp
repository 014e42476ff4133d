#include "zone_report.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

auto addCounts(PriorityCounts& sum, const PriorityCounts& part) -> void
{
    for (std::size_t i = 0; i < priorityCount; ++i) {
        sum.at(i) += part.at(i);
    }
}

auto addTotals(PriorityTotals& sum, const PriorityTotals& part) -> void
{
    addCounts(sum.total_, part.total_);
    addCounts(sum.recent_, part.recent_);
}

auto addNames(std::set<NodeId>& sum, const std::set<NodeId>& part) -> void
{
    for (const auto& name : part) {
        if (sum.size() < maxNamedNodes) {
            sum.insert(name);
        }
    }
}

auto isZero(const PriorityTotals& totals) -> bool
{
    return totals.total_ == PriorityCounts {};
}

// Fields have one or two letters, because thousands of nodes send this text.

auto totalsJson(const PriorityTotals& totals) -> Json
{
    return Json::array({ totals.total_, totals.recent_ });
}

auto totalsFrom(const Json& json) -> PriorityTotals
{
    return { json.at(0).get<PriorityCounts>(), json.at(1).get<PriorityCounts>() };
}

auto serviceJson(const ServiceFigures& figures) -> Json
{
    Json json { { "n", figures.nodes_ } };
    if (figures.nodes_ > 0) {
        json["f"] = { figures.limit_, figures.inFlight_, figures.queued_ };
        json["v"] = { static_cast<int>(figures.level_.priority_), figures.level_.keepBelow_ };
    }
    if (!isZero(figures.shed_)) {
        json["s"] = totalsJson(figures.shed_);
    }
    return json;
}

auto serviceFrom(const Json& json) -> ServiceFigures
{
    ServiceFigures figures;
    figures.nodes_ = json.at("n").get<int>();
    if (json.contains("f")) {
        const auto& numbers = json.at("f");
        figures.limit_ = numbers.at(0).get<int>();
        figures.inFlight_ = numbers.at(1).get<int>();
        figures.queued_ = numbers.at(2).get<int>();
        figures.level_.priority_ = allPriorities.at(json.at("v").at(0).get<std::size_t>());
        figures.level_.keepBelow_ = json.at("v").at(1).get<std::uint64_t>();
    }
    if (json.contains("s")) {
        figures.shed_ = totalsFrom(json.at("s"));
    }
    return figures;
}

auto generationsJson(const ZoneReport& report) -> Json
{
    auto kinds = Json::object();
    for (const auto& [kind, groups] : report.generations_) {
        auto list = Json::array();
        for (const auto& [generation, group] : groups) {
            list.push_back({ generation, group.nodes_, group.named_ });
        }
        kinds[configKindName(kind)] = std::move(list);
    }
    return kinds;
}

/// Kinds that this version does not know are left out.
auto readGenerations(const Json& json, ZoneReport& report) -> void
{
    for (const auto& [name, list] : json.items()) {
        const auto kind = parseConfigKind(name);
        if (!isOk(kind)) {
            continue;
        }
        for (const auto& group : list) {
            report.generations_[valueOf(kind)][group.at(0).get<std::uint64_t>()]
                = { group.at(1).get<int>(), group.at(2).get<std::set<NodeId>>() };
        }
    }
}

auto readReport(const Json& json) -> ZoneReport
{
    ZoneReport report;
    report.nodes_ = json.at("n").get<int>();
    if (json.contains("u")) {
        report.storeReachable_ = json.at("u").get<bool>();
    }
    report.silentConnections_ = json.at("c").get<std::uint64_t>();
    report.unknown_ = totalsFrom(json.at("x"));
    report.missing_ = json.at("m").get<int>();
    report.namedMissing_ = json.at("mn").get<std::set<NodeId>>();
    report.age_ = milliseconds(json.at("a").get<std::int64_t>());
    for (const auto& [service, figures] : json.at("s").items()) {
        report.services_[service] = serviceFrom(figures);
    }
    readGenerations(json.at("g"), report);
    return report;
}

} // namespace

auto reportOf(const NodeFigures& figures) -> ZoneReport
{
    ZoneReport report;
    report.nodes_ = 1;
    report.silentConnections_ = figures.silentConnections_;
    report.unknown_ = figures.overload_.unknown_;
    for (const auto& [service, shed] : figures.overload_.shed_) {
        report.services_[service].shed_ = shed;
    }
    auto& own = report.services_[figures.service_];
    own.nodes_ = 1;
    own.limit_ = figures.admission_.limit_;
    own.inFlight_ = figures.admission_.inFlight_;
    own.queued_ = figures.admission_.queued_;
    own.level_ = figures.admission_.level_;
    for (const auto kind : allConfigKinds) {
        const auto found = figures.generations_.find(kind);
        const auto generation = found == figures.generations_.end() ? 0 : found->second;
        report.generations_[kind][generation] = { 1, { figures.node_ } };
    }
    return report;
}

auto merge(ZoneReport& sum, const ZoneReport& part) -> void
{
    sum.nodes_ += part.nodes_;
    if (part.storeReachable_) {
        sum.storeReachable_ = sum.storeReachable_.value_or(true) && *part.storeReachable_;
    }
    sum.silentConnections_ += part.silentConnections_;
    addTotals(sum.unknown_, part.unknown_);
    for (const auto& [service, figures] : part.services_) {
        auto& to = sum.services_[service];
        to.nodes_ += figures.nodes_;
        to.limit_ += figures.limit_;
        to.inFlight_ += figures.inFlight_;
        to.queued_ += figures.queued_;
        if (isStricter(figures.level_, to.level_)) {
            to.level_ = figures.level_;
        }
        addTotals(to.shed_, figures.shed_);
    }
    for (const auto& [kind, groups] : part.generations_) {
        for (const auto& [generation, group] : groups) {
            auto& to = sum.generations_[kind][generation];
            to.nodes_ += group.nodes_;
            addNames(to.named_, group.named_);
        }
    }
    sum.missing_ += part.missing_;
    addNames(sum.namedMissing_, part.namedMissing_);
    sum.age_ = std::max(sum.age_, part.age_);
}

auto addMissing(ZoneReport& sum, const NodeId& node) -> void
{
    ++sum.missing_;
    addNames(sum.namedMissing_, { node });
}

auto formatReport(const ZoneReport& report) -> std::string
{
    auto services = Json::object();
    for (const auto& [service, figures] : report.services_) {
        services[service] = serviceJson(figures);
    }
    Json json { { "n", report.nodes_ }, { "c", report.silentConnections_ },
        { "x", totalsJson(report.unknown_) }, { "m", report.missing_ }, { "mn", report.namedMissing_ },
        { "a", std::chrono::duration_cast<milliseconds>(report.age_).count() }, { "s", services },
        { "g", generationsJson(report) } };
    if (report.storeReachable_) {
        json["u"] = *report.storeReachable_;
    }
    return json.dump();
}

auto parseReport(std::string_view json) -> Result<ZoneReport>
{
    try {
        return readReport(Json::parse(json));
    } catch (const std::exception& error) {
        return Error { ErrorCode::InvalidArgument,
            std::string("a status report is malformed: ") + error.what() };
    }
}

} // namespace wagtailhead
