/// The site state of a node: what it receives from the store and other nodes, and what it sends to them.
#include "site_knowledge.h"

#include "gate_test_support.h"
#include "link_server.h"
#include "stale_entries.h"
#include "wagtailhead/compression.h"

#include <asio/io_context.hpp>
#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

/// A store that records all calls; tests complete list calls through answerList().
class CountingStore final : public ObjectStore {
public:
    auto list(const std::string& kind, Freshness freshness, Callback<StoredList> callback) -> void override
    {
        freshness_[kind] = freshness;
        lists_[kind] = std::move(callback);
    }
    auto watch(const std::string& kind, std::uint64_t /*revision*/, Duration /*wait*/,
        Callback<StoredChanges> callback) -> WatchId override
    {
        watches_[kind] = std::move(callback);
        return 1;
    }
    auto cancelWatch(WatchId /*id*/) -> void override { }
    auto changesSoFar(const std::string& kind, std::uint64_t /*revision*/, Freshness freshness,
        Callback<StoredChanges> callback) -> void override
    {
        freshness_[kind] = freshness;
        if (kind == "config") {
            check_ = std::move(callback);
        }
    }
    auto create(const std::string& /*kind*/, const std::string& /*name*/, const std::string& value,
        Callback<StoredObject> callback) -> void override
    {
        written_.push_back(value);
        write_ = std::move(callback);
    }
    auto replace(const std::string& /*kind*/, const StoredObject& object, Callback<StoredObject> callback)
        -> void override
    {
        written_.push_back(object.value_);
        write_ = std::move(callback);
    }
    auto get(const std::string& /*kind*/, const std::string& /*name*/, Callback<StoredObject> callback)
        -> void override
    {
        get_ = std::move(callback);
    }
    auto remove(const std::string& /*kind*/, const std::string& name, std::uint64_t revision,
        Callback<std::monostate> /*callback*/) -> void override
    {
        removed_.push_back(name + "@" + std::to_string(revision));
    }
    auto tick(TimePoint /*now*/) -> void override { }
    auto stats() const -> ObjectStoreStats override
    {
        return {};
    }

    /// Answers a list, and the read of the node's entry that may follow it from the same objects.
    auto answerList(const std::string& kind, const std::vector<StoredObject>& objects) -> void
    {
        std::exchange(lists_[kind], nullptr)(StoredList { objects, 10 });
        answerGet(objects);
    }
    auto answerGet(const std::vector<StoredObject>& objects) -> void
    {
        if (!get_) {
            return;
        }
        const auto own = std::find_if(objects.begin(), objects.end(), [](const StoredObject& object) {
            return object.name_ == "self";
        });
        const auto answer = std::exchange(get_, nullptr);
        if (own == objects.end()) {
            answer(StoreError::NotFound);
        } else {
            answer(*own);
        }
    }

    std::map<std::string, Callback<StoredList>> lists_;
    std::map<std::string, Freshness> freshness_;
    std::map<std::string, Callback<StoredChanges>> watches_;
    std::vector<std::string> written_;
    std::vector<std::string> removed_;
    Callback<StoredObject> write_;
    Callback<StoredObject> get_;
    Callback<StoredChanges> check_;
};

auto freePort(asio::io_context& context) -> std::uint16_t
{
    asio::ip::tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return probe.local_endpoint().port();
}

/// The link port in the entries of all nodes.
auto linkPort() -> std::uint16_t&
{
    static std::uint16_t port = 9;
    return port;
}

auto entryOf(const std::string& name, std::uint64_t generation) -> NodeEntry
{
    NodeEntry entry;
    entry.node_ = name;
    entry.zone_ = "a";
    entry.region_ = "r";
    entry.service_ = "stock";
    entry.link_ = { "127.0.0.1", linkPort() };
    entry.backendId_ = "i-" + name;
    entry.backendBornMs_ = 5;
    entry.capacity_ = 10;
    entry.phase_ = BackendPhase::Ready;
    entry.generation_ = generation;
    return entry;
}

