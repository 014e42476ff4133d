/// The watch of a kind and the publisher of an entry against a store in memory.
#include "entry_publisher.h"
#include "kind_watch.h"
#include "wagtailhead/boot_clock.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <map>
#include <thread>

using namespace wagtailhead;

namespace {

/// Answers from a map; a test sets which call fails next.
class MemoryStore final : public ObjectStore {
public:
    explicit MemoryStore(asio::io_context& context)
        : context_(context)
    {
    }

    auto list(const std::string& /*kind*/, Freshness freshness, Callback<StoredList> callback)
        -> void override
    {
        ++lists_;
        lastFreshness_ = freshness;
        if (auto error = takeError()) {
            return answer<StoredList>(callback, *error);
        }
        StoredList found;
        found.revision_ = revision_;
        for (const auto& [name, object] : objects_) {
            found.objects_.push_back(object);
        }
        answer<StoredList>(callback, found);
    }
    auto watch(const std::string& /*kind*/, std::uint64_t revision, Duration /*wait*/,
        Callback<StoredChanges> callback) -> WatchId override
    {
        watchedFrom_ = revision;
        watch_ = std::move(callback);
        return ++watches_;
    }
    auto cancelWatch(WatchId /*id*/) -> void override
    {
        watch_ = nullptr;
    }
    auto changesSoFar(const std::string& /*kind*/, std::uint64_t /*revision*/, Freshness freshness,
        Callback<StoredChanges> callback) -> void override
    {
        ++checks_;
        lastFreshness_ = freshness;
        check_ = std::move(callback);
    }
    auto create(const std::string& /*kind*/, const std::string& name, const std::string& value,
        Callback<StoredObject> callback) -> void override
    {
        ++writes_;
        if (objects_.count(name) > 0) {
            return answer<StoredObject>(callback, StoreError::Conflict);
        }
        write({ name, 0, value }, callback);
    }
    auto replace(const std::string& /*kind*/, const StoredObject& object, Callback<StoredObject> callback)
        -> void override
    {
        ++writes_;
        if (objects_.count(object.name_) == 0) {
            return answer<StoredObject>(callback, StoreError::NotFound);
        }
        if (objects_[object.name_].revision_ != object.revision_) {
            return answer<StoredObject>(callback, StoreError::Conflict);
        }
        write(object, callback);
    }
    auto get(const std::string& /*kind*/, const std::string& name, Callback<StoredObject> callback)
        -> void override
    {
        if (objects_.count(name) == 0) {
            return answer<StoredObject>(callback, StoreError::NotFound);
        }
        answer<StoredObject>(callback, objects_[name]);
    }
    auto remove(const std::string& /*kind*/, const std::string& /*name*/, std::uint64_t /*revision*/,
        Callback<std::monostate> /*callback*/) -> void override
    {
    }
    auto tick(TimePoint /*now*/) -> void override { }
    auto stats() const -> ObjectStoreStats override
    {
        return {};
    }

    auto endWatch(std::variant<StoredChanges, StoreError> result) -> void
    {
        std::exchange(watch_, nullptr)(std::move(result));
    }

    std::map<std::string, StoredObject> objects_;
    std::uint64_t revision_ = 10;
    std::vector<StoreError> errors_; ///< Of the next calls.
    bool loseAnswer_ = false; ///< The next write is done and not answered.
    int lists_ = 0;
    int checks_ = 0;
    Freshness lastFreshness_ = Freshness::Current;
    int writes_ = 0;
    std::uint64_t watchedFrom_ = 0;
    Callback<StoredChanges> watch_;
    Callback<StoredChanges> check_;
    WatchId watches_ = 0;

private:
    template <typename T> auto answer(const Callback<T>& callback, std::variant<T, StoreError> result) -> void
    {
        asio::post(context_, [callback, result] {
            callback(result);
        });
    }
    auto takeError() -> std::optional<StoreError>
    {
        if (errors_.empty()) {
            return std::nullopt;
        }
        const auto error = errors_.front();
        errors_.erase(errors_.begin());
        return error;
    }
    auto write(StoredObject object, const Callback<StoredObject>& callback) -> void
    {
        if (auto error = takeError()) {
            return answer<StoredObject>(callback, *error);
        }
        object.revision_ = ++revision_;
        objects_[object.name_] = object;
        if (std::exchange(loseAnswer_, false)) {
            return answer<StoredObject>(callback, StoreError::NoAnswer);
        }
        answer<StoredObject>(callback, object);
    }

