/// Zones of simulated nodes with store agents, one virtual store and one virtual clock, for tests.
#pragma once

#include "presence_simulation.h"
#include "store_network.h"
#include "wagtailhead/store_agent.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhead {

struct AgentNode {
    MemberTable members_;
    ItemTable items_;
    std::unique_ptr<StoreAgentLogic> logic_;
    std::deque<std::pair<std::uint64_t, StoreAnswer>> inbox_;
    std::uint64_t membersVersion_ = UINT64_MAX;
};

class AgentWorld {
public:
    /// Which addresses the nodes know from their settings.
    enum class Peers : std::uint8_t {
        Common, ///< The first two nodes.
        OwnZone, ///< The first node of the own zone.
    };

    AgentWorld(std::uint64_t seed, std::size_t zones, std::size_t nodesPerZone, Peers peers = Peers::Common)
        : simulation_(SimulationOptions {}, seed)
        , network_(seed + 1)
        , zones_(zones)
        , seed_(seed)
    {
        simulation_.setItemListener([this](std::size_t node, const VersionedItem& item) {
            nodes_[node]->items_.apply(item);
        });
        for (std::size_t i = 0; i < zones * nodesPerZone; ++i) {
            auto member = simulatedMember(i, zoneOf(i), "riga", "katalogs");
            if (peers_.size() < (peers == Peers::Common ? 2 : zones)) {
                peers_.push_back({ member.gossip_, {} });
            }
            nodes_.push_back(nullptr);
            simulation_.add(
                std::move(member), peers == Peers::Common ? peers_ : std::vector { peers_[i % zones] });
            startAgent(i);
        }
    }

    auto zoneOf(std::size_t node) const -> std::string
    {
        return "zone-" + std::to_string(node % zones_);
    }

    auto size() const -> std::size_t
    {
        return nodes_.size();
    }

    auto isActive(std::size_t node) const -> bool
    {
        return simulation_.isRunning(node) && !simulation_.isFrozen(node);
    }

    auto run(Duration duration, const std::function<void()>& afterStep = {}) -> void
    {
        for (const auto end = simulation_.now() + duration; simulation_.now() < end;) {
            simulation_.runFor(milliseconds(100));
            network_.advance(simulation_.now());
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (isActive(i)) {
                    stepAgent(i);
                }
            }
            if (afterStep) {
                afterStep();
            }
        }
    }

    auto restart(std::size_t node) -> void
    {
        simulation_.restart(node, peers_);
        startAgent(node);
    }

    auto heldLease(std::size_t node) const -> std::optional<int>
    {
        return nodes_[node]->logic_->heldLease(simulation_.now());
    }

    /// Returns how many active nodes of a zone hold the lease with this number.
    auto holders(const std::string& zone, int number) const -> int
    {
        int count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            count += isActive(i) && zoneOf(i) == zone && heldLease(i) == number ? 1 : 0;
        }
        return count;
    }

    /// Writes a configuration document as an operator does. Returns whether the store accepted it.
    auto writeConfig(std::uint64_t generation) -> bool
    {
        if (network_.faults_.outage_ || network_.faults_.silent_) {
            return false;
        }
        const auto* present = network_.store_.find("config/classes");
        StoreCommand command;
        command.verb_ = present ? StoreCommand::Verb::Replace : StoreCommand::Verb::Create;
        command.key_ = "config/classes";
        command.version_ = present ? present->version_ : 0;
        command.value_ = R"({"generation":)" + std::to_string(generation) + "}";
        return std::holds_alternative<StoreVersion>(network_.store_.run(command));
    }

    PresenceSimulation simulation_;
    StoreNetwork network_;
    std::vector<std::shared_ptr<AgentNode>> nodes_;

private:
    auto startAgent(std::size_t node) -> void
    {
        auto agent = std::make_shared<AgentNode>();
        StoreAgentOptions options;
        options.self_ = simulation_.protocol(node).self().ref_;
        options.zone_ = zoneOf(node);
        options.seed_ = seed_ * 1000 + ++starts_;
        agent->logic_ = std::make_unique<StoreAgentLogic>(options, agent->members_, agent->items_);
        agent->items_.onChange("", [this, node](const VersionedItem& item) {
            simulation_.with(node, [&item](MembershipProtocol& protocol, TimePoint now) {
                protocol.publish(now, item);
            });
        });
        nodes_[node] = std::move(agent);
    }

    auto stepAgent(std::size_t index) -> void
    {
        const auto node = nodes_[index];
        const auto& protocol = simulation_.protocol(index);
        const auto now = simulation_.now();
        if (node->membersVersion_ != protocol.membersVersion()) {
            node->membersVersion_ = protocol.membersVersion();
            node->members_.replace(protocol.members());
        }
        while (!node->inbox_.empty()) {
            const auto [id, answer] = std::move(node->inbox_.front());
            node->inbox_.pop_front();
            node->logic_->onAnswer(now, id, answer);
        }
        for (const auto& call : node->logic_->tick(now)) {
            network_.run(
                index, call.command_, [weak = std::weak_ptr(node), id = call.id_](StoreAnswer answer) {
                    if (const auto target = weak.lock()) {
                        target->inbox_.emplace_back(id, std::move(answer));
                    }
                });
        }
        const auto seeds = node->logic_->takeSeeds();
        simulation_.with(index, [&seeds](MembershipProtocol& target, TimePoint at) {
            target.addSeeds(at, seeds);
        });
    }

    std::size_t zones_;
    std::uint64_t seed_;
    std::uint64_t starts_ = 0;
    std::vector<SeedAddress> peers_;
};

} // namespace wagtailhead
