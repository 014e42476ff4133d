/// Store agents on a virtual clock: faults of the store, the network and the nodes.
#include "agent_world.h"

#include "wagtailhead/log.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdlib>
#include <nlohmann/json.hpp>

using namespace wagtailhead;

namespace {

constexpr int defaultSchedules = 10;
constexpr int stepsPerSchedule = 25;

auto scheduleCount() -> int
{
    const char* text = std::getenv("WAGTAILHEAD_SCHEDULES");
    return text ? std::max(1, std::atoi(text)) : defaultSchedules;
}

/// One random schedule with the invariants of leases and generations.
class AgentSchedule {
public:
    explicit AgentSchedule(std::uint64_t seed)
        : seed_(seed)
        , random_(seed)
        , world_(seed, 2, 2 + seed % 4)
        , generations_(world_.size())
        , side_(world_.size(), 0)
        , cut_(world_.size(), false)
    {
        world_.simulation_.setReachability([this](std::size_t from, std::size_t to) {
            return side_[from] == side_[to];
        });
        world_.network_.setReachability([this](std::size_t caller) {
            return !cut_[caller];
        });
        world_.network_.store_.setWriteObserver([this](const StoreObject& object) {
            checkWrite(object);
        });
        initLog("store_tests", LogLevel::Error);
        world_.writeConfig(++generation_);
        run(seconds(30));
    }

    auto step() -> void
    {
        auto& faults = world_.network_.faults_;
        switch (number(0, 11)) {
        case 0:
            faults.outage_ = !faults.outage_;
            break;
        case 1:
            faults.silent_ = !faults.silent_;
            break;
        case 2:
            faults.loseAnswers_ = static_cast<double>(number(0, 2)) * 0.4;
            break;
        case 3:
            faults.delay_ = number(0, 1) * seconds(3);
            break;
        case 4:
            world_.network_.store_.setStaleReads(number(0, 1) == 1);
            break;
        case 5:
        case 6:
            freezeOrThaw(randomNode());
            break;
        case 7:
            crashOrRestart(randomNode());
            break;
        case 8:
            for (auto& side : side_) {
                side = static_cast<int>(number(0, 1));
            }
            break;
        case 9:
            std::fill(side_.begin(), side_.end(), 0);
            break;
        case 10:
            for (std::size_t i = 0; i < cut_.size(); ++i) {
                cut_[i] = number(0, 3) == 0;
            }
            break;
        default:
            generation_ += world_.writeConfig(generation_ + 1) ? 1 : 0;
        }
        run(Duration(number(0, Duration(seconds(25)).count())));
    }

    auto finish() -> void
    {
        world_.network_.faults_ = {};
        world_.network_.store_.setStaleReads(false);
        std::fill(side_.begin(), side_.end(), 0);
        std::fill(cut_.begin(), cut_.end(), false);
        for (std::size_t i = 0; i < world_.size(); ++i) {
            if (!world_.simulation_.isRunning(i)) {
                crashOrRestart(i);
            } else if (world_.simulation_.isFrozen(i)) {
                world_.simulation_.thaw(i);
            }
        }
        run(seconds(120));
        cr_assert(world_.writeConfig(++generation_));
        run(seconds(20));
        for (std::size_t i = 0; i < world_.size(); ++i) {
            const auto item = world_.nodes_[i]->items_.find("config/classes");
            cr_assert(item && item->generation_ == generation_, "seed %lu node %zu has an old configuration",
                seed_, i);
        }
        for (const std::string zone : { "zone-0", "zone-1" }) {
            cr_assert_eq(world_.holders(zone, 0) + world_.holders(zone, 1), 2,
                "seed %lu: %s has no two agents", seed_, zone.c_str());
            const auto* seeds = world_.network_.store_.find("seeds/" + zone);
            cr_assert(seeds && !parseSeeds(*seeds).empty(), "seed %lu: %s has no seeds", seed_, zone.c_str());
        }
    }

private:
    auto number(std::int64_t low, std::int64_t high) -> std::int64_t
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }

    auto randomNode() -> std::size_t
    {
        return static_cast<std::size_t>(number(0, static_cast<std::int64_t>(world_.size()) - 1));
    }

    auto freezeOrThaw(std::size_t node) -> void
    {
        if (world_.simulation_.isRunning(node)) {
            world_.simulation_.isFrozen(node) ? world_.simulation_.thaw(node)
                                              : world_.simulation_.freeze(node);
        }
    }

    auto crashOrRestart(std::size_t node) -> void
    {
        if (!world_.simulation_.isRunning(node)) {
            world_.restart(node);
            generations_[node].clear();
        } else if (!world_.simulation_.isFrozen(node)) {
            world_.simulation_.crash(node);
        }
    }

    auto run(Duration duration) -> void
    {
        world_.run(duration, [this] {
            check();
        });
    }

    auto check() -> void
    {
        for (const std::string zone : { "zone-0", "zone-1" }) {
            for (const int lease : { 0, 1 }) {
                cr_assert(world_.holders(zone, lease) <= 1, "seed %lu: %s has two holders of lease %d", seed_,
                    zone.c_str(), lease);
            }
        }
        for (std::size_t i = 0; i < world_.size(); ++i) {
            for (const auto& item : world_.nodes_[i]->items_.list()) {
                auto& last = generations_[i][item.key_];
                cr_assert(
                    item.generation_ >= last, "seed %lu node %zu: %s went back", seed_, i, item.key_.c_str());
                last = item.generation_;
            }
        }
    }

