#include "key_blocks.h"

#include <algorithm>

namespace wagtailhead {

auto BlockTable::block(const std::string& key, TimePoint now, TimePoint notRunUntil) -> void
{
    extend(key, now + notRunWindow + datingSlack, notRunUntil);
}

auto BlockTable::extend(const std::string& key, TimePoint limit, TimePoint notRunUntil) -> void
{
    auto& known = blocks_.try_emplace(key, Block { limit, notRunUntil }).first->second;
    known.limit_ = std::max(known.limit_, limit);
    known.notRunUntil_ = std::max(known.notRunUntil_, notRunUntil);
}

auto BlockTable::refuses(const std::string& key, TimePoint acceptedAt) const -> bool
{
    const auto found = blocks_.find(key);
    return found != blocks_.end() && acceptedAt < found->second.limit_;
}

auto BlockTable::notRunUntil(const std::string& key) const -> TimePoint
{
    const auto found = blocks_.find(key);
    return found == blocks_.end() ? TimePoint::min() : found->second.notRunUntil_;
}

auto BlockTable::remaining(TimePoint now) const -> KeyBlocks
{
    KeyBlocks blocks;
    for (const auto& [key, block] : blocks_) {
        if (block.limit_ + blockLife > now) {
            blocks.emplace_back(key, block.limit_ + blockLife - now);
        }
    }
    return blocks;
}

auto BlockTable::merge(const KeyBlocks& blocks, TimePoint now) -> void
{
    for (const auto& [key, rest] : blocks) {
        extend(key, now + rest - blockLife, TimePoint::min());
    }
}

auto BlockTable::purge(TimePoint now) -> void
{
    std::erase_if(blocks_, [now](const auto& entry) {
        return entry.second.limit_ + blockLife <= now;
    });
}

auto BlockTable::size() const -> std::size_t
{
    return blocks_.size();
}

} // namespace wagtailhead