auto stored(const NodeEntry& entry) -> StoredObject
{
    return { entry.node_, 3, entryText(entry) };
}

auto configurationOf(std::uint64_t version) -> SiteConfigurationPtr
{
    return std::make_shared<const SiteConfiguration>(version, std::to_string(version),
        std::vector<SiteRoute> {}, std::vector<SiteService> {}, CallerLimits {});
}

/// Runs the site state of a node `self`. The text of a configuration is its version number.
struct NodeFixture {
    explicit NodeFixture(bool firstStart = false)
    {
        linkPort() = port_;
        platform_.configurationKind_ = "config";
        platform_.configurationName_ = "main";
        platform_.decodeConfiguration_ = [](const std::string& text) -> Result<SiteConfigurationPtr> {
            if (text == "bad") {
                return Error { ErrorCode::InvalidArgument, "bad" };
            }
            return configurationOf(std::stoull(text));
        };
        links_.emplace(context_, linkEvents());
        SiteStateOptions options;
        options.self_.node_ = "self";
        options.self_.zone_ = "a";
        options.self_.region_ = "r";
        options.self_.service_ = "stock";
        options.self_.link_ = { "127.0.0.1", port_ };
        options.incarnation_ = 1000;
        options.firstStart_ = firstStart;
        siteState_.emplace(options,
            SiteStateParts { context_, store_, platform_, directory_, reports_, *links_,
                [this](const Frame& frame) {
                    if (const auto* entry = std::get_if<EntryFrame>(&frame)) {
                        announced_.push_back(entry->entry_);
                    }
                },
                [this](const SiteConfiguration& configuration) {
                    adopted_.push_back(configuration.version());
                },
                [this] {
                    ++restored_;
                } });
        siteState_->start();
        run();
    }

    auto linkEvents() -> LinkEvents
    {
        LinkEvents events;
        events.hello_ = [] {
            return HelloFrame { "self", 1, 0 };
        };
        events.onConfigVersion_ = [](const std::string&, std::uint64_t) {};
        events.onState_ = [this](const std::string& node, const StateFrame& state) {
            siteState_->onState(node, state);
        };
        events.onEntry_ = [](const NodeEntry&) {};
        events.onOpen_ = [](const std::string&) {};
        events.onLost_ = [](const std::string&, bool) {};
        return events;
    }

    auto run() -> void
    {
        context_.run_for(milliseconds(5));
        context_.restart();
    }

    auto runFor(Duration time) -> void
    {
        context_.run_for(time);
        context_.restart();
    }

    /// Runs until `done()` holds; returns false if it does not within 5 s.
    auto runUntil(const std::function<bool()>& done) -> bool
    {
        for (const auto end = Clock::now() + seconds(5); !done();) {
            if (Clock::now() > end) {
                return false;
            }
            run();
        }
        return true;
    }

    /// A link server for a node `n1` whose directory also contains `n2`.
    auto serverParts(std::function<void()> onRequest) -> LinkServerParts
    {
        return { "n1", 1, gate_,
            [] {
                return std::uint64_t { 0 };
            },
            [onRequest](const StateRequestFrame& request) {
                onRequest();
                cr_assert(request.wantsEntries_);
                return StateFrame { "", { entryOf("n1", 1), entryOf("n2", 1) } };
            },
            [](const NodeEntry&) {}, [](const std::string&, const BeatFrame&) {},
            [] {
                return false;
            },
            [](const std::string&, const StateFrame&) {},
            [] {
                return std::nullopt;
            } };
    }

    auto report(BackendPhase phase, std::uint64_t sequence) -> void
    {
        BackendReport report;
        report.id_ = "i-self";
        report.service_ = "stock";
        report.bornMs_ = 5;
        report.address_ = { "127.0.0.1", 8 };
        report.capacity_ = 10;
        report.phase_ = phase;
        report.sequence_ = sequence;
        reports_.take(report, Clock::now());
        siteState_->publish(nullptr);
    }