    /// A write under an earlier lease never takes effect after one under a later one.
    auto checkWrite(const StoreObject& object) -> void
    {
        if (!object.key_.starts_with("seeds/")) {
            return;
        }
        const auto json = nlohmann::json::parse(object.value_);
        const auto version = json["leaseVersion"].get<StoreVersion>();
        auto& last = fences_[json["lease"].get<std::string>()];
        cr_assert(version >= last, "seed %lu: a former holder has written %s", seed_, object.key_.c_str());
        last = version;
    }

    std::uint64_t seed_;
    std::mt19937_64 random_;
    AgentWorld world_;
    std::uint64_t generation_ = 0;
    std::vector<std::map<std::string, std::uint64_t>> generations_;
    std::vector<int> side_;
    std::vector<bool> cut_;
    std::map<std::string, StoreVersion> fences_;
};

/// Returns the calls of a healthy minute, and of a minute of outage, with this many nodes for each zone.
auto callsPerMinute(std::size_t nodesPerZone) -> std::pair<std::uint64_t, std::uint64_t>
{
    AgentWorld world(7, 2, nodesPerZone);
    world.writeConfig(1);
    world.run(seconds(90));
    const auto start = world.network_.calls_.total();
    world.run(seconds(60));
    const auto healthy = world.network_.calls_.total() - start;
    world.network_.faults_.outage_ = true;
    world.run(seconds(60));
    const auto outageStart = world.network_.calls_.total();
    world.run(seconds(60));
    return { healthy, world.network_.calls_.total() - outageStart };
}

} // namespace

/// Guards against two effective holders of a lease, configurations that go back or stay behind, and zones
/// that end without agents, under random faults of store, network and nodes.
Test(store_agent, invariants_hold_and_all_nodes_converge_after_random_faults, .timeout = 0)
{
    const int count = scheduleCount();
    for (int i = 0; i < count; ++i) {
        AgentSchedule schedule(static_cast<std::uint64_t>(i) + 1);
        for (int step = 0; step < stepsPerSchedule; ++step) {
            schedule.step();
        }
        schedule.finish();
    }
}

/// Guards against store calls that grow with the number of nodes.
Test(store_agent, store_calls_do_not_grow_with_the_nodes_of_a_zone, .timeout = 0)
{
    // For each zone: two leases renewed every 3 s and two watches of 10 s, with some slack. In an outage:
    // three candidates with pauses of 7.5 to 15 s, for reads of the leases.
    constexpr std::uint64_t healthyBound = 2 * 2 * (20 + 6) + 20;
    constexpr std::uint64_t outageBound = 2 * 3 * 8 + 20;
    for (const std::size_t nodes : { 3, 12, 30 }) {
        const auto [healthy, outage] = callsPerMinute(nodes);
        cr_expect(healthy <= healthyBound, "%zu nodes: %lu calls", nodes, healthy);
        cr_expect(outage <= outageBound, "%zu nodes: %lu calls in an outage", nodes, outage);
    }
}

/// Guards against a rolled-back store that brings an old configuration back.
Test(store_agent, a_rolled_back_store_reverts_nothing_and_is_noticed)
{
    AgentWorld world(3, 1, 3);
    world.writeConfig(1);
    world.run(seconds(30));
    const auto before = world.network_.store_.version();
    world.writeConfig(2);
    world.run(seconds(10));
    world.network_.store_.rollBack(before);
    world.run(seconds(60));
    std::uint64_t refused = 0;
    std::uint64_t rollbacks = 0;
    for (std::size_t i = 0; i < world.size(); ++i) {
        cr_assert_eq(world.nodes_[i]->items_.find("config/classes")->generation_, 2);
        refused += world.nodes_[i]->logic_->stats().itemsRefused_;
        rollbacks += world.nodes_[i]->logic_->stats().rollbacksSeen_;
    }
    cr_assert(refused > 0 && rollbacks > 0, "refused %lu, rollbacks %lu", refused, rollbacks);
    world.writeConfig(3);
    world.run(seconds(20));
    for (std::size_t i = 0; i < world.size(); ++i) {
        cr_assert_eq(world.nodes_[i]->items_.find("config/classes")->generation_, 3);
    }
}

/// Guards against zones that never meet because their nodes know no common address but the store's.
Test(store_agent, zones_without_common_peers_meet_through_the_seeds_in_the_store)
{
    AgentWorld world(5, 2, 2, AgentWorld::Peers::OwnZone);
    world.run(seconds(60));
    for (std::size_t i = 0; i < world.size(); ++i) {
        cr_assert_eq(world.simulation_.protocol(i).liveCount(), 4, "node %zu", i);
    }
    const auto* seeds = world.network_.store_.find("seeds/zone-0");
    cr_assert(seeds);
    const auto addresses = parseSeeds(*seeds);
    cr_assert_eq(addresses.size(), 2);
    cr_assert_eq(addresses.front().zone_, "zone-0");
}
