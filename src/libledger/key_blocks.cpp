#include "key_blocks.h"

#include <algorithm>

namespace wagtailhead {

auto BlockTable::block(const std::string& key, TimePoint now) -> void
{
    auto& limit = limits_[key];
    limit = std::max(limit, now + notRunWindow + datingSlack);
}

auto BlockTable::refuses(const std::string& key, TimePoint acceptedAt) const -> bool
{
    const auto found = limits_.find(key);
    return found != limits_.end() && acceptedAt < found->second;
}

auto BlockTable::notRunUntil(const std::string& key) const -> TimePoint
{
    const auto found = limits_.find(key);
    return found == limits_.end() ? TimePoint::min() : found->second - datingSlack;
}

auto BlockTable::remaining(TimePoint now) const -> KeyBlocks
{
    KeyBlocks blocks;
    for (const auto& [key, limit] : limits_) {
        if (limit + blockLife > now) {
            blocks.emplace_back(key, limit + blockLife - now);
        }
    }
    return blocks;
}

auto BlockTable::merge(const KeyBlocks& blocks, TimePoint now) -> void
{
    for (const auto& [key, rest] : blocks) {
        auto& limit = limits_[key];
        limit = std::max(limit, now + rest - blockLife);
    }
}

auto BlockTable::purge(TimePoint now) -> void
{
    std::erase_if(limits_, [now](const auto& entry) {
        return entry.second + blockLife <= now;
    });
}

auto BlockTable::size() const -> std::size_t
{
    return limits_.size();
}

} // namespace wagtailhead
