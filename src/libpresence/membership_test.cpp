/// Rules of the membership protocol, one by one, on the virtual network.
#include "membership_core.h"
#include "presence_simulation.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

/// A group of nodes in one region that have joined.
class Group {
public:
    explicit Group(std::size_t nodes, std::uint64_t seed = 1)
        : simulation_(SimulationOptions {}, seed)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            auto member = simulatedMember(i, "riga-a", "riga", "katalogs");
            if (i == 0) {
                peers_.push_back({ member.gossip_, {} });
            }
            simulation_.add(std::move(member), peers_);
        }
        simulation_.runFor(seconds(60));
        for (std::size_t i = 0; i < nodes; ++i) {
            cr_assert_eq(simulation_.protocol(i).liveCount(), nodes, "node %zu has not joined", i);
        }
    }

    auto stateAt(std::size_t node, std::size_t of) const -> MemberState
    {
        const auto* member = simulation_.protocol(node).findMember("node-" + std::to_string(of));
        cr_assert(member);
        return member->state_;
    }

    /// Runs until `node` shows `of` in `state`; returns the time that took.
    auto waitFor(std::size_t node, std::size_t of, MemberState state) -> Duration
    {
        const auto start = simulation_.now();
        while (stateAt(node, of) != state) {
            simulation_.runFor(milliseconds(100));
            cr_assert(simulation_.now() - start < std::chrono::minutes(5), "no %s", memberStateName(state));
        }
        return simulation_.now() - start;
    }

    PresenceSimulation simulation_;
    std::vector<SeedAddress> peers_;
};

auto messageFrom(const Member& sender, GossipKind kind) -> GossipMessage
{
    GossipMessage message;
    message.kind_ = kind;
    message.sender_ = { sender, false };
    return message;
}

constexpr TimePoint start { std::chrono::hours(1) };

} // namespace

/// Guards against death without the time for a refutation, and against deaths that nobody notices.
Test(membership, a_crashed_member_is_suspected_for_five_seconds_and_then_dead)
{
    Group group(8);
    group.simulation_.crash(3);
    group.waitFor(0, 3, MemberState::Suspect);
    cr_assert(group.waitFor(0, 3, MemberState::Dead) >= seconds(4));
    group.simulation_.runFor(seconds(10));
    for (const std::size_t node : { 1, 2, 4, 5, 6, 7 }) {
        cr_assert_eq(group.stateAt(node, 3), MemberState::Dead);
    }
}

/// Guards against tombstones that stay, and against forgetting a member too early.
Test(membership, a_dead_member_is_forgotten_after_an_hour)
{
    Group group(3);
    group.simulation_.crash(2);
    group.waitFor(0, 2, MemberState::Dead);
    group.simulation_.runFor(std::chrono::minutes(59));
    cr_assert(group.simulation_.protocol(0).findMember("node-2"));
    group.simulation_.runFor(std::chrono::minutes(2));
    cr_assert(!group.simulation_.protocol(0).findMember("node-2"));
    cr_assert(!group.simulation_.protocol(1).findMember("node-2"));
}

/// Guards against a false suspicion that becomes a death although the member answers.
Test(membership, a_suspected_member_refutes_with_its_sequence)
{
    const auto self = simulatedMember(0, "riga-a", "riga", "katalogs");
    MembershipProtocol protocol(self, {}, 1, start);
    auto rumor = messageFrom(simulatedMember(1, "riga-a", "riga", "katalogs"), GossipKind::Push);
    rumor.statuses_ = { { self.ref_, protocol.self().sequence_, MemberState::Suspect } };
    const auto before = protocol.self().sequence_;
    protocol.onRequest(start, 1, rumor);
    const auto output = protocol.takeOutput();
    cr_assert_eq(output.replies_.size(), 1);
    const auto& told = output.replies_.front().message_.sender_.member_;
    cr_assert(told.sequence_ > before);
    cr_assert_eq(told.state_, MemberState::Alive);
}