    asio::io_context& context_;
};

auto run(asio::io_context& context, Duration time) -> void
{
    context.run_for(time);
    context.restart();
}

auto entryOf(std::uint64_t generation) -> NodeEntry
{
    NodeEntry entry;
    entry.node_ = "n1";
    entry.zone_ = "a";
    entry.region_ = "r";
    entry.service_ = "stock";
    entry.link_ = { "127.0.0.1", 80 };
    entry.generation_ = generation;
    return entry;
}

} // namespace

Test(kind_watch, lists_then_watches_from_the_list)
{
    asio::io_context context;
    MemoryStore store(context);
    store.objects_["main"] = { "main", 4, "{}" };
    std::vector<std::string> seen;
    auto watch = std::make_shared<KindWatch>(context, store, "config",
        KindWatchPace { .batch_ = milliseconds(20) }, 1,
        KindWatchEvents { [&](const KindList& list) {
                             seen.push_back("list " + std::to_string(list.objects_.size()));
                         },
            [&](const StoredChange& change) {
                seen.push_back("change " + change.object_.name_);
            },
            nullptr });
    watch->start({}, Freshness::Current);
    watch->setWatching(true);
    run(context, milliseconds(20));
    cr_assert(store.watchedFrom_ == 10);
    store.endWatch(StoredChanges { { { { "main", 12, "{}" }, false } }, 12 });
    cr_assert(seen == (std::vector<std::string> { "list 1", "change main" }));
    cr_assert(!store.watch_, "the next watch waits for further changes");
    run(context, milliseconds(100));
    cr_assert(store.watchedFrom_ == 12);
    watch->stop();
}

Test(kind_watch, starts_over_when_the_history_is_gone)
{
    asio::io_context context;
    MemoryStore store(context);
    auto watch
        = std::make_shared<KindWatch>(context, store, "config", KindWatchPace { .batch_ = milliseconds(20) },
            1, KindWatchEvents { [](const KindList&) {}, [](const StoredChange&) {}, nullptr });
    watch->start({}, Freshness::Current);
    watch->setWatching(true);
    run(context, milliseconds(20));
    store.endWatch(StoreError::HistoryGone);
    run(context, milliseconds(300));
    cr_assert(store.lists_ == 2);
    watch->stop();
}

Test(kind_watch, repeats_failed_calls_at_a_bounded_rate_and_is_back_soon)
{
    asio::io_context context;
    MemoryStore store(context);
    store.errors_.assign(100, StoreError::Refused);
    std::vector<bool> reachable;
    auto watch = std::make_shared<KindWatch>(context, store, "config",
        KindWatchPace { .batch_ = milliseconds(20) }, 1,
        KindWatchEvents { [](const KindList&) {}, [](const StoredChange&) {},
            [&](bool now) {
                reachable.push_back(now);
            } });
    watch->start({}, Freshness::Current);
    watch->setWatching(true);
    run(context, seconds(3));
    cr_assert(store.lists_ >= 3 && store.lists_ <= 8, "%d calls in 3 s", store.lists_);
    store.errors_.clear();
    run(context, milliseconds(1200));
    cr_assert(reachable == (std::vector<bool> { false, true }));
    watch->stop();
}

Test(kind_watch, only_lists_unless_told_to_watch)
{
    asio::io_context context;
    MemoryStore store(context);
    auto watch
        = std::make_shared<KindWatch>(context, store, "config", KindWatchPace { .batch_ = milliseconds(20) },
            1, KindWatchEvents { [](const KindList&) {}, [](const StoredChange&) {}, nullptr });
    watch->start(milliseconds(30), Freshness::Current);
    run(context, milliseconds(20));
    cr_assert(store.lists_ == 0, "listed before the delay");
    run(context, milliseconds(40));
    cr_assert(store.lists_ == 1 && !store.watch_);
    store.revision_ = 20;
    watch->setWatching(true);
    run(context, milliseconds(10));
    cr_assert(store.watch_ && store.watchedFrom_ == 10, "what happened since the list is seen");
    watch->setWatching(false);
    store.endWatch(StoredChanges { {}, 21 });
    run(context, milliseconds(50));
    cr_assert(!store.watch_, "the watch goes on");
    watch->stop();
}

