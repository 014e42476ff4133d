/// One watch on the store: puts what it brings into the item table.
#pragma once

#include "retry_pause.h"
#include "wagtailhead/store_agent.h"
#include "wagtailhead/store_client.h"
#include "wagtailhead/versioned_items.h"

#include <optional>
#include <random>

namespace wagtailhead {

/// Not thread safe. At most one call is outstanding.
class StoreWatch {
public:
    StoreWatch(const StoreAgentOptions& options, ItemTable& items, std::uint64_t seed);

    /// Returns the watch that is due, or nothing. `active` says whether this node holds a lease.
    auto tick(TimePoint now, bool active) -> std::optional<StoreCommand>;

    /// Applies the answer. Returns the listing for other users of it, or nothing after a failure.
    auto onAnswer(TimePoint now, const StoreAnswer& answer) -> const StoreListing*;

    auto lastVersion() const -> StoreVersion
    {
        return lastVersion_;
    }
    auto applied() const -> std::uint64_t
    {
        return applied_;
    }
    auto refused() const -> std::uint64_t
    {
        return refused_;
    }
    auto rollbacks() const -> std::uint64_t
    {
        return rollbacks_;
    }

private:
    auto applyObject(const StoreObject& object) -> void;

    const StoreAgentOptions& options_;
    ItemTable& items_;
    std::mt19937_64 random_;
    RetryPause pause_;
    bool outstanding_ = false;
    StoreVersion since_ = 0;
    TimePoint sentAt_;
    TimePoint nextCall_;
    TimePoint resyncAt_;
    StoreVersion lastVersion_ = 0;
    std::uint64_t applied_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t rollbacks_ = 0;
};

} // namespace wagtailhead