/// Guards against one bad link that makes a member look dead to everybody.
Test(membership, indirect_probes_save_a_member_that_one_node_cannot_reach)
{
    Group group(6);
    group.simulation_.setReachability([](std::size_t from, std::size_t to) {
        return !(from == 0 && to == 1) && !(from == 1 && to == 0);
    });
    for (int i = 0; i < 600; ++i) {
        group.simulation_.runFor(milliseconds(200));
        cr_assert_eq(group.stateAt(0, 1), MemberState::Alive);
    }
    cr_assert(group.simulation_.protocol(0).stats().indirectProbesSent_ > 0);
}

/// Guards against late messages of a replaced VM that bring its old record back or count as its successor.
Test(membership, messages_of_a_replaced_incarnation_change_nothing)
{
    MembershipProtocol protocol(simulatedMember(0, "riga-a", "riga", "katalogs"), {}, 1, start);
    auto old = simulatedMember(1, "riga-a", "riga", "katalogs");
    old.sequence_ = 500;
    auto successor = old;
    successor.ref_.incarnation_ += 10;
    successor.sequence_ = 1;
    successor.slots_ = 7;
    protocol.onRequest(start, 1, messageFrom(old, GossipKind::Push));
    protocol.onRequest(start, 2, messageFrom(successor, GossipKind::Push));
    auto late = messageFrom(old, GossipKind::Push);
    late.sender_.member_.sequence_ = 900;
    late.items_ = { { "config/classes", 9, "late" } };
    protocol.takeOutput();
    protocol.onRequest(start, 3, late);
    protocol.onRequest(start, 4, [&] {
        auto relayed = messageFrom(simulatedMember(2, "riga-a", "riga", "katalogs"), GossipKind::Push);
        relayed.members_ = { late.sender_ };
        relayed.statuses_ = { { old.ref_, 901, MemberState::Dead } };
        return relayed;
    }());
    cr_assert(*protocol.findMember("node-1") == successor);
    cr_assert(!protocol.findItem("config/classes"));
    // The old process is told who has replaced it.
    const auto output = protocol.takeOutput();
    cr_assert(std::any_of(output.replies_.begin(), output.replies_.end(), [&](const GossipReply& reply) {
        return reply.token_ == 3 && !reply.message_.members_.empty()
            && reply.message_.members_.front().member_ == successor;
    }));
}

/// Guards against a replaced process that goes on announcing itself.
Test(membership, a_replaced_process_learns_it_and_falls_silent)
{
    const auto self = simulatedMember(0, "riga-a", "riga", "katalogs");
    MembershipProtocol protocol(self, {}, 1, start);
    auto successor = self;
    successor.ref_.incarnation_ += 1;
    protocol.onRequest(start, 1, messageFrom(successor, GossipKind::Probe));
    cr_assert_eq(protocol.replacedBy(), successor.ref_.incarnation_);
    protocol.takeOutput();
    protocol.tick(start + seconds(10));
    cr_assert(protocol.takeOutput().requests_.empty());
}

/// Guards against new calls to a leaving member because it was shown as a mere suspect.
Test(membership, a_leaving_member_is_leaving_until_it_is_dead)
{
    Group group(5);
    group.simulation_.with(2, [](MembershipProtocol& protocol, TimePoint now) {
        protocol.leave(now);
    });
    cr_assert(group.waitFor(0, 2, MemberState::Leaving) < seconds(3));
    group.simulation_.crash(2);
    while (group.stateAt(0, 2) != MemberState::Dead) {
        cr_assert_eq(group.stateAt(0, 2), MemberState::Leaving);
        group.simulation_.runFor(milliseconds(100));
    }
}

/// Guards against a departed member that is waited for, suspected or dialled.
Test(membership, a_departed_member_is_dead_at_once_and_not_dialled)
{
    Group group(4);
    group.simulation_.with(3, [](MembershipProtocol& protocol, TimePoint now) {
        protocol.depart(now);
    });
    group.simulation_.runFor(seconds(2));
    group.simulation_.crash(3);
    const auto dials = group.simulation_.protocol(0).stats().dialsSent_;
    group.simulation_.runFor(seconds(60));
    for (const std::size_t node : { 0, 1, 2 }) {
        cr_assert_eq(group.stateAt(node, 3), MemberState::Dead);
        cr_assert_eq(group.simulation_.protocol(node).stats().suspicions_, 0);
    }
    cr_assert_eq(group.simulation_.protocol(0).stats().dialsSent_, dials);
}

