/// Seeded random schedules of faults against the protocol, compared with a naive version.
#include "presence_simulation.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdlib>

using namespace wagtailhead;

namespace {

constexpr int defaultSchedules = 30;
constexpr int defaultLongSchedules = 3;
constexpr int stepsPerSchedule = 30;

auto scheduleCount(int fallback) -> int
{
    const char* text = std::getenv("WAGTAILHEAD_SCHEDULES");
    return text ? std::max(1, std::atoi(text)) : fallback;
}

/// The naive version: one list that every node would poll. It knows the truth at once, so after healing
/// all nodes of the protocol must show what it shows.
struct NaiveList {
    struct Entry {
        Incarnation incarnation_ = 0;
        bool leaving_ = false;
        bool running_ = true;
    };

    std::map<NodeId, Entry> members_;
    std::map<std::string, std::uint64_t> generations_;
};

/// What one run of a node has shown so far, for the invariants.
struct Shown {
    Incarnation run_ = 0;
    std::map<std::string, std::uint64_t> generations_;
    std::map<NodeId, Incarnation> incarnations_;
    std::map<NodeId, Incarnation> leaving_;
};

class Schedule {
public:
    Schedule(std::uint64_t seed, std::size_t nodes, Duration longestStep)
        : seed_(seed)
        , random_(seed)
        , longestStep_(longestStep)
        , simulation_(SimulationOptions {}, seed)
        , shown_(nodes)
        , side_(nodes, 0)
    {
        static constexpr std::array names { "riga-a", "kurzeme-a", "riga-b", "kurzeme-b" };
        for (std::size_t i = 0; i < nodes; ++i) {
            const std::string zone = names.at(i % names.size());
            auto member = simulatedMember(i, zone, zone.substr(0, zone.find('-')), "katalogs");
            if (i < 2) {
                peers_.push_back({ member.gossip_, {} });
            }
            naive_.members_[member.ref_.id_] = { member.ref_.incarnation_, false, true };
            simulation_.add(std::move(member), peers_);
        }
        simulation_.setReachability([this](std::size_t from, std::size_t to) {
            return side_[from] == side_[to];
        });
        simulation_.setObserver([this](std::size_t node) {
            check(node);
        });
        simulation_.runFor(seconds(20));
    }

    auto step() -> void
    {
        switch (number(0, 9)) {
        case 0:
        case 1:
        case 2:
            publish();
            break;
        case 3:
            crash();
            break;
        case 4:
            restart();
            break;
        case 5:
            freezeOrThaw();
            break;
        case 6:
            partition();
            break;
        case 7:
            std::fill(side_.begin(), side_.end(), 0);
            break;
        case 8:
            simulation_.setLoss(number(0, 3) * 0.1);
            break;
        default:
            leave();
        }
        simulation_.runFor(Duration(number(0, longestStep_.count())));
    }

    auto publish() -> void
    {
        const auto node = randomNode();
        if (!simulation_.isRunning(node) || simulation_.isFrozen(node)) {
            return;
        }
        const auto key = "config/" + std::to_string(number(0, 3));
        const auto generation = ++naive_.generations_[key];
        // Small values travel with events, large ones are asked for.
        const std::string value(number(0, 1) == 0 ? 10 : 5000, 'v');
        simulation_.with(node, [&](MembershipProtocol& protocol, TimePoint now) {
            protocol.publish(now, { key, generation, key + "@" + std::to_string(generation) + value });
        });
    }

    auto partition() -> void
    {
        for (auto& side : side_) {
            side = static_cast<int>(number(0, 1));
        }
    }

    /// Splits the group by region.
    auto splitRegions() -> void
    {
        for (std::size_t i = 0; i < side_.size(); ++i) {
            side_[i] = static_cast<int>(i % 2);
        }
    }

    auto run(Duration duration) -> void
    {
        simulation_.runFor(duration);
    }

    /// Ends all faults, waits, and compares every node with the naive version.
    auto finish() -> void
    {
        std::fill(side_.begin(), side_.end(), 0);
        simulation_.setLoss(0);
        for (std::size_t i = 0; i < side_.size(); ++i) {
            if (simulation_.isRunning(i) && simulation_.isFrozen(i)) {
                simulation_.thaw(i);
            }
        }
        // An item whose only holder has crashed is lost to gossip; the store would bring it back.
        for (const auto& [key, generation] : naive_.generations_) {
            const VersionedItem item { key, generation, key + "@" + std::to_string(generation) };
            simulation_.with(firstRunning(), [&item](MembershipProtocol& protocol, TimePoint now) {
                protocol.publish(now, item);
            });
        }
        simulation_.runFor(seconds(180));
        for (std::size_t i = 0; i < side_.size(); ++i) {
            if (simulation_.isRunning(i)) {
                compare(i);
            }
        }
    }

private:
    auto number(std::int64_t low, std::int64_t high) -> std::int64_t
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }

    auto randomNode() -> std::size_t
    {
        return static_cast<std::size_t>(number(0, static_cast<std::int64_t>(side_.size()) - 1));
    }

    auto firstRunning() const -> std::size_t
    {
        std::size_t node = 0;
        while (!simulation_.isRunning(node)) {
            ++node;
        }
        return node;
    }

    auto idOf(std::size_t node) const -> NodeId
    {
        return "node-" + std::to_string(node);
    }

