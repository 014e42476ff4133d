#include "item_store.h"

#include "wagtailhead/ids.h"

namespace wagtailhead {

namespace {

/// Makes the hash of an item differ from that of a member with the same name.
constexpr std::uint64_t itemHashSalt = 0xd6e8feb86659fd93;

auto itemHash(const std::string& key, std::uint64_t generation) -> std::uint64_t
{
    return stableHash(key, itemHashSalt + generation);
}

} // namespace

auto ItemStore::apply(const VersionedItem& item) -> bool
{
    auto& entry = entries_[item.key_];
    if (item.generation_ <= entry.generation_) {
        if (entry.generation_ == 0) {
            entries_.erase(item.key_);
        }
        return false;
    }
    if (entry.generation_ == 0) {
        entry.bucket_ = bucketOf(item.key_);
    } else {
        digest_.toggle(entry.bucket_, itemHash(item.key_, entry.generation_));
    }
    entry.generation_ = item.generation_;
    entry.value_ = item.value_;
    digest_.toggle(entry.bucket_, itemHash(item.key_, entry.generation_));
    return true;
}

auto ItemStore::find(const std::string& key) const -> const ItemEntry*
{
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : &found->second;
}

auto ItemStore::generation(const std::string& key) const -> std::uint64_t
{
    const auto* entry = find(key);
    return entry ? entry->generation_ : 0;
}

} // namespace wagtailhead