    asio::io_context context_;
    std::uint16_t port_ = freePort(context_);
    std::shared_ptr<FakePool> pool_ = std::make_shared<FakePool>();
    RequestMetrics metrics_;
    Gate gate_ { { .service_ = "stock", .headers_ = testHeaderNames() }, pool_, metrics_ };
    CountingStore store_;
    PlatformInterface platform_;
    Directory directory_ { { "self", "a", "r", 1 } };
    BackendReports reports_ { "stock" };
    std::optional<LinkClient> links_;
    std::optional<SiteState> siteState_;
    std::vector<NodeEntry> announced_;
    std::vector<std::uint64_t> adopted_;
    int restored_ = 0;
};

} // namespace

Test(site_knowledge, an_older_configuration_is_ignored)
{
    NodeFixture fixture;
    fixture.store_.answerList("config", { { "main", 4, "7" }, { "other", 4, "9" } });
    fixture.siteState_->onState("n1", { compressText("6"), {} });
    fixture.siteState_->onState("n1", { compressText("bad"), {} });
    fixture.siteState_->onState("n1", { "not compressed", {} });
    fixture.siteState_->onState("n1", { compressText("8"), {} });
    cr_assert(fixture.adopted_ == (std::vector<std::uint64_t> { 7, 8 }));
    cr_assert(valueOf(decompressText(fixture.siteState_->stateFor({ 7, false }).config_, 100)) == "8");
    cr_assert(fixture.siteState_->stateFor({ 8, true }).config_.empty());
}

Test(site_knowledge, a_node_without_store_access_receives_the_state_from_a_peer)
{
    NodeFixture fixture;
    cr_assert(!fixture.siteState_->hasNodeList());
    auto draining = entryOf("self", 900);
    draining.phase_ = BackendPhase::Draining;
    fixture.siteState_->onState("n1", { compressText("7"), { entryOf("n1", 1), draining } });
    cr_assert(fixture.siteState_->hasNodeList() && fixture.siteState_->version() == 7);
    cr_assert(fixture.directory_.find("n1") != nullptr);
    cr_assert(
        fixture.reports_.status().phase_ == BackendPhase::Draining, "an earlier process confirmed the drain");
    cr_assert(fixture.restored_ == 1);
}

// A restarted node announced its backend server as ready before the first report. Other nodes sent requests
// that its gate refused, and then avoided it for increasing periods (Lindqvist, trouble-2, seed
// 307318986109).
Test(site_knowledge, a_restarted_node_is_not_ready_before_the_first_report)
{
    NodeFixture fixture;
    fixture.store_.answerList(nodeKind, { stored(entryOf("self", 900)) });
    cr_assert(!fixture.announced_.empty() && fixture.announced_.back().phase_ == BackendPhase::Unknown);
    cr_assert(fixture.store_.written_.empty(), "the stored entry will be valid again after the first report");
    fixture.report(BackendPhase::Ready, 20);
    cr_assert(fixture.announced_.back().phase_ == BackendPhase::Ready);
    cr_assert(fixture.store_.written_.empty(), "nothing has changed");
}

Test(site_knowledge, a_drain_is_announced_and_written)
{
    NodeFixture fixture;
    fixture.store_.answerList(nodeKind, {});
    fixture.report(BackendPhase::Ready, 1);
    cr_assert(fixture.store_.written_.size() == 1);
    std::exchange(fixture.store_.write_, nullptr)(StoredObject { "self", 11, fixture.store_.written_[0] });
    fixture.report(BackendPhase::Draining, 2);
    cr_assert(fixture.announced_.back().phase_ == BackendPhase::Draining);
    cr_assert(fixture.store_.written_.size() == 2);
    cr_assert(valueOf(parseEntry("self", fixture.store_.written_[1])).phase_ == BackendPhase::Draining);
}