/// Guards against a process that was paused and blames the others for the time it was away.
Test(membership, a_paused_process_accuses_nobody)
{
    Group group(6);
    for (int i = 0; i < 5; ++i) {
        group.simulation_.freeze(0);
        group.simulation_.runFor(seconds(30));
        group.simulation_.thaw(0);
        group.simulation_.runFor(seconds(20));
        for (std::size_t other = 1; other < 6; ++other) {
            cr_assert_eq(group.stateAt(0, other), MemberState::Alive);
            cr_assert_eq(group.stateAt(other, 0), MemberState::Alive);
        }
    }
    cr_assert_eq(group.simulation_.protocol(0).stats().suspicions_, 0);
}

/// Guards against a healed partition in which each side believes the other's word about its own members.
Test(membership, a_death_that_nobody_here_suspected_is_checked_with_the_member)
{
    Group group(6);
    group.simulation_.with(0, [](MembershipProtocol& protocol, TimePoint now) {
        auto rumor = messageFrom(*protocol.findMember("node-1"), GossipKind::Push);
        const auto* victim = protocol.findMember("node-2");
        rumor.statuses_ = { { victim->ref_, victim->sequence_, MemberState::Dead } };
        protocol.onRequest(now, UINT64_MAX, rumor);
        cr_assert_eq(protocol.takeOutput().replies_.size(), 1);
    });
    const auto before = group.simulation_.protocol(2).self().sequence_;
    for (int i = 0; i < 100; ++i) {
        cr_assert_eq(group.stateAt(0, 2), MemberState::Alive);
        group.simulation_.runFor(milliseconds(100));
    }
    cr_assert(group.simulation_.protocol(2).self().sequence_ > before, "the member was not told");
}

/// Guards against messages that grow with the number of events.
Test(membership, events_stay_within_the_byte_budget)
{
    MembershipProtocol protocol(simulatedMember(0, "riga-a", "riga", "katalogs"), {}, 1, start);
    auto news = messageFrom(simulatedMember(1, "riga-a", "riga", "katalogs"), GossipKind::Push);
    for (std::size_t i = 2; i < 300; ++i) {
        news.members_.push_back({ simulatedMember(i, "riga-a", "riga", "katalogs"), false });
        news.items_.push_back({ "shards/x/" + std::to_string(i), 1, std::string(i, 'x') });
    }
    protocol.onRequest(start, 1, news);
    for (int i = 0; i < 50; ++i) {
        protocol.onRequest(start, 2, messageFrom(news.sender_.member_, GossipKind::Probe));
        protocol.tick(start + seconds(1) * i);
        for (const auto& reply : protocol.takeOutput().replies_) {
            const auto bytes = encodeGossip(reply.message_).size();
            cr_assert(bytes <= MembershipOptions {}.messageBudgetBytes_, "%zu bytes", bytes);
        }
    }
}

/// Guards against large values that cross the network many times for each node.
Test(membership, a_large_item_is_sent_about_once_to_each_node)
{
    constexpr std::size_t nodes = 40;
    constexpr std::uint64_t itemBytes = 50'000;
    Group group(nodes);
    const auto sent = [&] {
        std::uint64_t bytes = 0;
        for (std::size_t i = 0; i < nodes; ++i) {
            bytes += group.simulation_.traffic(i).bytesSent_;
        }
        return bytes;
    };
    const auto before = sent();
    group.simulation_.with(0, [](MembershipProtocol& protocol, TimePoint now) {
        protocol.publish(now, { "config/classes", 1, std::string(itemBytes, 'x') });
    });
    group.simulation_.runFor(seconds(20));
    for (std::size_t i = 0; i < nodes; ++i) {
        cr_assert(group.simulation_.protocol(i).findItem("config/classes"), "node %zu", i);
    }
    cr_assert(sent() - before < 2 * nodes * itemBytes, "%lu bytes", sent() - before);
}
