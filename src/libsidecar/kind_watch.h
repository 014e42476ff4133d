/// Follows all objects of one kind in the store.
#pragma once

#include "wagtailhead/object_store.h"

#include <algorithm>
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

/// The calls by which a kind is read.
enum class KindRead : std::uint8_t {
    List,
    StaleList,
    Watch,
    Check, ///< Of a waiting watch.
    StaleCheck,
};

/// Returns the lower-case name of a call, for logs.
auto kindReadName(KindRead read) -> const char*;

/// Counts of the checks of waiting watches since the start, by their outcome.
struct KindCheckStats {
    std::uint64_t unchanged_ = 0; ///< Nothing newer was found.
    std::uint64_t newer_ = 0; ///< The watch should have been answered.
    std::uint64_t failed_ = 0;
};

struct KindWatchEvents {
    /// Objects that a current list does not name did not exist when it was requested.
    std::function<void(const KindList& list)> onList_;
    std::function<void(const StoredChange& change)> onChange_;
    /// The store was lost or is there again.
    std::function<void(bool reachable)> onReachable_;
    /// The store has answered a call that was sent at this bootNow() time and is not stale, so what it
    /// confirmed until then has been reported. Runs after the changes of that answer.
    std::function<void(TimePoint sentAt)> onRead_ {};
};

/// How often a kind is read; each call is paid for.
struct KindWatchPace {
    /// After changes it waits for this time before it watches again.
    Duration batch_ {};
    /// A waiting watch is not checked earlier than this after the last answer or check.
    Duration checkInterval_ = seconds(2);
    /// How it is checked. Stale checks are cheap, and find a lost answer only once the stale reads have
    /// caught up with the change.
    Freshness checkFreshness_ = Freshness::Current;
    /// Longest pause after failed calls.
    Duration longestPause_ = seconds(1);
    /// Whether pauses are the longest ones from the second failure on.
    bool patient_ = false;
};

/// Lists, then watches as long as it is told to, and starts over when the history is gone. The answer to a
/// watch may be lost, on a connection that stays open and silent: while a watch waits, check() asks the store
/// what has changed, and the watch is replaced if it should have been answered. Calls that fail are repeated
/// at a bounded rate, since each is paid for. All members run in the context's single thread.
class KindWatch : public std::enable_shared_from_this<KindWatch> {
public:
    KindWatch(asio::io_context& context, ObjectStore& store, std::string kind, const KindWatchPace& pace,
        std::uint64_t seed, KindWatchEvents events);

    /// Lists the objects after `delay`, and again until that succeeds or skipList() is called. Later lists,
    /// after the history was lost, are current ones.
    auto start(Duration delay, Freshness freshness) -> void;
    /// Applies from the next call or pause on. A check that is due later is brought forward.
    auto setPace(const KindWatchPace& pace) -> void
    {
        pace_ = pace;
        nextCheck_ = std::min(nextCheck_, Clock::now() + pace.checkInterval_);
    }
    /// Makes no calls while held, for example while the store is known to be unreachable. The watch that
    /// waited meanwhile is replaced, since its answer may have been lost.
    auto setHeld(bool held) -> void;
    /// Whether to watch for changes. Starts with a current list unless the store has answered just before. A
    /// watch under way at the end is awaited all the same: it is paid for already.
    auto setWatching(bool watching) -> void;
    /// The objects are known from elsewhere. They are only listed before the next watch.
    auto skipList() -> void;
    auto stop() -> void;
    /// Checks the waiting watch unless that is too early. Call it about every 100 ms while checks are wanted.
    auto check(TimePoint now) -> void;

    /// Returns the call whose answer is reported, or was reported last.
    auto lastRead() const -> KindRead
    {
        return lastRead_;
    }

    auto checkStats() const -> const KindCheckStats&
    {
        return checkStats_;
    }

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
    auto sendCheck() -> void;
    /// The store has answered a call that was sent at this bootNow() time.
    auto onAnswer(TimePoint sentAt, Freshness freshness) -> void;
    auto onCheckResult(const std::variant<StoredChanges, StoreError>& result, Freshness freshness) -> void;
    auto cancelWatch() -> void;
    auto pauseAfterFailure() -> void;
    auto pause(Duration time) -> void;
    auto setReachable(bool reachable, StoreError error) -> void;

    ObjectStore& store_;
    std::string kind_;
    KindWatchPace pace_;
    KindWatchEvents events_;
    asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::uint64_t revision_ = 0;
    ObjectStore::WatchId watchId_ = 0; ///< Of the waiting watch; 0 if there is none.
    TimePoint watchSentAt_; ///< Of the waiting watch.
    TimePoint nextCheck_; ///< Of the waiting watch.
    TimePoint answeredAt_; ///< When the last call that was answered had been sent, in bootNow() time.
    Duration answerTime_ {}; ///< How long that answer took.
    KindRead lastRead_ = KindRead::List;
    KindCheckStats checkStats_;
    int failures_ = 0; ///< In a row.
    Freshness freshness_ = Freshness::Current; ///< Of the next list.
    bool held_ = false;
    bool listed_ = false;
    bool listWanted_ = false;
    bool watching_ = false;
    bool busy_ = false; ///< A call or a pause is under way.
    bool reachable_ = true;
    bool stopped_ = false;
};

} // namespace wagtailhead
