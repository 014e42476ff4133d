#include "kind_watch.h"

#include "wagtailhead/boot_clock.h"
#include "wagtailhead/log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wagtailhead {

namespace {

/// The longest wait that the store's interface allows.
constexpr Duration watchWait = seconds(30);
/// After a failed call the store has to answer at once, which shows that it is there again.
constexpr Duration watchWaitAfterFailure = milliseconds(1);
/// A watch goes on from the revision of the last answer only if that is younger: the store keeps its history
/// for a limited time.
constexpr Duration recentAnswer = seconds(2);
/// Pauses after failed calls: from the first on, doubling.
constexpr Duration firstPause = milliseconds(200);
constexpr int mostDoublings = 3;

constexpr std::array<const char*, 5> errorNames { "history-gone", "conflict", "not-found", "refused",
    "no-answer" };
constexpr std::array<const char*, 5> readNames { "list", "stale-list", "watch", "check", "stale-check" };

} // namespace

auto storeErrorName(StoreError error) -> const char*
{
    return errorNames.at(static_cast<std::size_t>(error));
}

auto kindReadName(KindRead read) -> const char*
{
    return readNames.at(static_cast<std::size_t>(read));
}

KindWatch::KindWatch(asio::io_context& context, ObjectStore& store, std::string kind,
    const KindWatchPace& pace, std::uint64_t seed, KindWatchEvents events)
    : store_(store)
    , kind_(std::move(kind))
    , pace_(pace)
    , events_(std::move(events))
    , timer_(context)
    , random_(seed)
{
}

auto KindWatch::start(Duration delay, Freshness freshness) -> void
{
    freshness_ = freshness;
    listWanted_ = true;
    pause(delay);
}

auto KindWatch::setHeld(bool held) -> void
{
    if (std::exchange(held_, held) && !held && watchId_ != 0) {
        cancelWatch();
        busy_ = false;
    }
    proceed();
}

auto KindWatch::setWatching(bool watching) -> void
{
    const bool starts = watching && !watching_;
    watching_ = watching;
    if (starts && bootNow() - answeredAt_ > recentAnswer) {
        listed_ = false;
        if (watchId_ != 0) {
            cancelWatch();
            busy_ = false;
        }
    }
    proceed();
}

auto KindWatch::skipList() -> void
{
    listWanted_ = false;
}

auto KindWatch::stop() -> void
{
    stopped_ = true;
    timer_.cancel();
    cancelWatch();
}

auto KindWatch::setReachable(bool reachable, StoreError error) -> void
{
    if (reachable == reachable_) {
        return;
    }
    reachable_ = reachable;
    if (reachable) {
        logEvent(LogLevel::Info, "store_regained", { { "kind", kind_ } });
    } else {
        logEvent(LogLevel::Warning, "store_lost", { { "kind", kind_ }, { "error", storeErrorName(error) } });
    }
    if (events_.onReachable_) {
        events_.onReachable_(reachable);
    }
}

auto KindWatch::proceed() -> void
{
    if (stopped_ || busy_ || held_) {
        return;
    }
    if (!listed_ && (listWanted_ || watching_)) {
        list();
    } else if (listed_ && watching_) {
        watch();
    }
}

auto KindWatch::list() -> void
{
    busy_ = true;
    const auto requestedAt = Clock::now();
    auto onDone = [self = shared_from_this(), requestedAt, sentAt = bootNow()](
                      std::variant<StoredList, StoreError> result) {
        self->busy_ = false;
        if (self->stopped_) {
            return;
        }
        if (const auto* error = std::get_if<StoreError>(&result)) {
            self->setReachable(false, *error);
            self->pauseAfterFailure();
            return;
        }
        auto& listed = std::get<StoredList>(result);
        self->setReachable(true, {});
        self->failures_ = 0;
        self->revision_ = listed.revision_;
        self->listed_ = true;
        self->listWanted_ = false;
        const auto freshness = std::exchange(self->freshness_, Freshness::Current);
        self->lastRead_ = freshness == Freshness::Current ? KindRead::List : KindRead::StaleList;
        self->events_.onList_({ std::move(listed.objects_), freshness, requestedAt });
        self->onAnswer(sentAt, freshness);
        self->proceed();
    };
    store_.list(kind_, freshness_, std::move(onDone));
}

auto KindWatch::watch() -> void
{
    busy_ = true;
    watchSentAt_ = Clock::now();
    const bool answersAtOnce = failures_ > 0;
    watchId_ = store_.watch(kind_, revision_, answersAtOnce ? watchWaitAfterFailure : watchWait,
        [self = shared_from_this(), answersAtOnce, sentAt = bootNow()](
            const std::variant<StoredChanges, StoreError>& result) {
            self->watchId_ = 0;
            self->busy_ = false;
            if (self->stopped_) {
                return;
            }
            self->lastRead_ = KindRead::Watch;
            self->onWatchResult(result);
            if (answersAtOnce && std::holds_alternative<StoredChanges>(result)) {
                self->onAnswer(sentAt, Freshness::Current);
            }
        });
}

