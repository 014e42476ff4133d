#include "site_knowledge.h"

#include "stale_entries.h"
#include "wagtailhead/boot_clock.h"
#include "wagtailhead/compression.h"
#include "wagtailhead/log.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Bound on a decompressed configuration. The store holds values of up to 1 MB.
constexpr std::size_t maxConfigurationBytes = std::size_t { 16 } << 20;
/// How long changes are collected before the store is watched again. Nodes send changed entries to each
/// other, so the watch of the entries only makes up for frames that were lost.
constexpr Duration configurationBatch = milliseconds(200);
constexpr Duration nodeBatch = seconds(10);
/// The same on a node that has stepped in for the watchers, to which the others may have sent their entries.
constexpr Duration substituteNodeBatch = seconds(1);
/// How often the waiting watch of the entries is checked. Nobody relies on what these checks do not find.
constexpr Duration nodeCheckInterval = seconds(10);
/// When all nodes start at once, each has published its entry after this time, most of them including the
/// first report of the backend server.
constexpr Duration firstListDelay = milliseconds(2200);
/// Pause after a failed read of this node's entry.
constexpr Duration ownEntryPause = milliseconds(500);
constexpr Duration roleCheckInterval = milliseconds(500);
/// Minimum interval between requests for all entries after a digest mismatch.
constexpr Duration entriesRequestInterval = seconds(2);
constexpr Duration staleCheckInterval = seconds(30);
/// How often a node checks its entry in the store, in case it was removed while the node was unreachable.
constexpr Duration localEntryCheckInterval = std::chrono::minutes(5);

} // namespace

SiteState::SiteState(SiteStateOptions options, SiteStateParts parts)
    : options_(std::move(options))
    , parts_(std::move(parts))
    , publisher_(std::make_shared<EntryPublisher>(parts_.context_, parts_.store_))
    , ownEntryTimer_(parts_.context_)
{
    configurationWatch_ = std::make_shared<KindWatch>(parts_.context_, parts_.store_,
        parts_.platform_.configurationKind_, KindWatchPace {}, options_.seed_,
        KindWatchEvents { [this](const KindList& list) {
                             for (const auto& object : list.objects_) {
                                 onConfigurationObject(object);
                             }
                         },
            [this](const StoredChange& change) {
                if (!change.deleted_) {
                    onConfigurationObject(change.object_);
                }
            },
            [this](bool reachable) {
                nodeWatch_->setHeld(!reachable);
            },
            [this](TimePoint sentAt) {
                onStoreRead(sentAt);
            } });
    nodeWatch_ = std::make_shared<KindWatch>(parts_.context_, parts_.store_, nodeKind, KindWatchPace {},
        options_.seed_ + 1,
        KindWatchEvents { [this](const KindList& list) {
                             onNodeList(list);
                         },
            [this](const StoredChange& change) {
                onNodeChange(change);
            },
            nullptr });
    setPaces();
}

auto SiteState::start() -> void
{
    const auto delay = options_.firstStart_ ? firstListDelay : Duration::zero();
    firstListAt_ = bootNow() + delay;
    // The watchers of the zone send this node what a stale list of the nodes lacks. The configuration has to
    // be current after a restart: there may be no other node that has it.
    configurationWatch_->start(delay, options_.firstStart_ ? Freshness::MayBeStale : Freshness::Current);
    nodeWatch_->start(delay, Freshness::MayBeStale);
}

auto SiteState::onConfigurationObject(const StoredObject& object) -> void
{
    if (object.name_ == parts_.platform_.configurationName_) {
        adopt(object.value_, { "store", kindReadName(configurationWatch_->lastRead()) });
    }
}

