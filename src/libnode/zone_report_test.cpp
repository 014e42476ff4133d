#include "mesh_status.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace wagtailhead;

namespace {

constexpr TimePoint now(seconds(1000));

auto figuresOf(const NodeId& node, const std::string& service, std::uint64_t generation) -> NodeFigures
{
    NodeFigures figures;
    figures.node_ = node;
    figures.service_ = service;
    figures.admission_.limit_ = 10;
    figures.admission_.inFlight_ = 4;
    figures.admission_.queued_ = 1;
    figures.generations_[ConfigKind::Retries] = generation;
    figures.silentConnections_ = 2;
    return figures;
}

auto mergedZone() -> ZoneReport
{
    auto first = figuresOf("a", "katalogs", 7);
    first.overload_.shed_["krajums"].total_ = { 0, 1, 2, 3 };
    first.overload_.unknown_.recent_ = { 5, 0, 0, 0 };
    first.admission_.level_ = { Priority::Internal, 99 };
    auto sum = reportOf(first);
    auto second = reportOf(figuresOf("b", "katalogs", 6));
    second.age_ = milliseconds(40);
    merge(sum, second);
    merge(sum, reportOf(figuresOf("c", "krajums", 7)));
    addMissing(sum, "d");
    sum.storeReachable_ = true;
    return sum;
}

} // namespace

/// Guards against figures that get lost, doubled or mixed up between services on their way to operators.
Test(zone_report, sums_survive_the_way_to_another_node)
{
    const auto parsed = parseReport(formatReport(mergedZone()));
    cr_assert(isOk(parsed));
    const auto& zone = valueOf(parsed);
    cr_assert_eq(zone.nodes_, 3);
    cr_assert_eq(zone.missing_, 1);
    cr_assert(zone.namedMissing_.contains("d"));
    cr_assert_eq(zone.silentConnections_, 6);
    cr_assert(zone.storeReachable_ == true);
    cr_assert(zone.age_ == milliseconds(40));
    const auto& katalogs = zone.services_.at("katalogs");
    cr_assert_eq(katalogs.nodes_, 2);
    cr_assert_eq(katalogs.limit_, 20);
    cr_assert_eq(katalogs.inFlight_, 8);
    cr_assert_eq(katalogs.queued_, 2);
    cr_assert(katalogs.level_ == (SheddingLevel { Priority::Internal, 99 }));
    cr_assert_eq(zone.services_.at("krajums").shed_.total_[2], 2);
    cr_assert_eq(zone.services_.at("krajums").nodes_, 1);
    cr_assert_eq(zone.unknown_.recent_[0], 5);
    const auto& groups = zone.generations_.at(ConfigKind::Retries);
    cr_assert_eq(groups.at(7).nodes_, 2);
    cr_assert(groups.at(6).named_ == std::set<NodeId> { "b" });
}

/// Guards against a malformed report of another node ending this one.
Test(zone_report, malformed_reports_are_refused)
{
    for (const auto* text : { "", "7", "{}", R"({"n":"x"})" }) {
        cr_assert(!isOk(parseReport(text)), "%s", text);
    }
    // A truncated report is refused at every length.
    const auto whole = formatReport(mergedZone());
    for (std::size_t length = 0; length < whole.size(); ++length) {
        cr_assert(!isOk(parseReport(std::string_view(whole).substr(0, length))));
    }
}

/// Guards against "in force everywhere" being told while a node lags or a zone does not answer.
Test(mesh_status, tells_where_a_configuration_lags)
{
    MeshReport report;
    report.collectedAt_ = now;
    report.zones_["riga-a"] = { mergedZone(), true, true, now - milliseconds(50) };
    report.zones_["riga-b"] = { mergedZone(), true, false, now - seconds(30) };
    report.zones_["kurzeme-a"] = {};
    Member member;
    member.ref_ = { "a", 1 };
    member.zone_ = "riga-a";
    member.service_ = "katalogs";
    member.backendUp_ = true;
    member.slots_ = 13;
    MemberTable table;
    const auto members = table.replace({ { "a", member } });
    const std::vector<ShardHolders> shards { { "katalogs", "g/1", { { "a", 1 } } },
        { "katalogs", "g/2", { { "a", 0 }, { "a", 1 } } } };
    const auto status = meshStatus({ { "a", 1 }, "riga-a", report, *members, shards, now });
    const auto& retries = status["config"]["retries"];
    cr_assert_eq(retries["generation"], 7);
    cr_assert_eq(retries["nodes"], 3);
    cr_assert_eq(retries["lagging"], 1);
    cr_assert(retries["laggingNodes"][0]["named"][0] == "b");
    cr_assert(status["unreachableZones"] == nlohmann::json({ "kurzeme-a", "riga-b" }));
    cr_assert_eq(status["shardsWithoutOwner"]["katalogs"], 1);
    const auto& rows = status["services"];
    const auto row = std::find_if(rows.begin(), rows.end(), [](const nlohmann::json& each) {
        return each["service"] == "katalogs" && each["zone"] == "riga-b";
    });
    // The last known figures of an unreachable zone are shown with their age.
    cr_assert_eq((*row)["ageMs"], 30000);
    cr_assert_eq((*row)["limit"], 20);
    cr_assert(loadsOf(report, now).contains({ "katalogs", "riga-a" }));
    cr_assert(!loadsOf(report, now).contains({ "katalogs", "riga-b" }));
}

/// Guards against shedding of the past being shown as present, or present shedding being missed.
Test(overload_counts, recent_counts_cover_ten_seconds)
{
    OverloadCounts counts;
    counts.countShed("krajums", Priority::Bulk, now);
    counts.countShed("krajums", Priority::Bulk, now + seconds(5));
    counts.countUnknown(Priority::Critical, now + seconds(5));
    const auto shedAt = [&](seconds later) {
        return counts.totals(now + later).shed_.at("krajums").recent_[3];
    };
    cr_assert_eq(shedAt(seconds(5)), 2);
    cr_assert_eq(shedAt(seconds(9)), 2);
    cr_assert_eq(shedAt(seconds(10)), 1);
    cr_assert_eq(shedAt(seconds(15)), 0);
    cr_assert_eq(counts.totals(now + seconds(60)).shed_.at("krajums").total_[3], 2);
    cr_assert_eq(counts.totals(now + seconds(6)).unknown_.recent_[0], 1);
}
