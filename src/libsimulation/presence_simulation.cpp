#include "presence_simulation.h"

#include <cassert>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace wagtailhead {

namespace {

constexpr Incarnation firstIncarnation = 1'700'000'000'000'000;
constexpr std::uint16_t gossipPort = 7003;

} // namespace

auto simulatedMember(std::size_t index, std::string zone, std::string region, std::string service) -> Member
{
    Member member;
    member.ref_ = { "node-" + std::to_string(index), firstIncarnation + index };
    member.zone_ = std::move(zone);
    member.region_ = std::move(region);
    member.service_ = std::move(service);
    const auto ip = "10." + std::to_string(index / 65536) + "." + std::to_string(index / 256 % 256) + "."
        + std::to_string(index % 256);
    member.http_ = { ip, 7001 };
    member.peer_ = { ip, 7002 };
    member.gossip_ = { ip, gossipPort };
    member.backendUp_ = true;
    member.slots_ = 100;
    member.readySinceMs_ = 1'700'000'000'000;
    return member;
}

PresenceSimulation::PresenceSimulation(SimulationOptions options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
}

auto PresenceSimulation::add(Member self, const std::vector<SeedAddress>& peers) -> NodeIndex
{
    const auto index = nodes_.size();
    byAddress_[self.gossip_] = index;
    auto& node = nodes_.emplace_back();
    node.self_ = std::move(self);
    start(index, peers);
    return index;
}

auto PresenceSimulation::start(NodeIndex index, const std::vector<SeedAddress>& peers) -> void
{
    auto& node = nodes_[index];
    ++node.run_;
    node.frozen_ = false;
    node.wakeAt_ = TimePoint::max();
    node.protocol_ = std::make_unique<MembershipProtocol>(node.self_, options_.membership_, random_(), now_);
    node.protocol_->addPeers(now_, peers);
    flush(index);
}

auto PresenceSimulation::runUntil(TimePoint until) -> void
{
    while (!events_.empty() && events_.top().at_ <= until) {
        const auto event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at_);
        auto& node = nodes_[event.node_];
        if (!node.protocol_ || event.run_ != node.run_) {
            continue;
        }
        if (node.frozen_) {
            node.backlog_.push_back(event);
            continue;
        }
        handle(event);
    }
    now_ = until;
}

auto PresenceSimulation::handle(const Event& event) -> void
{
    auto& node = nodes_[event.node_];
    auto& protocol = *node.protocol_;
    switch (event.kind_) {
    case EventKind::Wake:
        if (event.at_ != node.wakeAt_) {
            return;
        }
        node.wakeAt_ = TimePoint::max();
        protocol.tick(now_);
        break;
    case EventKind::Request:
        protocol.onRequest(now_, event.id_, *event.message_);
        break;
    case EventKind::Reply:
        protocol.onReply(now_, event.id_, *event.message_);
        break;
    case EventKind::Timeout:
        protocol.onFailure(now_, event.id_);
        break;
    }
    flush(event.node_);
    if (observer_) {
        observer_(event.node_);
    }
}

auto PresenceSimulation::flush(NodeIndex index) -> void
{
    auto& node = nodes_[index];
    auto output = node.protocol_->takeOutput();
    for (auto& request : output.requests_) {
        sendRequest(index, std::move(request));
    }
    for (auto& reply : output.replies_) {
        sendReply(index, std::move(reply));
    }
    if (itemListener_) {
        for (const auto& item : output.items_) {
            itemListener_(index, item);
        }
    }
    const auto wake = std::max(now_, node.protocol_->nextWake());
    if (wake < node.wakeAt_ || node.wakeAt_ < now_) {
        node.wakeAt_ = wake;
        schedule({ wake, 0, EventKind::Wake, index, node.run_, 0, nullptr });
    }
}