auto SiteState::adopt(const std::string& text, const Source& source) -> void
{
    auto decoded = parts_.platform_.decodeConfiguration_(text);
    if (!isOk(decoded)) {
        logEvent(LogLevel::Error, "configuration_refused",
            { { "source", source.name_ }, { "error", errorOf(decoded).text_ } });
        return;
    }
    const auto& configuration = valueOf(decoded);
    if (configuration->version() <= version()) {
        return;
    }
    logEvent(LogLevel::Info, "configuration_adopted",
        { { "source", source.name_ }, { "read", source.read_ }, { "version", configuration->version() },
            { "before", version() }, { "routes", configuration->routes().size() },
            { "read_age_ms", toMilliseconds(readAge()) } });
    configuration_ = configuration;
    compressedConfiguration_ = compressText(text);
    newerVersions_.onAdopted(version());
    configurationWatch_->skipList();
    parts_.onConfiguration_(*configuration);
    parts_.broadcast_(heartbeat());
    if (watching_) {
        sendToZone(heartbeat(), "");
    }
}

auto SiteState::onNodeList(const KindList& list) -> void
{
    std::set<std::string> names;
    const bool ownMayBeStale = list.freshness_ == Freshness::MayBeStale && !options_.firstStart_;
    for (const auto& object : list.objects_) {
        if (object.name_ != options_.self_.node_ || !ownMayBeStale) {
            applyObject(object);
        }
        names.insert(object.name_);
    }
    if (list.freshness_ == Freshness::Current) {
        removeUnlisted(names, list.requestedAt_);
    } else if (!options_.firstStart_ && !hasNodeList_) {
        readOwnEntry();
        return;
    }
    onNodeListComplete();
}

auto SiteState::readOwnEntry() -> void
{
    parts_.store_.get(
        nodeKind, options_.self_.node_, [this](const std::variant<StoredObject, StoreError>& result) {
            if (!hasNodeList_) {
                onOwnEntry(result);
            }
        });
}

auto SiteState::onOwnEntry(const std::variant<StoredObject, StoreError>& result) -> void
{
    const auto* error = std::get_if<StoreError>(&result);
    if (error != nullptr && *error != StoreError::NotFound) {
        ownEntryTimer_.expires_after(ownEntryPause);
        ownEntryTimer_.async_wait([this](const asio::error_code& cancelled) {
            if (!cancelled && !hasNodeList_) {
                readOwnEntry();
            }
        });
        return;
    }
    if (error != nullptr) {
        publisher_->onMissing();
    } else {
        applyObject(std::get<StoredObject>(result));
    }
    onNodeListComplete();
}

auto SiteState::onNodeListComplete() -> void
{
    hasNodeList_ = true;
    newMember_ = generation_ == 0;
    publish(nullptr);
}

auto SiteState::removeUnlisted(const std::set<std::string>& listed, TimePoint requestedAt) -> void
{
    for (const auto& entry : parts_.directory_.entries()) {
        const bool created = parts_.directory_.changedAt(entry.node_) >= requestedAt;
        if (entry.node_ != options_.self_.node_ && listed.count(entry.node_) == 0 && !created) {
            removeNode(entry.node_);
        }
    }
    if (listed.count(options_.self_.node_) == 0) {
        publisher_->onMissing();
    }
}

auto SiteState::onNodeChange(const StoredChange& change) -> void
{
    if (!change.deleted_) {
        applyObject(change.object_);
    } else if (change.object_.name_ != options_.self_.node_) {
        revisions_.erase(change.object_.name_);
        removeNode(change.object_.name_);
    } else {
        publisher_->onMissing();
        publish(nullptr);
    }
}

auto SiteState::applyObject(const StoredObject& object) -> void
{
    const auto entry = parseEntry(object.name_, object.value_);
    if (!isOk(entry)) {
        logEvent(LogLevel::Warning, "entry_refused", { { "error", errorOf(entry).text_ } });
        return;
    }
    if (object.name_ == options_.self_.node_) {
        publisher_->onSeen(object);
        onLocalEntry(valueOf(entry));
        return;
    }
    revisions_[object.name_] = object.revision_;
    onEntry(valueOf(entry));
}

