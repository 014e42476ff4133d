#include "wagtailhead/membership.h"

#include "membership_core.h"

#include <utility>

namespace wagtailhead {

MembershipProtocol::MembershipProtocol(
    Member self, MembershipOptions options, std::uint64_t seed, TimePoint now)
    : core_(std::make_unique<Core>(std::move(self), options, seed, now))
{
}

MembershipProtocol::~MembershipProtocol() = default;
MembershipProtocol::MembershipProtocol(MembershipProtocol&&) noexcept = default;
auto MembershipProtocol::operator=(MembershipProtocol&&) noexcept -> MembershipProtocol& = default;

auto MembershipProtocol::addPeers(TimePoint now, const std::vector<SeedAddress>& peers) -> void
{
    core_->addPeers(now, peers);
}

auto MembershipProtocol::addSeeds(TimePoint now, const std::vector<SeedAddress>& seeds) -> void
{
    core_->addSeeds(now, seeds);
}

auto MembershipProtocol::tick(TimePoint now) -> void
{
    core_->tick(now);
}

auto MembershipProtocol::nextWake() const -> TimePoint
{
    return core_->nextWake();
}

auto MembershipProtocol::onRequest(TimePoint now, std::uint64_t token, const GossipMessage& message) -> void
{
    core_->onRequest(now, token, message);
}

auto MembershipProtocol::onReply(TimePoint now, std::uint64_t requestId, const GossipMessage& message) -> void
{
    core_->onReply(now, requestId, message);
}

auto MembershipProtocol::onFailure(TimePoint now, std::uint64_t requestId) -> void
{
    core_->onFailure(now, requestId);
}

auto MembershipProtocol::takeOutput() -> MembershipOutput
{
    return std::exchange(core_->output_, {});
}

auto MembershipProtocol::updateSelf(TimePoint now, bool backendUp, int slots, std::uint64_t readySinceMs)
    -> void
{
    core_->updateSelf(now, backendUp, slots, readySinceMs);
}

auto MembershipProtocol::leave(TimePoint now) -> void
{
    core_->leave(now);
}

auto MembershipProtocol::depart(TimePoint now) -> void
{
    core_->depart(now);
}

auto MembershipProtocol::publish(TimePoint now, const VersionedItem& item) -> bool
{
    return core_->publish(now, item);
}

auto MembershipProtocol::self() const -> const Member&
{
    return core_->self_.member_;
}

auto MembershipProtocol::members() const -> std::map<NodeId, Member>
{
    std::map<NodeId, Member> members;
    for (const auto& [id, entry] : core_->members_.entries()) {
        members.emplace_hint(members.end(), id, entry.member_);
    }
    members.emplace(self().ref_.id_, self());
    return members;
}

auto MembershipProtocol::membersVersion() const -> std::uint64_t
{
    return core_->members_.version();
}

auto MembershipProtocol::findMember(const NodeId& id) const -> const Member*
{
    if (id == self().ref_.id_) {
        return &self();
    }
    const auto* entry = std::as_const(core_->members_).find(id);
    return entry ? &entry->member_ : nullptr;
}

auto MembershipProtocol::findItem(const std::string& key) const -> std::optional<VersionedItem>
{
    const auto* entry = core_->items_.find(key);
    return entry ? std::optional(VersionedItem { key, entry->generation_, entry->value_ }) : std::nullopt;
}

auto MembershipProtocol::itemCount() const -> std::size_t
{
    return core_->items_.entries().size();
}

auto MembershipProtocol::liveCount() const -> std::size_t
{
    return core_->members_.liveCount() + (self().state_ == MemberState::Dead ? 0 : 1);
}

auto MembershipProtocol::replacedBy() const -> std::optional<Incarnation>
{
    return core_->replacedBy_;
}

auto MembershipProtocol::stats() const -> MembershipStats
{
    auto stats = core_->stats_;
    stats.queuedEvents_ = core_->events_.size();
    return stats;
}

} // namespace wagtailhead