Test(kind_watch, does_not_list_what_is_known_from_elsewhere)
{
    asio::io_context context;
    MemoryStore store(context);
    store.errors_.assign(100, StoreError::Refused);
    auto watch
        = std::make_shared<KindWatch>(context, store, "config", KindWatchPace { .batch_ = milliseconds(20) },
            1, KindWatchEvents { [](const KindList&) {}, [](const StoredChange&) {}, nullptr });
    watch->start({}, Freshness::Current);
    run(context, milliseconds(50));
    watch->skipList();
    const int calls = store.lists_;
    run(context, milliseconds(1500));
    cr_assert(store.lists_ == calls);
    store.errors_.clear();
    watch->setWatching(true);
    run(context, milliseconds(50));
    cr_assert(store.lists_ == calls + 1, "a watch starts from a list");
    watch->stop();
}

Test(kind_watch, only_the_first_list_may_be_stale)
{
    asio::io_context context;
    MemoryStore store(context);
    std::vector<Freshness> seen;
    auto watch = std::make_shared<KindWatch>(context, store, "config",
        KindWatchPace { .batch_ = milliseconds(20) }, 1,
        KindWatchEvents { [&](const KindList& list) {
                             seen.push_back(list.freshness_);
                         },
            [](const StoredChange&) {}, nullptr });
    watch->start({}, Freshness::MayBeStale);
    watch->setWatching(true);
    run(context, milliseconds(20));
    cr_assert(store.lastFreshness_ == Freshness::MayBeStale);
    store.endWatch(StoreError::HistoryGone);
    run(context, milliseconds(300));
    cr_assert(store.lastFreshness_ == Freshness::Current);
    cr_assert(seen == (std::vector<Freshness> { Freshness::MayBeStale, Freshness::Current }));
    watch->stop();
}

// A process that has read "draining" treats the backend server like one that is gone, and each write is paid
// for.
Test(entry_publisher, a_withdrawal_after_a_stored_drain_is_not_written)
{
    asio::io_context context;
    MemoryStore store(context);
    auto publisher = std::make_shared<EntryPublisher>(context, store);
    auto entry = entryOf(1);
    entry.phase_ = BackendPhase::Draining;
    publisher->publish(entry, nullptr);
    run(context, milliseconds(20));
    bool confirmed = false;
    entry.phase_ = BackendPhase::Gone;
    publisher->publish(entry, [&] {
        confirmed = true;
    });
    run(context, milliseconds(20));
    cr_assert(confirmed && store.writes_ == 1);
    entry.backendId_ = "i-2";
    publisher->publish(entry, nullptr);
    run(context, milliseconds(20));
    cr_assert(store.writes_ == 2, "another backend server has left");
}

Test(entry_publisher, a_new_generation_alone_is_not_written)
{
    asio::io_context context;
    MemoryStore store(context);
    auto publisher = std::make_shared<EntryPublisher>(context, store);
    publisher->publish(entryOf(1), nullptr);
    run(context, milliseconds(20));
    publisher->publish(entryOf(2), nullptr);
    run(context, milliseconds(20));
    cr_assert(store.writes_ == 1);
    auto changed = entryOf(3);
    changed.phase_ = BackendPhase::Draining;
    publisher->publish(changed, nullptr);
    run(context, milliseconds(20));
    cr_assert(store.writes_ == 2);
}

Test(entry_publisher, finds_its_own_write_whose_answer_was_lost)
{
    asio::io_context context;
    MemoryStore store(context);
    store.loseAnswer_ = true;
    auto publisher = std::make_shared<EntryPublisher>(context, store);
    int written = 0;
    publisher->publish(entryOf(1), [&] {
        ++written;
    });
    run(context, milliseconds(900));
    cr_assert(written == 1);
    cr_assert(store.writes_ == 1, "the entry was written again");
}