auto SiteState::onEntry(const NodeEntry& entry) -> void
{
    if (entry.node_ == options_.self_.node_) {
        onLocalEntry(entry);
        return;
    }
    if (!parts_.directory_.apply(entry)) {
        return;
    }
    const auto& known = *parts_.directory_.find(entry.node_);
    logEvent(LogLevel::Info, "node_changed",
        { { "peer", known.node_ }, { "service", known.service_ }, { "phase", backendPhaseName(known.phase_) },
            { "accepting", static_cast<int>(known.accepting_) }, { "backend", known.backendId_ },
            { "generation", known.generation_ } });
    if (watching_) {
        sendToZone(EntryFrame { known }, known.node_);
    }
    if (known.phase_ != entry.phase_ && (watching_ || known.zone_ == options_.self_.zone_)) {
        returnLeave(known);
    }
}

auto SiteState::returnLeave(const NodeEntry& entry) -> void
{
    logEvent(LogLevel::Warning, "leave_returned",
        { { "peer", entry.node_ }, { "backend", entry.backendId_ }, { "generation", entry.generation_ } });
    parts_.links_.sendFrame(entry, EntryFrame { entry });
}

auto SiteState::onLocalEntry(const NodeEntry& entry) -> void
{
    if (!hasNodeList_) {
        generation_ = std::max(generation_, entry.generation_);
        parts_.reports_.restore(entry);
        parts_.onRestored_();
        return;
    }
    // The store may not have the last entry of an earlier process, which had confirmed that the backend
    // server leaves.
    const auto phase = parts_.reports_.status().phase_;
    parts_.reports_.restore(entry);
    const bool restored = parts_.reports_.status().phase_ != phase;
    if (restored) {
        parts_.onRestored_();
    }
    // Other nodes hold an entry of an earlier process with a greater generation, for example after the clock
    // was set back.
    const auto* published = parts_.directory_.find(options_.self_.node_);
    const bool newer = published == nullptr || entry.generation_ > published->generation_;
    generation_ = std::max(generation_, entry.generation_);
    if (restored || (newer && published_)) {
        publish(nullptr);
    }
}

auto SiteState::localEntry() const -> NodeEntry
{
    const auto& status = parts_.reports_.status();
    auto entry = options_.self_;
    entry.capacity_ = status.capacity_;
    entry.backendId_ = status.id_;
    entry.backendBornMs_ = status.bornMs_;
    entry.phase_ = status.phase_;
    entry.accepting_ = accepting_;
    return entry;
}

auto SiteState::publish(std::function<void()> onWritten) -> void
{
    auto entry = localEntry();
    if (entry.backendId_.empty()) {
        return; // Other nodes cannot use the entry until the backend server has reported for the first time.
    }
    const auto* before = parts_.directory_.find(options_.self_.node_);
    const auto known = before == nullptr ? 0 : before->generation_;
    entry.generation_ = known;
    if (before == nullptr || !(entry == *before) || generation_ > known) {
        generation_ = std::max({ generation_ + 1, known + 1, options_.incarnation_ });
        entry.generation_ = generation_;
        parts_.directory_.apply(entry);
        announce(entry);
    } else if (onWritten && isLeaving(entry.phase_) && !isLeaveHeld(entry.backendId_, entry.backendBornMs_)) {
        announce(entry); // No node has confirmed it so far.
    }
    published_ = true;
    if (hasNodeList_ || options_.firstStart_) {
        // A restart is not written to the store, since each call is charged: the next process accepts
        // requests again, and the backend server soon sends its next report.
        entry.accepting_ = true;
        entry.phase_ = entry.phase_ == BackendPhase::Unknown ? BackendPhase::Ready : entry.phase_;
        publisher_->publish(entry, std::move(onWritten));
    }
}

auto SiteState::isLeaveHeld(const std::string& id, std::uint64_t bornMs) const -> bool
{
    return !heldLeaveId_.empty() && heldLeaveId_ == id && heldLeaveBornMs_ == bornMs;
}

auto SiteState::stopAccepting() -> void
{
    accepting_ = false;
    publish(nullptr);
}

