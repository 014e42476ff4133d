#include "wagtailhead/versioned_items.h"

namespace wagtailhead {

auto ItemTable::apply(const VersionedItem& item) -> bool
{
    {
        const std::lock_guard lock(mutex_);
        auto& stored = items_[item.key_];
        if (item.generation_ <= stored.generation_) {
            return false;
        }
        stored = item;
    }
    for (const auto& [prefix, listener] : listeners_) {
        if (item.key_.starts_with(prefix)) {
            listener(item);
        }
    }
    return true;
}

auto ItemTable::find(const std::string& key) const -> std::optional<VersionedItem>
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    return found == items_.end() ? std::nullopt : std::optional(found->second);
}

auto ItemTable::list(const std::string& prefix) const -> std::vector<VersionedItem>
{
    const std::lock_guard lock(mutex_);
    std::vector<VersionedItem> matching;
    for (auto at = items_.lower_bound(prefix); at != items_.end() && at->first.starts_with(prefix); ++at) {
        matching.push_back(at->second);
    }
    return matching;
}

auto ItemTable::onChange(std::string prefix, Listener listener) -> void
{
    listeners_.emplace_back(std::move(prefix), std::move(listener));
}

} // namespace wagtailhead