auto PresenceSimulation::sendRequest(NodeIndex from, GossipRequest request) -> void
{
    const auto sender = nodes_[from].run_;
    schedule({ now_ + request.timeout_, 0, EventKind::Timeout, from, sender, request.id_, nullptr });
    auto message = pass(request.message_, from);
    ++nodes_[from].traffic_.requests_;
    const auto found = byAddress_.find(request.to_.address_);
    if (found == byAddress_.end() || !nodes_[found->second].protocol_ || isLost()
        || (reachability_ && !reachability_(from, found->second))) {
        return;
    }
    const auto to = found->second;
    auto& traffic = nodes_[to].traffic_;
    ++traffic.requests_;
    ++traffic.messages_;
    traffic.bytesReceived_ += lastBytes_;
    const auto token = nextToken_++;
    replyPaths_[token] = { from, sender, request.id_ };
    schedule({ now_ + latency(from, to) * options_.connectLatencies_, 0, EventKind::Request, to,
        nodes_[to].run_, token, std::move(message) });
}

auto PresenceSimulation::sendReply(NodeIndex from, GossipReply reply) -> void
{
    const auto taken = replyPaths_.extract(reply.token_);
    if (taken.empty()) {
        std::cerr << "simulation: a request was answered twice\n";
        std::abort();
    }
    const auto path = taken.mapped();
    auto message = pass(reply.message_, from);
    if (isLost() || (reachability_ && !reachability_(from, path.from_))) {
        return;
    }
    auto& traffic = nodes_[path.from_].traffic_;
    ++traffic.messages_;
    traffic.bytesReceived_ += lastBytes_;
    schedule({ now_ + latency(from, path.from_), 0, EventKind::Reply, path.from_, path.run_, path.requestId_,
        std::move(message) });
}

auto PresenceSimulation::pass(const GossipMessage& message, NodeIndex from)
    -> std::shared_ptr<const GossipMessage>
{
    const auto bytes = encodeGossip(message);
    lastBytes_ = bytes.size();
    auto& traffic = nodes_[from].traffic_;
    ++traffic.messages_;
    traffic.bytesSent_ += bytes.size();
    if (!options_.roundTrip_) {
        return std::make_shared<const GossipMessage>(message);
    }
    auto decoded = decodeGossip(bytes);
    if (!isOk(decoded)) {
        std::cerr << "simulation: " << errorOf(decoded).text_ << '\n';
        std::abort();
    }
    return std::make_shared<const GossipMessage>(valueOf(std::move(decoded)));
}

auto PresenceSimulation::latency(NodeIndex from, NodeIndex to) const -> Duration
{
    return nodes_[from].self_.region_ == nodes_[to].self_.region_ ? options_.nearLatency_
                                                                  : options_.farLatency_;
}

auto PresenceSimulation::isLost() -> bool
{
    return options_.loss_ > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < options_.loss_;
}

auto PresenceSimulation::schedule(Event event) -> void
{
    event.order_ = nextOrder_++;
    events_.push(std::move(event));
}

auto PresenceSimulation::crash(NodeIndex index) -> void
{
    auto& node = nodes_[index];
    node.protocol_.reset();
    node.backlog_.clear();
    ++node.run_;
}

auto PresenceSimulation::restart(NodeIndex index, const std::vector<SeedAddress>& peers) -> void
{
    auto& self = nodes_[index].self_;
    self.ref_.incarnation_ += static_cast<Incarnation>(microseconds(seconds(1)).count());
    self.state_ = MemberState::Alive;
    start(index, peers);
}

auto PresenceSimulation::freeze(NodeIndex index) -> void
{
    nodes_[index].frozen_ = true;
}

auto PresenceSimulation::thaw(NodeIndex index) -> void
{
    auto& node = nodes_[index];
    node.frozen_ = false;
    for (auto& event : std::exchange(node.backlog_, {})) {
        if (event.kind_ == EventKind::Wake) {
            node.wakeAt_ = now_;
        }
        event.at_ = now_;
        schedule(std::move(event));
    }
}

auto PresenceSimulation::setReachability(Reachability reachability) -> void
{
    reachability_ = std::move(reachability);
}

auto PresenceSimulation::setLoss(double loss) -> void
{
    options_.loss_ = loss;
}

auto PresenceSimulation::setObserver(Observer observer) -> void
{
    observer_ = std::move(observer);
}

auto PresenceSimulation::setItemListener(ItemListener listener) -> void
{
    itemListener_ = std::move(listener);
}

auto PresenceSimulation::with(NodeIndex node, const std::function<void(MembershipProtocol&, TimePoint)>& call)
    -> void
{
    call(*nodes_[node].protocol_, now_);
    flush(node);
    if (observer_) {
        observer_(node);
    }
}

} // namespace wagtailhead