// The answer to a watch was lost during a short silence of the store, and the node kept its configuration for
// the 31 s of the watch (review case 1).
Test(kind_watch, a_watch_whose_answer_was_lost_is_replaced)
{
    struct Case {
        const char* name_;
        std::variant<StoredChanges, StoreError> check_;
        bool replaced_;
        std::vector<bool> reachable_;
        int changes_;
    };
    const Case cases[] = {
        { "nothing has changed", StoredChanges { {}, 10 }, false, {}, 0 },
        { "the check is turned away", StoreError::Refused, false, {}, 0 },
        { "a change was not reported", StoredChanges { { { { "main", 12, "{}" }, false } }, 12 }, true, {},
            1 },
        { "the history is gone", StoreError::HistoryGone, true, {}, 0 },
        { "the store is silent", StoreError::NoAnswer, true, { false, true }, 0 },
    };
    const auto play = [](const Case& testCase, Freshness freshness) {
        asio::io_context context;
        MemoryStore store(context);
        std::vector<bool> reachable;
        int changes = 0;
        auto watch = std::make_shared<KindWatch>(context, store, "config",
            KindWatchPace { .batch_ = milliseconds(20), .checkFreshness_ = freshness }, 1,
            KindWatchEvents { [](const KindList&) {},
                [&](const StoredChange&) {
                    ++changes;
                },
                [&](bool now) {
                    reachable.push_back(now);
                } });
        watch->start({}, Freshness::Current);
        watch->setWatching(true);
        run(context, milliseconds(20));
        watch->check(Clock::now() + milliseconds(1900));
        cr_expect(!store.check_, "%s: checked too early", testCase.name_);
        watch->check(Clock::now() + seconds(2));
        cr_assert(store.check_ != nullptr, "%s: not checked", testCase.name_);
        cr_assert(store.lastFreshness_ == freshness);
        std::exchange(store.check_, nullptr)(testCase.check_);
        run(context, milliseconds(250));
        cr_expect(store.watches_ == (testCase.replaced_ ? 2 : 1), "%s", testCase.name_);
        if (testCase.replaced_) {
            store.endWatch(StoredChanges { {}, 12 });
            run(context, milliseconds(20));
        }
        cr_expect(store.watch_ != nullptr, "%s: no watch", testCase.name_);
        cr_expect(reachable == testCase.reachable_, "%s", testCase.name_);
        cr_expect(changes == testCase.changes_, "%s", testCase.name_);
        watch->stop();
    };
    for (const auto& testCase : cases) {
        play(testCase, Freshness::Current);
        play(testCase, Freshness::MayBeStale);
    }
}

Test(kind_watch, a_check_that_comes_after_the_answer_changes_nothing)
{
    asio::io_context context;
    MemoryStore store(context);
    auto watch
        = std::make_shared<KindWatch>(context, store, "config", KindWatchPace { .batch_ = milliseconds(20) },
            1, KindWatchEvents { [](const KindList&) {}, [](const StoredChange&) {}, nullptr });
    watch->start({}, Freshness::Current);
    watch->setWatching(true);
    run(context, milliseconds(20));
    watch->check(Clock::now() + seconds(2));
    store.endWatch(StoredChanges { {}, 12 });
    std::exchange(store.check_, nullptr)(StoreError::NoAnswer);
    run(context, milliseconds(250));
    cr_assert(watch->isReachable() && store.watches_ == 2 && store.watchedFrom_ == 12);
    watch->stop();
}

// The other nodes of a zone rely on what a watcher has read, so only answers to calls of a known time count:
// that of a waiting watch may have been on its way for long.
Test(kind_watch, tells_when_the_store_was_read)
{
    asio::io_context context;
    MemoryStore store(context);
    std::vector<TimePoint> reads;
    KindWatchEvents events { [](const KindList&) {}, [](const StoredChange&) {}, nullptr,
        [&](TimePoint sentAt) {
            reads.push_back(sentAt);
        } };
    auto watch = std::make_shared<KindWatch>(
        context, store, "config", KindWatchPace { .batch_ = milliseconds(20) }, 1, std::move(events));
    const auto begin = bootNow();
    watch->start({}, Freshness::Current);
    watch->setWatching(true);
    run(context, milliseconds(20));
    cr_assert(reads.size() == 1 && reads[0] >= begin);
    store.endWatch(StoredChanges { { { { "main", 12, "{}" }, false } }, 12 });
    run(context, milliseconds(50));
    cr_assert(reads.size() == 1 && store.watch_, "the answer of a waiting watch");
    const auto checked = bootNow();
    watch->check(Clock::now() + seconds(2));
    std::this_thread::sleep_for(milliseconds(30));
    std::exchange(store.check_, nullptr)(StoredChanges { {}, 12 });
    cr_assert(reads.size() == 2 && reads[1] >= checked && bootNow() - reads[1] >= milliseconds(30));
    auto later = Clock::now();
    for (const auto error : { StoreError::Refused, StoreError::NoAnswer, StoreError::HistoryGone }) {
        later += seconds(5);
        watch->check(later);
        cr_assert(store.check_ != nullptr);
        std::exchange(store.check_, nullptr)(error);
        cr_assert(reads.size() == 2, "%s", storeErrorName(error));
        run(context, milliseconds(250));
        if (error == StoreError::NoAnswer) {
            const auto again = bootNow();
            store.endWatch(StoredChanges { {}, 12 });
            cr_assert(reads.size() == 3 && reads[2] <= again, "the store is asked at once after a failure");
            reads.pop_back();
        }
    }
    cr_assert(reads.size() == 3 && store.lists_ == 2, "a new list after the history is gone");
    watch->stop();
}

