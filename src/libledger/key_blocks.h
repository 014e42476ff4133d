/// Keys whose attempts accepted so far must never start.
#pragma once

#include "wagtailhead/ledger_limits.h"
#include "wagtailhead/messages.h"

#include <map>
#include <string>

namespace wagtailhead {

/// The blocked keys of one shard table. A block refuses every attempt of its key that was accepted before
/// a certain time (its limit).
class BlockTable {
public:
    /// Blocks the attempts accepted until now and within `notRunWindow` from now. "Not run" may be told
    /// before `notRunUntil`, which must be covered by the blocks or records of all other members.
    auto block(const std::string& key, TimePoint now, TimePoint notRunUntil) -> void;

    /// Returns whether an attempt accepted at `acceptedAt` is refused.
    auto refuses(const std::string& key, TimePoint acceptedAt) const -> bool;

    /// Returns until when "not run" may be told for the key; a time in the past if it is not blocked or
    /// if the block was merged in.
    auto notRunUntil(const std::string& key) const -> TimePoint;

    /// Returns the blocks with the rest of their lives, to be merged in elsewhere. On the way they grow by
    /// the time that the copy takes, each copy by another; so a merged block refuses, but does not tell.
    auto remaining(TimePoint now) const -> KeyBlocks;
    auto merge(const KeyBlocks& blocks, TimePoint now) -> void;

    auto purge(TimePoint now) -> void;
    auto size() const -> std::size_t;

private:
    auto extend(const std::string& key, TimePoint limit, TimePoint notRunUntil) -> void;

    struct Block {
        TimePoint limit_;
        TimePoint notRunUntil_;
    };

    std::map<std::string, Block> blocks_;
};

} // namespace wagtailhead