Test(site_knowledge, a_stop_is_announced_but_not_written)
{
    NodeFixture fixture;
    fixture.store_.answerList(nodeKind, {});
    fixture.report(BackendPhase::Ready, 1);
    std::exchange(fixture.store_.write_, nullptr)(StoredObject { "self", 11, fixture.store_.written_[0] });
    const auto before = fixture.announced_.back().generation_;
    fixture.siteState_->stopAccepting();
    cr_assert(!fixture.announced_.back().accepting_ && fixture.announced_.back().generation_ > before);
    cr_assert(fixture.store_.written_.size() == 1);
}

Test(site_knowledge, an_entry_of_an_earlier_process_is_superseded)
{
    NodeFixture fixture;
    fixture.store_.answerList(nodeKind, {});
    fixture.report(BackendPhase::Ready, 1);
    auto stale = entryOf("self", 5000);
    stale.accepting_ = false;
    fixture.siteState_->onEntry(stale);
    cr_assert(fixture.announced_.back().generation_ == 5001 && fixture.announced_.back().accepting_);
}

Test(site_knowledge, nodes_missing_from_the_store_list_are_removed)
{
    NodeFixture fixture;
    fixture.store_.answerList("config", {});
    fixture.store_.answerList(nodeKind, { stored(entryOf("gone", 1)) });
    fixture.siteState_->tick(Clock::now());
    fixture.run();
    std::exchange(fixture.store_.watches_[nodeKind], nullptr)(StoreError::HistoryGone);
    fixture.runFor(milliseconds(250));
    fixture.store_.answerList(nodeKind, { stored(entryOf("n1", 1)), { "foreign", 4, "\"text\"" } });
    cr_assert(fixture.directory_.find("gone")->phase_ == BackendPhase::Gone);
    cr_assert(fixture.directory_.find("n1")->phase_ == BackendPhase::Ready);
    cr_assert(fixture.directory_.find("foreign") == nullptr);
}

// A node that started while the list was on its way was taken for a removed one, and no request went to it.
Test(site_knowledge, a_node_that_appears_while_the_store_list_is_read_stays)
{
    NodeFixture fixture;
    fixture.store_.answerList("config", {});
    fixture.store_.answerList(nodeKind, { stored(entryOf("n1", 1)) });
    fixture.siteState_->tick(Clock::now());
    fixture.run();
    std::exchange(fixture.store_.watches_[nodeKind], nullptr)(StoreError::HistoryGone);
    fixture.runFor(milliseconds(250));
    cr_assert(fixture.store_.freshness_[nodeKind] == Freshness::Current, "only such a list removes nodes");
    fixture.siteState_->onEntry(entryOf("new", 1));
    fixture.store_.answerList(nodeKind, { stored(entryOf("n1", 1)) });
    cr_assert(fixture.directory_.find("new")->phase_ == BackendPhase::Ready);
}

// With every node of a site starting at once, each reads the store. Stale lists cost a tenth; what they lack
// must not count as removed, and must not be written once more.
Test(site_knowledge, a_stale_list_at_the_first_start_removes_nothing)
{
    NodeFixture fixture(true);
    fixture.report(BackendPhase::Ready, 1);
    cr_assert(fixture.store_.written_.size() == 1);
    std::exchange(fixture.store_.write_, nullptr)(StoredObject { "self", 11, fixture.store_.written_[0] });
    fixture.siteState_->onEntry(entryOf("n2", 1));
    fixture.runFor(milliseconds(2300));
    cr_assert(fixture.store_.freshness_["config"] == Freshness::MayBeStale);
    cr_assert(fixture.store_.freshness_[nodeKind] == Freshness::MayBeStale);
    fixture.store_.answerList(nodeKind, { stored(entryOf("n1", 1)) });
    cr_assert(fixture.directory_.find("n2")->phase_ == BackendPhase::Ready);
    cr_assert(fixture.store_.written_.size() == 1, "the entry was written once more");
}

