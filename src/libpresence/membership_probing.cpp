/// Probing: periodic direct probes, indirect probes through other members, and rechecks of suspects.
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
    if (!reportedDeaths_.empty()) {
        // Chooses at random, so that after a partition all affected members are probed within seconds.
        const auto index = std::uniform_int_distribution<std::size_t>(0, reportedDeaths_.size() - 1)(random_);
        const auto chosen = std::next(reportedDeaths_.begin(), static_cast<std::ptrdiff_t>(index));
        const auto reportedDeath = chosen->second;
        reportedDeaths_.erase(chosen);
        const auto* entry = members_.find(reportedDeath.ref_.id_);
        if (entry && entry->member_.ref_ == reportedDeath.ref_
            && entry->member_.state_ == MemberState::Alive) {
            startProbe(now, reportedDeath.ref_.id_, reportedDeath);
        }
    }
}

auto MembershipProtocol::Core::startProbe(
    TimePoint now, const NodeId& id, const std::optional<MemberStatus>& reportedDeath) -> void
{
    ++stats_.probesSent_;
    const auto& target = members_.find(id)->member_.ref_;
    const auto probeId = nextId_++;
    probes_[probeId] = { target, 1, false };
    sendProbe(now, { Purpose::DirectProbe, addressOf(id), target, probeId, now, options_.probeTimeout_ },
        reportedDeath);
}

auto MembershipProtocol::Core::sendProbe(
    TimePoint now, OutstandingRequest pending, const std::optional<MemberStatus>& reportedDeath) -> void
{
    auto message = makeMessage(GossipKind::Probe, pending.target_);
    if (reportedDeath) {
        message.statuses_.push_back(*reportedDeath);
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
    if (entry && entry->locallyDetected_ && entry->member_.state_ == MemberState::Leaving) {
        entry->locallyDetected_ = false;
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
    updateSource_ = UpdateSource::Gossip;
    suspect(now, *entry, true);
}

auto MembershipProtocol::Core::probeIndirectly(TimePoint now, std::uint64_t probeId, Probe& probe) -> void
{
    probe.indirect_ = true;
    const auto target = probe.target_;
    const auto to = addressOf(target.id_);
    const auto relays = sampler_.pick(
        members_, static_cast<std::size_t>(options_.indirectProbes_), { target.id_ }, random_);
    probe.outstanding_ = static_cast<int>(relays.size()) + 1;
    for (const auto& relay : relays) {
        ++stats_.indirectProbesSent_;
        auto message = makeMessage(GossipKind::IndirectProbe, target);
        message.probeAddress_ = to.address_;
        message.probeZone_ = to.zone_;
        send(now,
            { Purpose::IndirectProbe, addressOf(relay), target, probeId, now, options_.indirectTimeout_ },
            std::move(message));
    }
    // The second direct probe uses a new connection, in case the old one is unresponsive.
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

auto MembershipProtocol::Core::replyToRelayedProbe(const OutstandingRequest& pending, bool reached) -> void
{
    auto reply = makeMessage(GossipKind::Reply, {});
    reply.reached_ = reached;
    fillEvents(reply);
    sendReply(pending.reference_, std::move(reply));
}

} // namespace wagtailhead
