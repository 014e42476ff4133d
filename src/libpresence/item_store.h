/// The item table of the protocol, with the digest of the items' generations.
#pragma once

#include "bucket_digest.h"
#include "wagtailhead/gossip_message.h"

#include <map>
#include <string>

namespace wagtailhead {

struct ItemEntry {
    std::uint64_t generation_ = 0;
    std::string value_;
    BucketIndex bucket_ = 0;
};

class ItemStore {
public:
    explicit ItemStore(BucketDigest& digest)
        : digest_(digest)
    {
    }

    /// Stores the item if its generation is higher than the stored one. Returns whether it was newer.
    auto apply(const VersionedItem& item) -> bool;
    auto find(const std::string& key) const -> const ItemEntry*;
    /// Returns the stored generation, or 0 if there is no such item.
    auto generation(const std::string& key) const -> std::uint64_t;

    auto entries() const -> const std::map<std::string, ItemEntry>&
    {
        return entries_;
    }

private:
    BucketDigest& digest_;
    std::map<std::string, ItemEntry> entries_;
};

} // namespace wagtailhead
