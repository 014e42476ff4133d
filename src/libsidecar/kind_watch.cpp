#include "kind_watch.h"

#include "wagtailhead/log.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

/// The longest wait that the store's interface allows.
constexpr Duration watchWait = seconds(30);
/// Pauses after failed calls: from the first to the longest, doubling. The longest keeps the time to
/// recovery after an outage of the store under two seconds.
constexpr Duration firstPause = milliseconds(200);
constexpr Duration longestPause = milliseconds(1000);
constexpr int mostDoublings = 3;

constexpr std::array<const char*, 5> errorNames { "history-gone", "conflict", "not-found", "refused",
    "no-answer" };

} // namespace

auto storeErrorName(StoreError error) -> const char*
{
    return errorNames.at(static_cast<std::size_t>(error));
}

KindWatch::KindWatch(asio::io_context& context, ObjectStore& store, std::string kind, Duration batch,
    std::uint64_t seed, KindWatchEvents events)
    : store_(store)
    , kind_(std::move(kind))
    , batch_(batch)
    , events_(std::move(events))
    , timer_(context)
    , random_(seed)
{
}

auto KindWatch::start() -> void
{
    list();
}

auto KindWatch::stop() -> void
{
    stopped_ = true;
    timer_.cancel();
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

auto KindWatch::list() -> void
{
    store_.list(kind_, [self = shared_from_this()](std::variant<StoredList, StoreError> result) {
        if (self->stopped_) {
            return;
        }
        if (const auto* error = std::get_if<StoreError>(&result)) {
            self->setReachable(false, *error);
            self->pauseThen(&KindWatch::list);
            return;
        }
        const auto& listed = std::get<StoredList>(result);
        self->setReachable(true, {});
        self->failures_ = 0;
        self->revision_ = listed.revision_;
        self->events_.onList_(listed.objects_);
        self->watch();
    });
}

auto KindWatch::watch() -> void
{
    store_.watch(kind_, revision_, watchWait,
        [self = shared_from_this()](std::variant<StoredChanges, StoreError> result) {
            if (self->stopped_) {
                return;
            }
            if (const auto* error = std::get_if<StoreError>(&result)) {
                if (*error == StoreError::HistoryGone) {
                    self->pauseThen(&KindWatch::list);
                } else {
                    self->setReachable(false, *error);
                    self->pauseThen(&KindWatch::watch);
                }
                return;
            }
            self->setReachable(true, {});
            self->failures_ = 0;
            const auto& changes = std::get<StoredChanges>(result);
            self->revision_ = std::max(self->revision_, changes.revision_);
            for (const auto& change : changes.changes_) {
                self->events_.onChange_(change);
            }
            if (changes.changes_.empty()) {
                self->watch();
            } else {
                self->callAfter(self->batch_, &KindWatch::watch);
            }
        });
}

auto KindWatch::pauseThen(void (KindWatch::*next)()) -> void
{
    const auto pause = std::min(firstPause * (1 << std::min(failures_, mostDoublings)), longestPause);
    ++failures_;
    std::uniform_real_distribution<> jitter(0.7, 1.0);
    callAfter(std::chrono::duration_cast<Duration>(pause * jitter(random_)), next);
}

auto KindWatch::callAfter(Duration pause, void (KindWatch::*next)()) -> void
{
    timer_.expires_after(pause);
    timer_.async_wait([self = shared_from_this(), next](const asio::error_code& error) {
        if (!error && !self->stopped_) {
            (self.get()->*next)();
        }
    });
}

} // namespace wagtailhead