// An operator's report: after a restart of a process, a server that had left was in use again. A stale list
// may name it as ready; only the current entry of the node counts.
Test(site_knowledge, a_restarted_node_reads_its_own_entry_as_it_is_now)
{
    NodeFixture fixture;
    auto left = entryOf("self", 950);
    left.phase_ = BackendPhase::Draining;
    std::exchange(fixture.store_.lists_[nodeKind], nullptr)(
        StoredList { { stored(entryOf("self", 900)), stored(entryOf("n1", 1)) }, 10 });
    cr_assert(fixture.store_.freshness_[nodeKind] == Freshness::MayBeStale);
    cr_assert(fixture.store_.freshness_["config"] == Freshness::Current);
    cr_assert(!fixture.siteState_->hasNodeList(), "reports of a ready backend server are not taken yet");
    std::exchange(fixture.store_.get_, nullptr)(StoreError::NoAnswer);
    fixture.runFor(milliseconds(600));
    fixture.store_.answerGet({ stored(left) });
    cr_assert(fixture.siteState_->hasNodeList());
    cr_assert(fixture.reports_.status().phase_ == BackendPhase::Draining);
    cr_assert(fixture.directory_.find("n1") != nullptr);
}

// An operator's report: after a restart of a process, a server that had left was in use again. The process
// confirmed the leave while the store was away, so the store still names the backend server as ready; other
// nodes know better.
Test(site_knowledge, a_leave_that_the_store_has_missed_persists_over_a_restart)
{
    for (const auto phase : { BackendPhase::Draining, BackendPhase::Gone }) {
        NodeFixture fixture;
        fixture.store_.answerList(nodeKind, { stored(entryOf("self", 900)) });
        fixture.report(BackendPhase::Ready, 20); // A report that was delayed on its way.
        auto left = entryOf("self", 950);
        left.phase_ = phase;
        fixture.siteState_->onEntry(left);
        cr_assert(fixture.reports_.status().phase_ == phase);
        cr_assert(fixture.restored_ == 2, "the gate has not been told");
        cr_assert(fixture.announced_.back().phase_ == phase && fixture.announced_.back().generation_ > 950);
        fixture.report(BackendPhase::Ready, 21);
        cr_assert(fixture.reports_.status().phase_ == phase, "a later report of the same start");
    }
}

// The node of review case 3 published its entry before another node had told it of the leave. Nodes that know
// of the leave keep it and send it back.
Test(site_knowledge, a_node_that_has_forgotten_a_leave_gets_it_back)
{
    NodeFixture fixture;
    fixture.store_.answerList(nodeKind, {});
    std::vector<NodeEntry> received;
    auto parts = fixture.serverParts([] {});
    parts.onEntry_ = [&](const NodeEntry& entry) {
        received.push_back(entry);
    };
    auto server = LinkServer::open(fixture.context_, { "127.0.0.1", fixture.port_ }, std::move(parts));
    cr_assert(isOk(server));
    auto left = entryOf("n1", 7);
    left.phase_ = BackendPhase::Gone;
    fixture.siteState_->onEntry(left);
    fixture.runFor(milliseconds(50));
    cr_assert(received.empty());
    auto restarted = entryOf("n1", 1000);
    restarted.phase_ = BackendPhase::Unknown;
    fixture.siteState_->onEntry(restarted);
    cr_assert(fixture.runUntil([&] {
        return !received.empty();
    }));
    fixture.runFor(milliseconds(50));
    cr_assert(fixture.directory_.find("n1")->phase_ == BackendPhase::Gone);
    cr_assert(received.size() == 1 && received[0].phase_ == BackendPhase::Gone);
    cr_assert(received[0].generation_ == 1000 && received[0].backendId_ == "i-n1");
}