auto KindWatch::onAnswer(TimePoint sentAt, Freshness freshness) -> void
{
    answeredAt_ = std::max(answeredAt_, sentAt);
    answerTime_ = bootNow() - sentAt;
    nextCheck_ = std::max(nextCheck_, Clock::now() + pace_.checkInterval_ - answerTime_);
    if (events_.onRead_ && freshness == Freshness::Current) {
        events_.onRead_(sentAt);
    }
}

auto KindWatch::onWatchResult(const std::variant<StoredChanges, StoreError>& result) -> void
{
    if (const auto* error = std::get_if<StoreError>(&result)) {
        if (*error == StoreError::HistoryGone) {
            listed_ = false;
        } else {
            setReachable(false, *error);
        }
        pauseAfterFailure();
        return;
    }
    setReachable(true, {});
    failures_ = 0;
    const auto& changes = std::get<StoredChanges>(result);
    revision_ = std::max(revision_, changes.revision_);
    for (const auto& change : changes.changes_) {
        events_.onChange_(change);
    }
    if (changes.changes_.empty()) {
        proceed();
    } else {
        pause(pace_.batch_);
    }
}

auto KindWatch::check(TimePoint now) -> void
{
    // The answer to a check may be lost as well, so the next one does not wait for it, unless the store takes
    // that long for each.
    if (watchId_ != 0 && watching_ && !held_ && now >= nextCheck_) {
        nextCheck_ = now + std::max(pace_.checkInterval_, answerTime_);
        sendCheck();
    }
}

auto KindWatch::sendCheck() -> void
{
    const auto freshness = pace_.checkFreshness_;
    store_.changesSoFar(kind_, revision_, freshness,
        [self = shared_from_this(), checked = watchId_, freshness, sentAt = bootNow()](
            const std::variant<StoredChanges, StoreError>& result) {
            const auto* changes = std::get_if<StoredChanges>(&result);
            const bool outdated = changes == nullptr && self->answeredAt_ > sentAt;
            if (self->stopped_ || outdated) {
                return;
            }
            if (self->watchId_ == checked) {
                self->onCheckResult(result, freshness);
            }
            if (changes != nullptr && (changes->changes_.empty() || changes->revision_ <= self->revision_)) {
                self->onAnswer(sentAt, freshness);
            }
        });
}

auto KindWatch::onCheckResult(const std::variant<StoredChanges, StoreError>& result, Freshness freshness)
    -> void
{
    const auto* error = std::get_if<StoreError>(&result);
    const bool refused
        = error != nullptr && *error != StoreError::NoAnswer && *error != StoreError::HistoryGone;
    const bool upToDate = error == nullptr && std::get<StoredChanges>(result).changes_.empty();
    ++(error != nullptr ? checkStats_.failed_ : upToDate ? checkStats_.unchanged_ : checkStats_.newer_);
    if (refused || upToDate) {
        return; // A store that turns a call away says nothing of the watch.
    }
    logEvent(LogLevel::Warning, "watch_replaced",
        { { "kind", kind_ }, { "revision", revision_ },
            { "reason", error == nullptr ? "answer-lost" : storeErrorName(*error) },
            { "waited_ms", toMilliseconds(Clock::now() - watchSentAt_) } });
    cancelWatch();
    busy_ = false;
    lastRead_ = freshness == Freshness::Current ? KindRead::Check : KindRead::StaleCheck;
    if (error != nullptr && *error == StoreError::HistoryGone && freshness == Freshness::MayBeStale) {
        watch(); // The store itself tells whether the history is gone.
    } else {
        onWatchResult(result);
    }
}

auto KindWatch::cancelWatch() -> void
{
    if (const auto id = std::exchange(watchId_, 0)) {
        store_.cancelWatch(id);
    }
}

auto KindWatch::pauseAfterFailure() -> void
{
    auto longest
        = std::min<Duration>(firstPause * (1 << std::min(failures_, mostDoublings)), pace_.longestPause_);
    if (failures_++ > 0 && pace_.patient_) {
        longest = pace_.longestPause_;
    }
    std::uniform_real_distribution<> jitter(0.7, 1.0);
    pause(std::chrono::duration_cast<Duration>(longest * jitter(random_)));
}

auto KindWatch::pause(Duration time) -> void
{
    busy_ = true;
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
        self->busy_ = false;
        if (!error) {
            self->proceed();
        }
    });
}

} // namespace wagtailhead
