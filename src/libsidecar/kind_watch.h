/// Follows all objects of one kind in the store.
#pragma once

#include "wagtailhead/object_store.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace wagtailhead {

/// A list of all objects of a kind.
struct KindList {
    std::vector<StoredObject> objects_;
    Freshness freshness_ = Freshness::Current;
    TimePoint requestedAt_; ///< What was created since then may be missing.
};

struct KindWatchEvents {
    /// Objects that a current list does not name did not exist when it was requested.
    std::function<void(const KindList& list)> onList_;
    std::function<void(const StoredChange& change)> onChange_;
    /// The store was lost or is there again.
    std::function<void(bool reachable)> onReachable_;
};

/// Lists, then watches as long as it is told to, and starts over when the history is gone. The answer to a
/// watch may be lost, on a connection that stays open and silent: while a watch waits, the store is asked at
/// intervals what has changed, and the watch is replaced if it should have been answered. Calls that fail are
/// repeated at a bounded rate, since each is paid for. All members run in the context's single thread.
class KindWatch : public std::enable_shared_from_this<KindWatch> {
public:
    /// After changes it waits for `batch` before it watches again: each watch is paid for. A waiting watch is
    /// checked no more often than that.
    KindWatch(asio::io_context& context, ObjectStore& store, std::string kind, Duration batch,
        std::uint64_t seed, KindWatchEvents events);

    /// Lists the objects after `delay`, and again until that succeeds or skipList() is called. Later lists,
    /// after the history was lost, are current ones.
    auto start(Duration delay, Freshness freshness) -> void;
    /// Makes no calls while held, for example while the store is known to be unreachable.
    auto setHeld(bool held) -> void;
    /// Whether to watch for changes. A watch under way is awaited all the same: it is paid for already.
    auto setWatching(bool watching) -> void;
    /// The objects are known from elsewhere. They are only listed before the next watch.
    auto skipList() -> void;
    auto stop() -> void;
    /// Checks the waiting watch when that is due. Call it about every 100 ms.
    auto tick(TimePoint now) -> void;

    /// Returns whether the last call has been answered.
    auto isReachable() const -> bool
    {
        return reachable_;
    }

private:
    auto proceed() -> void;
    auto list() -> void;
    auto watch() -> void;
    auto onWatchResult(const std::variant<StoredChanges, StoreError>& result) -> void;
    auto check() -> void;
    auto onCheckResult(const std::variant<StoredChanges, StoreError>& result) -> void;
    auto cancelWatch() -> void;
    auto pauseAfterFailure() -> void;
    auto pause(Duration time) -> void;
    auto setReachable(bool reachable, StoreError error) -> void;

    ObjectStore& store_;
    std::string kind_;
    Duration batch_;
    KindWatchEvents events_;
    asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::uint64_t revision_ = 0;
    ObjectStore::WatchId watchId_ = 0; ///< Of the waiting watch; 0 if there is none.
    TimePoint nextCheck_;
    int failures_ = 0; ///< In a row.
    Freshness freshness_ = Freshness::Current; ///< Of the next list.
    bool held_ = false;
    bool listed_ = false;
    bool listWanted_ = false;
    bool watching_ = false;
    bool busy_ = false; ///< A call or a pause is under way.
    bool checking_ = false;
    bool reachable_ = true;
    bool stopped_ = false;
};

} // namespace wagtailhead
