#include "node_picker.h"

#include <algorithm>

namespace wagtailhead::load {

NodePicker::NodePicker(const std::vector<MeshProcess>& nodes, std::uint64_t seed)
    : random_(seed)
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        zoneOf_.push_back(nodes[i].zone_);
        byZone_[nodes[i].zone_].push_back(i);
    }
    for (const auto& [zone, members] : byZone_) {
        zones_.push_back(zone);
    }
}

auto NodePicker::below(std::size_t count) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

auto NodePicker::first() -> std::size_t
{
    return inZone(zones_[below(zones_.size())]);
}

auto NodePicker::inZone(const std::string& zone) -> std::size_t
{
    const auto& members = byZone_.at(zone);
    return members[below(members.size())];
}

auto NodePicker::otherInZone(std::size_t previous) -> std::size_t
{
    auto others = byZone_.at(zoneOf_[previous]);
    std::erase(others, previous);
    return others.empty() ? previous : others[below(others.size())];
}

auto NodePicker::repeat(std::size_t previous, RepeatThrough through) -> std::size_t
{
    if (through == RepeatThrough::SameNode) {
        return previous;
    }
    if (through == RepeatThrough::OtherNode || zones_.size() == 1) {
        return otherInZone(previous);
    }
    auto others = zones_;
    std::erase(others, zoneOf_[previous]);
    return inZone(others[below(others.size())]);
}

} // namespace wagtailhead::load