auto SiteState::announce(const NodeEntry& entry) -> void
{
    parts_.broadcast_(EntryFrame { entry });
    const auto nodes = reachableNodes();
    std::set<std::string> zones;
    for (const auto& node : nodes) {
        zones.insert(node.zone_);
    }
    for (const auto& zone : zones) {
        for (const auto& watcher : storeWatchersOf(nodes, zone, watchersPerZone)) {
            if (watcher.node_ == options_.self_.node_) {
                continue;
            }
            parts_.links_.sendFrame(watcher, EntryFrame { entry });
            if (isLeaving(entry.phase_)) {
                parts_.links_.afterHandled(watcher, [this, entry] {
                    heldLeaveId_ = entry.backendId_;
                    heldLeaveBornMs_ = entry.backendBornMs_;
                });
            }
        }
    }
}

auto SiteState::sendToZone(const Frame& frame, const std::string& exceptNode) -> void
{
    for (const auto& entry : reachableNodes()) {
        if (entry.zone_ == options_.self_.zone_ && entry.node_ != options_.self_.node_
            && entry.node_ != exceptNode) {
            parts_.links_.sendFrame(entry, frame);
        }
    }
}

auto SiteState::reachableNodes() const -> std::vector<NodeEntry>
{
    auto nodes = parts_.directory_.reachable();
    std::erase_if(nodes, [](const NodeEntry& entry) {
        return !entry.accepting_;
    });
    return nodes;
}

auto SiteState::proximityOf(const NodeEntry& entry) const -> Proximity
{
    if (entry.region_ != options_.self_.region_) {
        return Proximity::Elsewhere;
    }
    return entry.zone_ == options_.self_.zone_ ? Proximity::Zone : Proximity::Region;
}

auto SiteState::onPeerVersion(const std::string& node, std::uint64_t peerVersion) -> void
{
    const auto* entry = parts_.directory_.find(node);
    if (peerVersion <= version() || entry == nullptr) {
        return;
    }
    const auto now = Clock::now();
    newerVersions_.onVersion(node, proximityOf(*entry), peerVersion, version(), now);
    requestConfiguration(now);
}

auto SiteState::requestConfiguration(TimePoint now) -> void
{
    const auto node = newerVersions_.takeNext(now);
    const auto* entry = node ? parts_.directory_.find(*node) : nullptr;
    if (entry != nullptr) {
        parts_.links_.requestState(*entry, { version(), false });
    }
}

auto SiteState::onHeartbeat(const std::string& node, const BeatFrame& heartbeat) -> void
{
    onPeerVersion(node, heartbeat.configVersion_);
    const auto* entry = parts_.directory_.find(node);
    if (roles_ && heartbeat.watching_ && entry != nullptr && entry->zone_ == options_.self_.zone_) {
        if (heartbeat.storeReadAge_) {
            roles_->onHeartbeat(node, { bootNow() - *heartbeat.storeReadAge_, heartbeat.configVersion_ });
        }
        compareEntries(node, heartbeat.entriesDigest_, Clock::now());
    }
}

auto SiteState::onState(const std::string& node, const StateFrame& state) -> void
{
    if (!state.config_.empty()) {
        const auto text = decompressText(state.config_, maxConfigurationBytes);
        if (isOk(text)) {
            adopt(valueOf(text), { "peer", "" });
        } else {
            logEvent(LogLevel::Error, "configuration_refused",
                { { "source", "peer" }, { "error", errorOf(text).text_ } });
        }
    }
    for (const auto& entry : state.entries_) {
        onEntry(entry);
    }
    if (!hasNodeList_ && parts_.directory_.size() > 0) {
        logEvent(LogLevel::Info, "entries_from_peer", { { "entries", state.entries_.size() } });
        hasNodeList_ = true;
        newMember_ = true;
        nodeWatch_->skipList();
        publish(nullptr);
    }
    if (!state.entries_.empty()) {
        sendNewerEntries(node, state);
    }
}