Test(site_knowledge, a_leave_is_held_once_another_node_has_handled_it)
{
    NodeFixture fixture;
    fixture.store_.answerList(nodeKind, {});
    fixture.siteState_->onEntry(entryOf("n1", 1));
    fixture.report(BackendPhase::Ready, 1);
    fixture.report(BackendPhase::Draining, 2);
    fixture.runFor(milliseconds(50));
    cr_assert(!fixture.siteState_->isLeaveHeld("i-self", 5), "no node listens");
    auto server
        = LinkServer::open(fixture.context_, { "127.0.0.1", fixture.port_ }, fixture.serverParts([] {}));
    cr_assert(isOk(server));
    fixture.siteState_->publish([] {});
    fixture.runFor(milliseconds(50));
    cr_assert(fixture.siteState_->isLeaveHeld("i-self", 5));
}

// Another node that takes this one for removed must not end the use of its backend server.
Test(site_knowledge, a_node_that_others_took_for_removed_goes_on)
{
    NodeFixture fixture;
    fixture.store_.answerList(nodeKind, {});
    fixture.report(BackendPhase::Ready, 1);
    Directory other({ "n1", "a", "r", 1 });
    other.apply(fixture.announced_.back());
    const auto retired = other.retire("self", Clock::now());
    cr_assert(retired.has_value());
    fixture.siteState_->onEntry(*retired);
    cr_assert(fixture.reports_.status().phase_ == BackendPhase::Ready);
    cr_assert(fixture.announced_.back().phase_ == BackendPhase::Ready);
    cr_assert(other.apply(fixture.announced_.back()) && other.find("self")->accepting_);
}

// Calls of the watch of the entries in an outage of the store double the cost of the outage.
Test(site_knowledge, only_one_kind_is_tried_while_the_store_is_away)
{
    NodeFixture fixture;
    fixture.store_.answerList("config", {});
    fixture.store_.answerList(nodeKind, {});
    fixture.report(BackendPhase::Ready, 1);
    fixture.siteState_->tick(Clock::now());
    fixture.run();
    std::exchange(fixture.store_.watches_["config"], nullptr)(StoreError::Refused);
    std::exchange(fixture.store_.watches_[nodeKind], nullptr)(StoreError::Refused);
    fixture.runFor(milliseconds(300));
    cr_assert(fixture.store_.watches_["config"] != nullptr && fixture.store_.watches_[nodeKind] == nullptr);
    std::exchange(fixture.store_.watches_["config"], nullptr)(StoredChanges { {}, 11 });
    fixture.runFor(milliseconds(10));
    cr_assert(fixture.store_.watches_[nodeKind] != nullptr);
}

Test(site_knowledge, the_only_node_of_a_zone_watches_the_store)
{
    NodeFixture fixture;
    fixture.store_.answerList("config", {});
    fixture.store_.answerList(nodeKind, {});
    fixture.report(BackendPhase::Ready, 1);
    fixture.siteState_->tick(Clock::now());
    fixture.run();
    cr_assert(fixture.siteState_->isWatching());
    cr_assert(fixture.store_.watches_.count("config") == 1 && fixture.store_.watches_.count(nodeKind) == 1);
}

// The address of a removed VM was assigned to another VM, and connections to the entry of the removed VM were
// retried every second for the rest of the day (Perlu, incident 9fc0).
Test(site_knowledge, a_node_whose_address_was_reassigned_is_removed)
{
    NodeFixture fixture;
    fixture.store_.answerList("config", {});
    fixture.store_.answerList(nodeKind, { stored(entryOf("old", 1)) });
    fixture.report(BackendPhase::Ready, 1);
    fixture.directory_.onUnreachable("old", Clock::now());
    fixture.siteState_->tick(Clock::now());
    cr_assert(fixture.siteState_->isWatching());
    fixture.siteState_->onAddressTaken("old", "new");
    cr_assert(fixture.directory_.find("old")->phase_ == BackendPhase::Gone);
    cr_assert(fixture.store_.removed_ == (std::vector<std::string> { "old@3" }));
}

