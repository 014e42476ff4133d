#include "wagtailhead/member.h"

#include <array>

namespace wagtailhead {

auto memberStateName(MemberState state) -> const char*
{
    static constexpr std::array names { "alive", "suspect", "leaving", "dead" };
    return names.at(static_cast<std::size_t>(state));
}

auto MemberList::find(const NodeId& id) const -> const Member*
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

auto MemberList::isPresent(const NodeRef& ref) const -> bool
{
    const auto* member = find(ref.id_);
    return member && member->ref_ == ref && member->state_ != MemberState::Dead;
}

MemberTable::MemberTable()
    : current_(std::make_shared<MemberList>())
{
}

auto MemberTable::snapshot() const -> std::shared_ptr<const MemberList>
{
    const std::lock_guard lock(mutex_);
    return current_;
}

auto MemberTable::replace(std::map<NodeId, Member> members) -> std::shared_ptr<const MemberList>
{
    auto next = std::make_shared<MemberList>();
    next->members_ = std::move(members);
    for (const auto& [id, member] : next->members_) {
        next->byService_[member.service_].push_back(&member);
    }
    const std::lock_guard lock(mutex_);
    next->version_ = current_->version_ + 1;
    current_ = next;
    return current_;
}

} // namespace wagtailhead
