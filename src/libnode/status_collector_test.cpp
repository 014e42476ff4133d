#include "status_collector.h"

#include <asio/post.hpp>
#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto memberIn(const NodeId& id, const std::string& zone, MemberState state = MemberState::Alive) -> Member
{
    Member member;
    member.ref_ = { id, 1 };
    member.zone_ = zone;
    member.service_ = "katalogs";
    member.state_ = state;
    return member;
}

auto oneNode(const NodeId& id) -> ZoneReport
{
    NodeFigures figures;
    figures.node_ = id;
    figures.service_ = "katalogs";
    return reportOf(figures);
}

/// A collector at node a1 in zone a with scripted answers of the other nodes.
class Mesh {
public:
    explicit Mesh(StatusCollectorOptions options = {})
        : collector_({ context_, members_, { "a1", 1 }, "a",
                         [] {
                             return oneNode("a1");
                         },
                         [this](const Member& member, bool wholeZone, Duration,
                             const std::function<void(std::optional<ZoneReport>)>& callback) {
                             ask(member.ref_.id_, wholeZone, callback);
                         },
                         [this](const std::function<void(bool)>& callback) {
                             asio::post(context_, [this, callback] {
                                 callback(storeUp_);
                             });
                         } },
            options)
    {
        members_.replace({ { "a1", memberIn("a1", "a") }, { "a2", memberIn("a2", "a") },
            { "a3", memberIn("a3", "a", MemberState::Leaving) },
            { "a4", memberIn("a4", "a", MemberState::Dead) }, { "b1", memberIn("b1", "b") },
            { "b2", memberIn("b2", "b") } });
    }

    auto collect() -> MeshReport
    {
        std::optional<MeshReport> report;
        collector_.collectMesh([&](const MeshReport& result) {
            report = result;
        });
        while (!report) {
            context_.restart();
            context_.run_one_for(seconds(30));
        }
        return *report;
    }

    std::set<NodeId> silent_; ///< Answer never.
    std::set<NodeId> refusing_; ///< Fail at once.
    std::vector<std::string> asked_;
    bool storeUp_ = true;
    asio::io_context context_;
    MemberTable members_;

private:
    auto ask(const NodeId& id, bool wholeZone, const std::function<void(std::optional<ZoneReport>)>& callback)
        -> void
    {
        asked_.push_back(id + (wholeZone ? " zone" : ""));
        if (silent_.contains(id)) {
            return;
        }
        asio::post(context_, [this, id, callback] {
            callback(refusing_.contains(id) ? std::nullopt : std::optional(oneNode(id)));
        });
    }

    StatusCollector collector_;
};

auto count(const std::vector<std::string>& asked, const std::string& suffix) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(asked.begin(), asked.end(), [&](const std::string& each) {
        return each.ends_with(suffix);
    }));
}

} // namespace

/// Guards against a cost that grows with the fleet: one request for each node of the own zone and one for
/// each other zone.
Test(status_collector, asks_the_own_zone_and_one_node_of_each_other)
{
    Mesh mesh;
    const auto report = mesh.collect();
    cr_assert_eq(mesh.asked_.size(), 3);
    cr_assert_eq(count(mesh.asked_, " zone"), 1);
    cr_assert_eq(report.requests_, 3);
    cr_assert_eq(report.zones_.at("a").report_.nodes_, 3);
    cr_assert(report.zones_.at("a").report_.storeReachable_ == true);
    cr_assert(report.zones_.at("b").reachable_);
}

/// Guards against frequent readers multiplying the cost.
Test(status_collector, reports_are_shared_for_a_while)
{
    StatusCollectorOptions options;
    options.reuse_ = std::chrono::hours(1);
    Mesh mesh(options);
    mesh.collect();
    mesh.collect();
    cr_assert_eq(mesh.asked_.size(), 3);
}

/// Guards against one silent node holding up the whole report, or being counted as in order.
Test(status_collector, silent_nodes_are_named_after_the_limit)
{
    StatusCollectorOptions options;
    options.collectLimit_ = milliseconds(20);
    Mesh mesh(options);
    mesh.silent_ = { "a2" };
    const auto report = mesh.collect();
    const auto& zone = report.zones_.at("a").report_;
    cr_assert_eq(zone.nodes_, 2);
    cr_assert_eq(zone.missing_, 1);
    cr_assert(zone.namedMissing_.contains("a2"));
}

/// Guards against a zone being called unreachable because of one bad node, and against a cut zone passing
/// as reachable. Its last figures stay, with their age.
Test(status_collector, zones_are_unreachable_when_two_nodes_fail)
{
    StatusCollectorOptions options;
    options.reuse_ = Duration::zero();
    Mesh mesh(options);
    mesh.storeUp_ = false;
    const auto first = mesh.collect();
    cr_assert(first.zones_.at("a").report_.storeReachable_ == false);
    const auto before = first.zones_.at("b").figuresAt_;
    mesh.refusing_ = { mesh.asked_.at(mesh.asked_[0].ends_with("zone") ? 0 : 2).substr(0, 2) };
    cr_assert(mesh.collect().zones_.at("b").reachable_);
    mesh.refusing_ = { "b1", "b2" };
    const auto cut = mesh.collect().zones_.at("b");
    cr_assert(!cut.reachable_);
    cr_assert(cut.known_);
    cr_assert(cut.figuresAt_ >= before && cut.figuresAt_ <= Clock::now());
}

/// Guards against all nodes loading the same node of a zone for ever, or each asking another one.
Test(status_collector, relays_are_shared_and_change_with_time)
{
    std::map<NodeId, Member> all;
    for (int i = 0; i < 50; ++i) {
        const auto id = "n" + std::to_string(i);
        all[id] = memberIn(id, "a");
    }
    MemberTable table;
    const auto members = table.replace(std::move(all));
    std::set<NodeId> chosen;
    const WallClock::time_point start(std::chrono::hours(1));
    for (int minute = 0; minute < 60; ++minute) {
        const auto at = start + std::chrono::minutes(minute);
        const auto id = rankRelays(*members, "a", at).front()->ref_.id_;
        cr_assert(rankRelays(*members, "a", at + seconds(59)).front()->ref_.id_ == id);
        chosen.insert(id);
    }
    cr_assert_gt(chosen.size(), 20);
}
