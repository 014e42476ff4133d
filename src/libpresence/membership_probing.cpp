/// Probes: direct ones each period, indirect ones through other members, and rechecks of suspects.
#include "membership_core.h"

#include <utility>

namespace wagtailhead {

auto MembershipProtocol::Core::runProbes(TimePoint now) -> void
{
    if (now < nextProbe_) {
        return;
    }
    nextProbe_ += options_.probeInterval_;
    if (nextProbe_ <= now) {
        nextProbe_ = now + options_.probeInterval_;
    }
    if (self_.departed_) {
        return;
    }
    if (const auto id = sampler_.next(members_, random_)) {
        startProbe(now, *id, std::nullopt);
    }
    if (!rumors_.empty()) {
        // A random one, so that after a partition all affected members are asked within seconds.
        const auto index = std::uniform_int_distribution<std::size_t>(0, rumors_.size() - 1)(random_);
        const auto chosen = std::next(rumors_.begin(), static_cast<std::ptrdiff_t>(index));
        const auto rumor = chosen->second;
        rumors_.erase(chosen);
        const auto* entry = members_.find(rumor.ref_.id_);
        if (entry && entry->member_.ref_ == rumor.ref_ && entry->member_.state_ == MemberState::Alive) {
            startProbe(now, rumor.ref_.id_, rumor);
        }
    }
}

auto MembershipProtocol::Core::startProbe(
    TimePoint now, const NodeId& id, const std::optional<MemberNote>& rumor) -> void
{
    ++stats_.probesSent_;
    const auto& target = members_.find(id)->member_.ref_;
    const auto probeId = nextId_++;
    probes_[probeId] = { target, 1, false };
    sendProbe(
        now, { Purpose::DirectProbe, addressOf(id), target, probeId, now, options_.probeTimeout_ }, rumor);
}

auto MembershipProtocol::Core::sendProbe(
    TimePoint now, Pending pending, const std::optional<MemberNote>& rumor) -> void
{
    auto message = makeMessage(GossipKind::Probe, pending.target_);
    if (rumor) {
        message.notes_.push_back(*rumor);
    }
    fillEvents(message);
    send(now, std::move(pending), std::move(message));
}

auto MembershipProtocol::Core::recheck(TimePoint now, const MemberEntry& entry) -> void
{
    const auto& ref = entry.member_.ref_;
    sendProbe(
        now, { Purpose::Recheck, addressOf(ref.id_), ref, 0, now, options_.indirectTimeout_ }, std::nullopt);
}

auto MembershipProtocol::Core::probeSucceeded(std::uint64_t probeId) -> void
{
    const auto found = probes_.find(probeId);
    if (found == probes_.end()) {
        return;
    }
    auto* entry = members_.find(found->second.target_.id_);
    if (entry && entry->accuser_ && entry->member_.state_ == MemberState::Leaving) {
        entry->accuser_ = false;
        entry->deadline_ = TimePoint::max();
        entry->nextRecheck_ = TimePoint::max();
        members_.schedule(*entry);
    }
    probes_.erase(found);
}

auto MembershipProtocol::Core::probeFailed(TimePoint now, std::uint64_t probeId) -> void
{
    const auto found = probes_.find(probeId);
    if (found == probes_.end() || --found->second.outstanding_ > 0) {
        return;
    }
    auto& probe = found->second;
    auto* entry = members_.find(probe.target_.id_);
    if (!entry || entry->member_.ref_ != probe.target_ || !isLive(*entry)) {
        probes_.erase(found);
        return;
    }
    if (!probe.indirect_) {
        probeIndirectly(now, probeId, probe);
        return;
    }
    ++stats_.probesFailed_;
    probes_.erase(found);
    source_ = Source::Gossip;
    suspect(now, *entry, true);
}

auto MembershipProtocol::Core::probeIndirectly(TimePoint now, std::uint64_t probeId, Probe& probe) -> void
{
    probe.indirect_ = true;
    const auto target = probe.target_;
    const auto to = addressOf(target.id_);
    const auto helpers = sampler_.pick(
        members_, static_cast<std::size_t>(options_.indirectProbes_), { target.id_ }, random_);
    probe.outstanding_ = static_cast<int>(helpers.size()) + 1;
    for (const auto& helper : helpers) {
        ++stats_.indirectProbesSent_;
        auto message = makeMessage(GossipKind::IndirectProbe, target);
        message.probeAddress_ = to.address_;
        message.probeZone_ = to.zone_;
        send(now,
            { Purpose::IndirectProbe, addressOf(helper), target, probeId, now, options_.indirectTimeout_ },
            std::move(message));
    }
    // The second direct probe goes over a new connection, in case the old one has gone silent.
    sendProbe(
        now, { Purpose::DirectProbe, to, target, probeId, now, options_.indirectTimeout_ }, std::nullopt);
}

auto MembershipProtocol::Core::relayProbe(TimePoint now, std::uint64_t token, const GossipMessage& message)
    -> void
{
    sendProbe(now,
        { Purpose::RelayedProbe, { message.probeAddress_, message.probeZone_ }, message.target_, token, now,
            options_.probeTimeout_ },
        std::nullopt);
}

auto MembershipProtocol::Core::reportRelayed(const Pending& pending, bool reached) -> void
{
    auto answer = makeMessage(GossipKind::Reply, {});
    answer.reached_ = reached;
    fillEvents(answer);
    reply(pending.reference_, std::move(answer));
}

} // namespace wagtailhead