    auto crash() -> void
    {
        const auto node = randomNode();
        std::size_t running = 0;
        for (std::size_t i = 0; i < side_.size(); ++i) {
            running += simulation_.isRunning(i) ? 1 : 0;
        }
        if (running > 2 && simulation_.isRunning(node)) {
            simulation_.crash(node);
            naive_.members_[idOf(node)].running_ = false;
        }
    }

    auto restart() -> void
    {
        const auto node = randomNode();
        if (!simulation_.isRunning(node)) {
            simulation_.restart(node, peers_);
            naive_.members_[idOf(node)]
                = { simulation_.protocol(node).self().ref_.incarnation_, false, true };
        }
    }

    auto freezeOrThaw() -> void
    {
        const auto node = randomNode();
        if (simulation_.isRunning(node)) {
            simulation_.isFrozen(node) ? simulation_.thaw(node) : simulation_.freeze(node);
        }
    }

    auto leave() -> void
    {
        const auto node = randomNode();
        if (number(0, 3) == 0 && simulation_.isRunning(node) && !simulation_.isFrozen(node)) {
            naive_.members_[idOf(node)].leaving_ = true;
            simulation_.with(node, [](MembershipProtocol& protocol, TimePoint now) {
                protocol.leave(now);
            });
        }
    }

    /// The invariants that hold at every node after each event.
    auto check(std::size_t node) -> void
    {
        const auto& protocol = simulation_.protocol(node);
        auto& shown = shown_[node];
        if (shown.run_ != protocol.self().ref_.incarnation_) {
            shown = {};
            shown.run_ = protocol.self().ref_.incarnation_;
        }
        for (const auto& [key, newest] : naive_.generations_) {
            const auto item = protocol.findItem(key);
            const auto generation = item ? item->generation_ : 0;
            auto& last = shown.generations_[key];
            cr_assert(generation >= last, "seed %lu node %zu: %s went back", seed_, node, key.c_str());
            cr_assert(!item || item->value_.starts_with(key + "@" + std::to_string(generation)),
                "seed %lu node %zu: %s has the value of another generation", seed_, node, key.c_str());
            last = generation;
        }
        for (const auto& [id, entry] : naive_.members_) {
            const auto* member = protocol.findMember(id);
            if (!member) {
                continue;
            }
            auto& last = shown.incarnations_[id];
            const auto incarnation = member->ref_.incarnation_;
            cr_assert(incarnation >= last, "seed %lu node %zu: %s is shown as its predecessor", seed_, node,
                id.c_str());
            last = incarnation;
            auto& leaving = shown.leaving_[id];
            cr_assert(leaving != incarnation || member->state_ == MemberState::Leaving
                    || member->state_ == MemberState::Dead,
                "seed %lu node %zu: %s takes calls again after leaving", seed_, node, id.c_str());
            leaving = member->state_ == MemberState::Leaving ? incarnation : leaving;
        }
    }

    auto compare(std::size_t node) -> void
    {
        const auto& protocol = simulation_.protocol(node);
        for (const auto& [key, generation] : naive_.generations_) {
            const auto item = protocol.findItem(key);
            cr_assert(item && item->generation_ == generation, "seed %lu node %zu: %s is old", seed_, node,
                key.c_str());
        }
        for (const auto& [id, entry] : naive_.members_) {
            const auto* member = protocol.findMember(id);
            if (!entry.running_) {
                cr_assert(!member || member->state_ == MemberState::Dead,
                    "seed %lu node %zu: %s is shown and does not run", seed_, node, id.c_str());
                continue;
            }
            const auto expected = entry.leaving_ ? MemberState::Leaving : MemberState::Alive;
            cr_assert(member && member->ref_.incarnation_ == entry.incarnation_ && member->state_ == expected,
                "seed %lu node %zu: %s is %s", seed_, node, id.c_str(),
                member ? memberStateName(member->state_) : "unknown");
        }
    }

    std::uint64_t seed_;
    std::mt19937_64 random_;
    Duration longestStep_;
    NaiveList naive_;
    PresenceSimulation simulation_;
    std::vector<Shown> shown_;
    std::vector<int> side_;
    std::vector<SeedAddress> peers_;
};

} // namespace

/// Guards against lost, reverted or mixed-up news under loss, partitions, freezes and restarts.
Test(membership_schedule, all_nodes_agree_with_the_naive_list_after_random_faults, .timeout = 0)
{
    const int count = scheduleCount(defaultSchedules);
    for (int i = 0; i < count; ++i) {
        const auto seed = static_cast<std::uint64_t>(i) + 1;
        const auto nodes = 3 + static_cast<std::size_t>(i) % 12;
        Schedule schedule(seed, nodes, seconds(15));
        for (int step = 0; step < stepsPerSchedule; ++step) {
            schedule.step();
        }
        schedule.finish();
    }
}

/// Guards against regions that stay apart after a partition that outlasts the tombstones.
Test(membership_schedule, regions_join_again_after_more_than_an_hour, .timeout = 0)
{
    const int count = scheduleCount(defaultLongSchedules);
    for (int i = 0; i < count; ++i) {
        Schedule schedule(
            static_cast<std::uint64_t>(i) + 1000, 4 + 2 * (static_cast<std::size_t>(i) % 3), seconds(15));
        schedule.splitRegions();
        schedule.run(std::chrono::minutes(30));
        schedule.publish();
        schedule.run(std::chrono::minutes(30 + 5 * (i % 3)));
        schedule.finish();
    }
}