auto SiteState::sendNewerEntries(const std::string& node, const StateFrame& state) -> void
{
    const auto* requested = parts_.directory_.find(node);
    if (requested == nullptr) {
        return;
    }
    std::map<std::string, std::uint64_t> generations;
    for (const auto& entry : state.entries_) {
        generations[entry.node_] = entry.generation_;
    }
    for (const auto& entry : parts_.directory_.entries()) {
        if (entry.generation_ > generations[entry.node_]) {
            parts_.links_.sendFrame(*requested, EntryFrame { entry });
        }
    }
}

auto SiteState::publishedEntry() const -> std::optional<NodeEntry>
{
    const auto* entry = parts_.directory_.find(options_.self_.node_);
    return entry == nullptr ? std::nullopt : std::optional(*entry);
}

auto SiteState::removeNode(const std::string& node) -> void
{
    const auto entry = parts_.directory_.retire(node, Clock::now());
    if (entry && watching_) {
        sendToZone(EntryFrame { *entry }, node);
    }
}

auto SiteState::compareEntries(const std::string& node, std::uint64_t digest, TimePoint now) -> void
{
    if (digest == parts_.directory_.digest()) {
        digestMismatches_ = 0;
        return;
    }
    ++digestMismatches_;
    const auto* entry = parts_.directory_.find(node);
    // A single mismatch may be a change that is still in transit.
    if (digestMismatches_ >= 2 && now >= nextEntriesRequest_ && entry != nullptr) {
        nextEntriesRequest_ = now + entriesRequestInterval;
        logEvent(LogLevel::Info, "entries_differ", { { "peer", node } });
        parts_.links_.requestState(*entry, { version(), true });
    }
}

auto SiteState::stateFor(const StateRequestFrame& request) const -> StateFrame
{
    StateFrame state;
    if (configuration_ && request.configVersion_ < version()) {
        state.config_ = compressedConfiguration_;
    }
    if (request.wantsEntries_) {
        state.entries_ = parts_.directory_.entries();
    }
    return state;
}

auto SiteState::readAge() const -> Duration
{
    return roles_ ? bootNow() - roles_->knownUntil() : Duration::zero();
}

auto SiteState::heartbeat() const -> BeatFrame
{
    BeatFrame frame { version(), watching_, configurationWatch_->isReachable(), parts_.directory_.digest() };
    const auto now = bootNow();
    if (roles_ && roles_->lastRead()) {
        frame.storeReadAge_ = now - *roles_->lastRead();
    }
    frame.sentAtUs_ = std::chrono::duration_cast<microseconds>(now.time_since_epoch()).count();
    return frame;
}

auto SiteState::sendHeartbeat() -> void
{
    nextHeartbeat_ = Clock::now() + watchHeartbeatInterval;
    sendToZone(heartbeat(), "");
}

auto SiteState::setApplyBound(Duration applyBound) -> void
{
    options_.applyBound_ = applyBound;
    setPaces();
    if (roles_) {
        roles_->setApplyBound(applyBound);
    }
}

auto SiteState::setPaces() -> void
{
    const bool substitute = watching_ && !roles_->isRegular();
    KindWatchPace pace;
    pace.checkInterval_ = watchTimesFor(options_.applyBound_).check_;
    pace.batch_ = configurationBatch;
    if (roles_) {
        pace.longestPause_ = roles_->retryPause();
    }
    pace.patient_ = substitute;
    configurationWatch_->setPace(pace);
    pace.checkInterval_ = nodeCheckInterval;
    pace.checkFreshness_ = Freshness::MayBeStale;
    pace.batch_ = substitute ? substituteNodeBatch : nodeBatch;
    nodeWatch_->setPace(pace);
}

auto SiteState::onStoreRead(TimePoint sentAt) -> void
{
    if (!roles_) {
        return;
    }
    roles_->onStoreRead(sentAt, bootNow());
    if (watching_) {
        nodeWatch_->setWatching(true);
        sendHeartbeat();
    }
}

