/// The platform's object store, as the nodes use it.
#pragma once

#include "wagtailhead/clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailhead {

struct StoredObject {
    std::string name_;
    std::uint64_t revision_ = 0; ///< Of the object's last change.
    std::string value_; ///< JSON text.
};

struct StoredChange {
    StoredObject object_;
    bool deleted_ = false;
};

struct StoredList {
    std::vector<StoredObject> objects_;
    std::uint64_t revision_ = 0; ///< Of the store.
};

struct StoredChanges {
    std::vector<StoredChange> changes_;
    std::uint64_t revision_ = 0; ///< Watch from here to go on.
};

enum class StoreError : std::uint8_t {
    HistoryGone, ///< The watch has to start over from a list.
    Conflict, ///< The condition did not hold; nothing was written.
    NotFound,
    Refused, ///< The store did nothing (overloaded, down, wrong request).
    NoAnswer, ///< A write may have been done, or may be done later.
};

/// Returns the lower-case name of an error, for logs.
auto storeErrorName(StoreError error) -> const char*;

enum class Freshness : std::uint8_t {
    Current,
    MayBeStale, ///< Seconds old at most, and a tenth of the price.
};

/// Counts of calls by kind, each of which is paid for.
struct ObjectStoreStats {
    std::uint64_t reads_ = 0;
    std::uint64_t watches_ = 0;
    std::uint64_t checks_ = 0; ///< Calls of changesSoFar() for current changes.
    std::uint64_t staleChecks_ = 0; ///< The same for those that may be stale.
    std::uint64_t writes_ = 0;
    std::uint64_t failures_ = 0;
};

/// Makes single calls; nothing is repeated here. Callbacks run once, in the context's thread, never inside
/// the call.
class ObjectStore {
public:
    template <typename T> using Callback = std::function<void(std::variant<T, StoreError>)>;
    using WatchId = std::uint64_t;

    virtual ~ObjectStore() = default;

    /// Lists all objects of a kind, page after page. A watch from the revision of a stale list reports what
    /// the list lacks.
    virtual auto list(const std::string& kind, Freshness freshness, Callback<StoredList> callback) -> void
        = 0;

    /// Waits up to `wait` for a change after `revision`. Returns a positive id for cancelWatch(). The answer
    /// may be lost without a sign; only changesSoFar() for current changes shows that it has not been.
    virtual auto watch(const std::string& kind, std::uint64_t revision, Duration wait,
        Callback<StoredChanges> callback) -> WatchId = 0;

    /// Ends a watch; its callback does not run. Watches that have ended already are ignored.
    virtual auto cancelWatch(WatchId id) -> void = 0;

    /// Returns the changes after `revision` without waiting. Stale ones cost a tenth of the price, and
    /// changes of the last seconds may be missing: they can show that something is newer, and never that
    /// nothing is.
    virtual auto changesSoFar(const std::string& kind, std::uint64_t revision, Freshness freshness,
        Callback<StoredChanges> callback) -> void
        = 0;

    /// Creates an object; Conflict if it exists.
    virtual auto create(const std::string& kind, const std::string& name, const std::string& value,
        Callback<StoredObject> callback) -> void
        = 0;

    /// Replaces an object if `revision` is that of its last change.
    virtual auto replace(const std::string& kind, const StoredObject& object, Callback<StoredObject> callback)
        -> void
        = 0;

    /// Reads one object.
    virtual auto get(const std::string& kind, const std::string& name, Callback<StoredObject> callback)
        -> void
        = 0;

    /// Removes an object if `revision` is that of its last change.
    virtual auto remove(const std::string& kind, const std::string& name, std::uint64_t revision,
        Callback<std::monostate> callback) -> void
        = 0;

    /// Ends calls whose time is over. Call it every few hundred milliseconds.
    virtual auto tick(TimePoint now) -> void = 0;

    virtual auto stats() const -> ObjectStoreStats = 0;
};

} // namespace wagtailhead