Test(stale_entries, are_nodes_unreachable_for_ten_minutes_in_a_reachable_zone)
{
    const auto now = Clock::now();
    Directory directory({ "self", "a", "r", 1 });
    for (int i = 0; i < 8; ++i) {
        directory.apply(entryOf("n" + std::to_string(i), 1));
    }
    directory.onUnreachable("n1", now);
    cr_assert(staleNodes(directory, "a", now + std::chrono::minutes(9)).empty());
    cr_assert(
        staleNodes(directory, "a", now + std::chrono::minutes(10)) == (std::vector<std::string> { "n1" }));
    cr_assert(staleNodes(directory, "b", now + std::chrono::minutes(10)).empty());
    directory.onUnreachable("n2", now);
    directory.onUnreachable("n3", now);
    cr_assert(staleNodes(directory, "a", now + std::chrono::minutes(10)).empty(),
        "this node itself may be partitioned from its zone");
}

// A node that watched said that it reached the store until it noticed the opposite, 2 to 3.5 s later.
Test(site_knowledge, a_watcher_tells_when_it_has_read_the_store)
{
    NodeFixture fixture;
    std::optional<BeatFrame> heartbeat;
    auto parts = fixture.serverParts([] {});
    parts.onHeartbeat_ = [&](const std::string&, const BeatFrame& frame) {
        heartbeat = frame;
    };
    auto server = LinkServer::open(fixture.context_, { "127.0.0.1", fixture.port_ }, std::move(parts));
    cr_assert(isOk(server));
    fixture.store_.answerList("config", {});
    fixture.store_.answerList(nodeKind, { stored(entryOf("n1", 1)) });
    fixture.report(BackendPhase::Ready, 1);
    fixture.siteState_->tick(Clock::now());
    cr_assert(fixture.runUntil([&] {
        return heartbeat.has_value();
    }));
    cr_assert(heartbeat->watching_ && !heartbeat->storeReadAge_);
    const auto times = watchTimesFor(SidecarSettings().applyBound_);
    fixture.runFor(times.check_ + times.checkStep_); // Another node reads the store first.
    fixture.siteState_->tick(Clock::now());
    cr_assert(fixture.store_.check_ != nullptr, "not checked in time");
    cr_assert(fixture.store_.freshness_["config"] == Freshness::Current, "others rely on this read");
    fixture.runFor(milliseconds(20));
    heartbeat.reset();
    std::exchange(fixture.store_.check_, nullptr)(StoredChanges { {}, 10 });
    cr_assert(fixture.runUntil([&] {
        return heartbeat && heartbeat->storeReadAge_; // One without may still have been under way.
    }));
    cr_assert(*heartbeat->storeReadAge_ >= milliseconds(20));
}

// Watching nodes did not resend entries that they had received before the recipients were in their
// directories. Five nodes had only 48 to 57 of 88 entries for the whole day, and 460 bookings found no
// backend server (enlarged Lindqvist site, quiet-1, seed 1004124860836).
Test(site_knowledge, entries_are_requested_after_repeated_digest_mismatches)
{
    NodeFixture fixture;
    fixture.store_.answerList(nodeKind, { stored(entryOf("n1", 1)) });
    fixture.report(BackendPhase::Ready, 1);
    fixture.siteState_->tick(Clock::now());
    int requests = 0;
    auto server = LinkServer::open(fixture.context_, { "127.0.0.1", fixture.port_ }, fixture.serverParts([&] {
        ++requests;
    }));
    cr_assert(isOk(server));
    const auto same = fixture.directory_.digest();
    fixture.siteState_->onHeartbeat("n1", { 0, true, true, same });
    fixture.siteState_->onHeartbeat("n1", { 0, true, true, same + 1 });
    fixture.runFor(milliseconds(50));
    cr_assert(requests == 0, "a single mismatch may be a change in transit");
    fixture.siteState_->onHeartbeat("n1", { 0, true, true, same + 1 });
    fixture.siteState_->onHeartbeat("n1", { 0, true, true, same + 1 });
    fixture.runFor(milliseconds(50));
    cr_assert(requests == 1);
    cr_assert(fixture.directory_.find("n2") != nullptr);
}