auto SiteState::refreshRoles() -> void
{
    auto nodes = reachableNodes();
    if (std::none_of(nodes.begin(), nodes.end(), [&](const NodeEntry& entry) {
            return entry.node_ == options_.self_.node_;
        })) {
        nodes.push_back(options_.self_);
    }
    roles_->setNodes(nodes);
    setPaces();
}

auto SiteState::updateRole() -> void
{
    const bool watch = roles_->shouldWatch(version(), bootNow());
    if (watch == watching_) {
        return;
    }
    watching_ = watch;
    logEvent(LogLevel::Info, "store_watch",
        { { "watching", static_cast<int>(watch) }, { "nodes", reachableNodes().size() },
            { "regular", static_cast<int>(roles_->isRegular()) },
            { "read_age_ms", toMilliseconds(readAge()) } });
    setPaces();
    configurationWatch_->setWatching(watch);
    // A node that steps in follows the entries once it has found that it reaches the store.
    nodeWatch_->setWatching(watch && roles_->isRegular());
}

auto SiteState::isFirstWatcher() const -> bool
{
    const auto first = storeWatchersOf(reachableNodes(), options_.self_.zone_, 1);
    return watching_ && !first.empty() && first.front().node_ == options_.self_.node_;
}

auto SiteState::removeEntry(const std::string& node, const char* reason) -> void
{
    logEvent(LogLevel::Info, "node_removed", { { "peer", node }, { "reason", reason } });
    const auto revision = revisions_.find(node);
    const auto* entry = parts_.directory_.find(node);
    const bool inLocalZone = entry != nullptr && entry->zone_ == options_.self_.zone_;
    removeNode(node);
    if (revision == revisions_.end() || !inLocalZone || !isFirstWatcher()) {
        return;
    }
    // Conditional on the revision that was seen: an entry written since then belongs to a running node.
    parts_.store_.remove(
        nodeKind, node, revision->second, [node](const std::variant<std::monostate, StoreError>& result) {
            if (const auto* error = std::get_if<StoreError>(&result)) {
                logEvent(LogLevel::Warning, "entry_removal_failed",
                    { { "peer", node }, { "error", storeErrorName(*error) } });
            }
        });
}

auto SiteState::removeStaleEntries(TimePoint now) -> void
{
    for (const auto& node : staleNodes(parts_.directory_, options_.self_.zone_, now)) {
        removeEntry(node, "out-of-reach");
    }
}

auto SiteState::onAddressTaken(const std::string& node, const std::string& owner) -> void
{
    if (parts_.directory_.find(node) != nullptr && node != owner) {
        removeEntry(node, "address-taken");
    }
}

auto SiteState::tick(TimePoint now) -> void
{
    requestConfiguration(now);
    nodeWatch_->check(now);
    if (!hasNodeList_) {
        return;
    }
    if (!roles_) {
        roles_.emplace(options_.self_.node_, options_.self_.zone_, options_.applyBound_, firstListAt_);
    }
    if (now >= nextRoleCheck_) {
        nextRoleCheck_ = now + roleCheckInterval;
        refreshRoles();
    }
    updateRole();
    if (watching_ && roles_->isReadDue(bootNow())) {
        configurationWatch_->check(now);
    }
    if (now >= nextStaleCheck_) {
        nextStaleCheck_ = now + staleCheckInterval;
        parts_.directory_.purge(now);
        if (watching_) {
            removeStaleEntries(now);
        }
    }
    if (now >= nextLocalEntryCheck_) {
        if (nextLocalEntryCheck_ != TimePoint {} && published_) {
            publisher_->check();
        }
        nextLocalEntryCheck_ = now + localEntryCheckInterval;
    }
    // Nodes that have stepped in send one with each read only: in an outage of the store that may be all
    // nodes.
    if (watching_ && roles_->isRegular() && now >= nextHeartbeat_) {
        sendHeartbeat();
    }
}

} // namespace wagtailhead
