/// Small versioned values that nodes disseminate by gossip: configuration documents and shard records.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhead {

/// One value. `generation_` only increases; the value with the higher generation replaces the others. For a
/// configuration document it is the document's generation, for a shard record it is the epoch.
struct VersionedItem {
    std::string key_;
    std::uint64_t generation_ = 0;
    std::string value_;

    auto operator==(const VersionedItem&) const -> bool = default;
};

/// The items that this node holds. Thread safe. Listeners run without the lock held, in the thread that
/// applied the item.
class ItemTable {
public:
    using Listener = std::function<void(const VersionedItem&)>;

    /// Stores the item if its generation is higher than the stored one. Returns whether it was newer.
    auto apply(const VersionedItem& item) -> bool;

    auto find(const std::string& key) const -> std::optional<VersionedItem>;

    /// Returns all items whose key starts with `prefix`.
    auto list(const std::string& prefix = {}) const -> std::vector<VersionedItem>;

    /// Calls `listener` for every newer item whose key starts with `prefix`. Register before threads start.
    auto onChange(std::string prefix, Listener listener) -> void;

private:
    mutable std::mutex mutex_;
    std::map<std::string, VersionedItem> items_;
    std::vector<std::pair<std::string, Listener>> listeners_;
};

} // namespace wagtailhead