// The answer to a watch was lost while reads that may be stale were 5 s old. Each check found nothing newer
// and was taken for a read of the store, so all nodes relied on an old configuration until the stale reads
// had caught up (issue 56).
Test(kind_watch, a_check_that_may_be_stale_is_no_read_of_the_store)
{
    asio::io_context context;
    MemoryStore store(context);
    int reads = 0;
    KindWatchEvents events { [](const KindList&) {}, [](const StoredChange&) {}, nullptr,
        [&](TimePoint) {
            ++reads;
        } };
    auto watch = std::make_shared<KindWatch>(context, store, "config",
        KindWatchPace { .batch_ = milliseconds(20), .checkFreshness_ = Freshness::MayBeStale }, 1,
        std::move(events));
    watch->start({}, Freshness::MayBeStale);
    watch->setWatching(true);
    run(context, milliseconds(20));
    watch->check(Clock::now() + seconds(2));
    std::exchange(store.check_, nullptr)(StoredChanges { {}, 10 });
    cr_assert(reads == 0);
    watch->check(Clock::now() + seconds(4));
    std::exchange(store.check_, nullptr)(StoredChanges { { { { "main", 12, "{}" }, false } }, 12 });
    cr_assert(reads == 0, "there may be something newer still");
    watch->stop();
}

// A check and the watch beside it may lose their answers at the same moment, and a check is given up only
// after 1.5 s.
Test(kind_watch, a_check_does_not_wait_for_the_one_before)
{
    asio::io_context context;
    MemoryStore store(context);
    int changes = 0;
    auto watch = std::make_shared<KindWatch>(context, store, "config",
        KindWatchPace { .batch_ = milliseconds(20), .checkInterval_ = milliseconds(500) }, 1,
        KindWatchEvents { [](const KindList&) {},
            [&](const StoredChange&) {
                ++changes;
            },
            nullptr });
    watch->start({}, Freshness::Current);
    watch->setWatching(true);
    run(context, milliseconds(20));
    watch->check(Clock::now() + milliseconds(500));
    auto lost = std::exchange(store.check_, nullptr);
    cr_assert(lost != nullptr);
    watch->check(Clock::now() + milliseconds(900));
    cr_assert(store.checks_ == 1);
    watch->check(Clock::now() + milliseconds(1000));
    cr_assert(store.checks_ == 2);
    std::this_thread::sleep_for(milliseconds(1));
    std::exchange(store.check_, nullptr)(StoredChanges { { { { "main", 12, "{}" }, false } }, 12 });
    run(context, milliseconds(50));
    cr_assert(changes == 1 && store.watches_ == 2 && store.watchedFrom_ == 12);
    lost(StoreError::NoAnswer);
    cr_assert(watch->isReachable() && store.watches_ == 2, "the store has answered a later call");
    watch->stop();
}

// The first change after a node had stepped in for the watchers was seen only after two failed calls.
Test(kind_watch, starts_to_watch_from_a_current_list)
{
    asio::io_context context;
    MemoryStore store(context);
    auto watch
        = std::make_shared<KindWatch>(context, store, "config", KindWatchPace { .batch_ = milliseconds(20) },
            1, KindWatchEvents { [](const KindList&) {}, [](const StoredChange&) {}, nullptr });
    watch->start({}, Freshness::MayBeStale);
    watch->setWatching(true);
    run(context, milliseconds(20));
    cr_assert(store.lists_ == 1 && store.watches_ == 1, "it has been listed just before");
    watch->setWatching(false);
    std::this_thread::sleep_for(milliseconds(2100));
    cr_assert(store.watch_ != nullptr, "a watch under way is awaited");
    store.revision_ = 20;
    watch->setWatching(true);
    run(context, milliseconds(20));
    cr_assert(store.lists_ == 2 && store.lastFreshness_ == Freshness::Current);
    cr_assert(store.watches_ == 2 && store.watchedFrom_ == 20);
    watch->stop();
}

// The answer of a watch that waited while the store was out of reach may be lost, and a check may be stale.
Test(kind_watch, the_watch_that_waited_while_held_is_replaced)
{
    asio::io_context context;
    MemoryStore store(context);
    auto watch
        = std::make_shared<KindWatch>(context, store, "config", KindWatchPace { .batch_ = milliseconds(20) },
            1, KindWatchEvents { [](const KindList&) {}, [](const StoredChange&) {}, nullptr });
    watch->start({}, Freshness::Current);
    watch->setWatching(true);
    run(context, milliseconds(20));
    watch->setHeld(true);
    watch->check(Clock::now() + seconds(5));
    cr_assert(!store.check_ && store.watches_ == 1);
    watch->setHeld(false);
    cr_assert(store.watches_ == 2 && store.watchedFrom_ == 10);
    watch->stop();
}

Test(kind_watch, pauses_for_long_from_the_second_failure_on_if_it_is_patient)
{
    asio::io_context context;
    MemoryStore store(context);
    store.errors_.assign(100, StoreError::Refused);
    auto watch = std::make_shared<KindWatch>(context, store, "config",
        KindWatchPace { .batch_ = milliseconds(20), .longestPause_ = seconds(2), .patient_ = true }, 1,
        KindWatchEvents { [](const KindList&) {}, [](const StoredChange&) {}, nullptr });
    watch->start({}, Freshness::Current);
    run(context, milliseconds(1300));
    cr_assert(store.lists_ == 2, "%d calls in 1.3 s", store.lists_);
    run(context, milliseconds(1200));
    cr_assert(store.lists_ == 3, "%d calls in 2.5 s", store.lists_);
    watch->stop();
}

Test(entry_publisher, the_last_of_several_changes_is_stored)
{
    asio::io_context context;
    MemoryStore store(context);
    auto publisher = std::make_shared<EntryPublisher>(context, store);
    int written = 0;
    for (std::uint64_t generation = 1; generation <= 3; ++generation) {
        auto entry = entryOf(generation);
        entry.capacity_ = static_cast<int>(generation);
        publisher->publish(entry, [&] {
            ++written;
        });
    }
    run(context, milliseconds(50));
    cr_assert(written == 3);
    cr_assert(valueOf(parseEntry("n1", store.objects_["n1"].value_)).generation_ == 3);
}

Test(entry_publisher, another_writer_s_change_is_replaced)
{
    asio::io_context context;
    MemoryStore store(context);
    store.objects_["n1"] = { "n1", 5, "\"foreign\"" };
    auto publisher = std::make_shared<EntryPublisher>(context, store);
    publisher->publish(entryOf(1), nullptr);
    run(context, milliseconds(50));
    cr_assert(isOk(parseEntry("n1", store.objects_["n1"].value_)));
}

Test(entry_publisher, an_entry_that_was_removed_is_written_again)
{
    asio::io_context context;
    MemoryStore store(context);
    auto publisher = std::make_shared<EntryPublisher>(context, store);
    publisher->publish(entryOf(1), nullptr);
    run(context, milliseconds(20));
    publisher->check();
    run(context, milliseconds(20));
    cr_assert(store.writes_ == 1, "nothing to do");
    store.objects_.clear();
    publisher->check();
    run(context, milliseconds(20));
    cr_assert(store.objects_.count("n1") == 1);
}

Test(entry_publisher, refused_writes_are_repeated_slowly)
{
    asio::io_context context;
    MemoryStore store(context);
    store.errors_.assign(100, StoreError::Refused);
    auto publisher = std::make_shared<EntryPublisher>(context, store);
    publisher->publish(entryOf(1), nullptr);
    run(context, milliseconds(1600));
    cr_assert(store.writes_ >= 2 && store.writes_ <= 4, "%d writes", store.writes_);
}

Test(entry_text, is_read_back_and_foreign_ones_are_refused)
{
    const auto entry = entryOf(7);
    cr_assert(valueOf(parseEntry("n1", entryText(entry))) == entry);
    const char* foreign[] = { "", "[]", "{}", "{\"node\":1}", "null" };
    for (const auto* text : foreign) {
        cr_expect(!isOk(parseEntry("n1", text)), "%s", text);
    }
    cr_assert(!isOk(parseEntry("n2", entryText(entry))), "an entry under another name was taken");
}
