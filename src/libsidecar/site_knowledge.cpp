#include "site_knowledge.h"

#include "stale_entries.h"
#include "wagtailhead/compression.h"
#include "wagtailhead/log.h"

#include <algorithm>
#include <set>

namespace wagtailhead {

namespace {

/// The store holds values of up to a megabyte.
constexpr std::size_t mostConfigurationBytes = std::size_t { 16 } << 20;
/// How long changes are collected before the store is watched again. Nodes also tell each other about
/// changed entries.
constexpr Duration configurationBatch = milliseconds(200);
constexpr Duration nodeBatch = seconds(3);
/// When all nodes start at once, each has published its entry after this time, most with the first report of
/// its backend server.
constexpr Duration firstListDelay = milliseconds(2200);
constexpr Duration roleCheckInterval = milliseconds(500);
/// Nodes whose entries differ ask for all of them at most this often.
constexpr Duration entriesRequestInterval = seconds(2);
constexpr Duration staleCheckInterval = seconds(30);
/// A node reads its own entry so often, in case that it has been removed while the node was out of reach.
constexpr Duration ownCheckInterval = std::chrono::minutes(5);

} // namespace

SiteKnowledge::SiteKnowledge(SiteKnowledgeOptions options, SiteKnowledgeParts parts)
    : options_(std::move(options))
    , parts_(std::move(parts))
    , publisher_(std::make_shared<EntryPublisher>(parts_.context_, parts_.store_))
{
    configurationWatch_ = std::make_shared<KindWatch>(parts_.context_, parts_.store_,
        parts_.platform_.configurationKind_, configurationBatch, options_.seed_,
        KindWatchEvents { [this](const std::vector<StoredObject>& objects) {
                             for (const auto& object : objects) {
                                 onConfigurationObject(object);
                             }
                         },
            [this](const StoredChange& change) {
                if (!change.deleted_) {
                    onConfigurationObject(change.object_);
                }
            },
            nullptr });
    nodeWatch_
        = std::make_shared<KindWatch>(parts_.context_, parts_.store_, nodeKind, nodeBatch, options_.seed_ + 1,
            KindWatchEvents { [this](const std::vector<StoredObject>& objects) {
                                 onNodeList(objects);
                             },
                [this](const StoredChange& change) {
                    onNodeChange(change);
                },
                nullptr });
}

auto SiteKnowledge::start() -> void
{
    const auto delay = options_.firstStart_ ? firstListDelay : Duration::zero();
    configurationWatch_->start(delay);
    nodeWatch_->start(delay);
}

auto SiteKnowledge::onConfigurationObject(const StoredObject& object) -> void
{
    if (object.name_ == parts_.platform_.configurationName_) {
        adopt(object.value_, "store");
    }
}

auto SiteKnowledge::adopt(const std::string& text, const char* source) -> void
{
    auto decoded = parts_.platform_.decodeConfiguration_(text);
    if (!isOk(decoded)) {
        logEvent(LogLevel::Error, "configuration_refused",
            { { "source", source }, { "error", errorOf(decoded).text_ } });
        return;
    }
    const auto& configuration = valueOf(decoded);
    if (configuration->version() <= version()) {
        return;
    }
    logEvent(LogLevel::Info, "configuration_adopted",
        { { "source", source }, { "version", configuration->version() }, { "before", version() },
            { "routes", configuration->routes().size() } });
    configuration_ = configuration;
    compressedConfiguration_ = compressText(text);
    newerVersions_.onAdopted(version());
    configurationWatch_->skipList();
    parts_.onConfiguration_(*configuration);
    parts_.broadcast_(beat());
    if (watching_) {
        tellZone(beat(), "");
    }
}

auto SiteKnowledge::onNodeList(const std::vector<StoredObject>& objects) -> void
{
    std::set<std::string> names;
    for (const auto& object : objects) {
        applyObject(object);
        names.insert(object.name_);
    }
    for (const auto& entry : parts_.directory_.entries()) {
        if (entry.node_ != options_.self_.node_ && names.count(entry.node_) == 0) {
            retire(entry.node_);
        }
    }
    if (names.count(options_.self_.node_) == 0) {
        publisher_->onMissing();
    }
    nodesKnown_ = true;
    publish(nullptr);
}

auto SiteKnowledge::onNodeChange(const StoredChange& change) -> void
{
    if (!change.deleted_) {
        applyObject(change.object_);
    } else if (change.object_.name_ != options_.self_.node_) {
        revisions_.erase(change.object_.name_);
        retire(change.object_.name_);
    } else {
        publisher_->onMissing();
        publish(nullptr);
    }
}

auto SiteKnowledge::applyObject(const StoredObject& object) -> void
{
    const auto entry = parseEntry(object.name_, object.value_);
    if (!isOk(entry)) {
        logEvent(LogLevel::Warning, "entry_refused", { { "error", errorOf(entry).text_ } });
        return;
    }
    if (object.name_ == options_.self_.node_) {
        publisher_->onSeen(object);
        onOwnEntry(valueOf(entry));
        return;
    }
    revisions_[object.name_] = object.revision_;
    onEntry(valueOf(entry));
}

auto SiteKnowledge::onEntry(const NodeEntry& entry) -> void
{
    if (entry.node_ == options_.self_.node_) {
        onOwnEntry(entry);
        return;
    }
    if (!parts_.directory_.apply(entry)) {
        return;
    }
    logEvent(LogLevel::Info, "node_changed",
        { { "peer", entry.node_ }, { "service", entry.service_ }, { "phase", backendPhaseName(entry.phase_) },
            { "accepting", static_cast<int>(entry.accepting_) }, { "backend", entry.backendId_ },
            { "generation", entry.generation_ } });
    if (watching_) {
        tellZone(EntryFrame { entry }, entry.node_);
    }
}

auto SiteKnowledge::onOwnEntry(const NodeEntry& entry) -> void
{
    if (!nodesKnown_) {
        generation_ = std::max(generation_, entry.generation_);
        parts_.reports_.restore(entry);
        parts_.onRestored_();
        return;
    }
    // The others hold an entry of an earlier process that they take for newer, as after a step of the clock.
    const auto* published = parts_.directory_.find(options_.self_.node_);
    const bool newer = published == nullptr || entry.generation_ > published->generation_;
    generation_ = std::max(generation_, entry.generation_);
    if (newer && published_) {
        publish(nullptr);
    }
}

auto SiteKnowledge::ownEntry() const -> NodeEntry
{
    const auto& belief = parts_.reports_.belief();
    auto entry = options_.self_;
    entry.capacity_ = belief.capacity_;
    entry.backendId_ = belief.id_;
    entry.backendBornMs_ = belief.bornMs_;
    entry.phase_ = belief.phase_;
    entry.accepting_ = accepting_;
    return entry;
}

auto SiteKnowledge::publish(std::function<void()> onWritten) -> void
{
    auto entry = ownEntry();
    if (entry.backendId_.empty()) {
        return; // Of no use to others yet; the first report of the backend server is due soon.
    }
    const auto* before = parts_.directory_.find(options_.self_.node_);
    const auto known = before == nullptr ? 0 : before->generation_;
    entry.generation_ = known;
    if (before == nullptr || !(entry == *before) || generation_ > known) {
        generation_ = std::max({ generation_ + 1, known + 1, options_.incarnation_ });
        entry.generation_ = generation_;
        parts_.directory_.apply(entry);
        announce(entry);
    }
    published_ = true;
    if (nodesKnown_ || options_.firstStart_) {
        // A restart changes nothing that would be worth a call: the next process accepts again, and the next
        // report of the backend server is due soon.
        entry.accepting_ = true;
        entry.phase_ = entry.phase_ == BackendPhase::Unknown ? BackendPhase::Ready : entry.phase_;
        publisher_->publish(entry, std::move(onWritten));
    }
}

auto SiteKnowledge::stopAccepting() -> void
{
    accepting_ = false;
    publish(nullptr);
}

auto SiteKnowledge::announce(const NodeEntry& entry) -> void
{
    parts_.broadcast_(EntryFrame { entry });
    const auto nodes = reachableNodes();
    std::set<std::string> zones;
    for (const auto& node : nodes) {
        zones.insert(node.zone_);
    }
    for (const auto& zone : zones) {
        for (const auto& watcher : storeWatchersOf(nodes, zone, watchersPerZone)) {
            if (watcher.node_ != options_.self_.node_) {
                parts_.links_.tell(watcher, EntryFrame { entry });
            }
        }
    }
}

auto SiteKnowledge::tellZone(const Frame& frame, const std::string& exceptNode) -> void
{
    for (const auto& entry : reachableNodes()) {
        if (entry.zone_ == options_.self_.zone_ && entry.node_ != options_.self_.node_
            && entry.node_ != exceptNode) {
            parts_.links_.tell(entry, frame);
        }
    }
}

auto SiteKnowledge::reachableNodes() const -> std::vector<NodeEntry>
{
    auto nodes = parts_.directory_.reachable();
    std::erase_if(nodes, [](const NodeEntry& entry) {
        return !entry.accepting_;
    });
    return nodes;
}

auto SiteKnowledge::proximityOf(const NodeEntry& entry) const -> Proximity
{
    if (entry.region_ != options_.self_.region_) {
        return Proximity::Elsewhere;
    }
    return entry.zone_ == options_.self_.zone_ ? Proximity::Zone : Proximity::Region;
}

auto SiteKnowledge::onPeerVersion(const std::string& node, std::uint64_t peerVersion) -> void
{
    const auto* entry = parts_.directory_.find(node);
    if (peerVersion <= version() || entry == nullptr) {
        return;
    }
    const auto now = Clock::now();
    newerVersions_.onVersion(node, proximityOf(*entry), peerVersion, version(), now);
    askForConfiguration(now);
}

auto SiteKnowledge::askForConfiguration(TimePoint now) -> void
{
    const auto node = newerVersions_.takeNext(now);
    const auto* entry = node ? parts_.directory_.find(*node) : nullptr;
    if (entry != nullptr) {
        parts_.links_.requestState(*entry, { version(), false });
    }
}

auto SiteKnowledge::onBeat(const std::string& node, const BeatFrame& beat) -> void
{
    onPeerVersion(node, beat.configVersion_);
    const auto* entry = parts_.directory_.find(node);
    if (roles_ && beat.watching_ && entry != nullptr && entry->zone_ == options_.self_.zone_) {
        roles_->onBeat(node, beat.storeReachable_, Clock::now());
        compareEntries(node, beat.entriesDigest_, Clock::now());
    }
}

auto SiteKnowledge::onState(const std::string& node, const StateFrame& state) -> void
{
    if (!state.config_.empty()) {
        const auto text = decompressText(state.config_, mostConfigurationBytes);
        if (isOk(text)) {
            adopt(valueOf(text), "peer");
        } else {
            logEvent(LogLevel::Error, "configuration_refused",
                { { "source", "peer" }, { "error", errorOf(text).text_ } });
        }
    }
    for (const auto& entry : state.entries_) {
        onEntry(entry);
    }
    if (!nodesKnown_ && parts_.directory_.size() > 0) {
        logEvent(LogLevel::Info, "entries_from_peer", { { "entries", state.entries_.size() } });
        nodesKnown_ = true;
        nodeWatch_->skipList();
        publish(nullptr);
    }
    if (!state.entries_.empty()) {
        tellWhatIsNewer(node, state);
    }
}

auto SiteKnowledge::tellWhatIsNewer(const std::string& node, const StateFrame& state) -> void
{
    const auto* asked = parts_.directory_.find(node);
    if (asked == nullptr) {
        return;
    }
    std::map<std::string, std::uint64_t> generations;
    for (const auto& entry : state.entries_) {
        generations[entry.node_] = entry.generation_;
    }
    for (const auto& entry : parts_.directory_.entries()) {
        if (entry.generation_ > generations[entry.node_]) {
            parts_.links_.tell(*asked, EntryFrame { entry });
        }
    }
}

auto SiteKnowledge::publishedEntry() const -> std::optional<NodeEntry>
{
    const auto* entry = parts_.directory_.find(options_.self_.node_);
    return entry == nullptr ? std::nullopt : std::optional(*entry);
}

auto SiteKnowledge::retire(const std::string& node) -> void
{
    const auto entry = parts_.directory_.retire(node, Clock::now());
    if (entry && watching_) {
        tellZone(EntryFrame { *entry }, node);
    }
}

auto SiteKnowledge::compareEntries(const std::string& node, std::uint64_t digest, TimePoint now) -> void
{
    if (digest == parts_.directory_.digest()) {
        differentDigests_ = 0;
        return;
    }
    ++differentDigests_;
    const auto* entry = parts_.directory_.find(node);
    // A change that is still on its way makes one difference.
    if (differentDigests_ >= 2 && now >= nextEntriesRequest_ && entry != nullptr) {
        nextEntriesRequest_ = now + entriesRequestInterval;
        logEvent(LogLevel::Info, "entries_differ", { { "peer", node } });
        parts_.links_.requestState(*entry, { version(), true });
    }
}

auto SiteKnowledge::stateFor(const StateRequestFrame& request) const -> StateFrame
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

auto SiteKnowledge::beat() const -> BeatFrame
{
    return { version(), watching_, configurationWatch_->isReachable(), parts_.directory_.digest() };
}

auto SiteKnowledge::updateRole(TimePoint now) -> void
{
    auto nodes = reachableNodes();
    if (std::none_of(nodes.begin(), nodes.end(), [&](const NodeEntry& entry) {
            return entry.node_ == options_.self_.node_;
        })) {
        nodes.push_back(options_.self_);
    }
    const bool watch = roles_->shouldWatch(nodes, now);
    if (watch != watching_) {
        watching_ = watch;
        logEvent(LogLevel::Info, "store_watch",
            { { "watching", static_cast<int>(watch) }, { "nodes", nodes.size() } });
        configurationWatch_->setWatching(watch);
        nodeWatch_->setWatching(watch);
    }
}

auto SiteKnowledge::isFirstWatcher() const -> bool
{
    const auto first = storeWatchersOf(reachableNodes(), options_.self_.zone_, 1);
    return watching_ && !first.empty() && first.front().node_ == options_.self_.node_;
}

auto SiteKnowledge::removeEntry(const std::string& node, const char* reason) -> void
{
    logEvent(LogLevel::Info, "node_removed", { { "peer", node }, { "reason", reason } });
    const auto revision = revisions_.find(node);
    const auto* entry = parts_.directory_.find(node);
    const bool ownZone = entry != nullptr && entry->zone_ == options_.self_.zone_;
    retire(node);
    if (revision == revisions_.end() || !ownZone || !isFirstWatcher()) {
        return;
    }
    // Under the revision that was seen: an entry that has been written since belongs to a node that lives.
    parts_.store_.remove(
        nodeKind, node, revision->second, [node](const std::variant<std::monostate, StoreError>& result) {
            if (const auto* error = std::get_if<StoreError>(&result)) {
                logEvent(LogLevel::Warning, "entry_removal_failed",
                    { { "peer", node }, { "error", storeErrorName(*error) } });
            }
        });
}

auto SiteKnowledge::removeStaleEntries(TimePoint now) -> void
{
    for (const auto& node : staleNodes(parts_.directory_, options_.self_.zone_, now)) {
        removeEntry(node, "out-of-reach");
    }
}

auto SiteKnowledge::onAddressTaken(const std::string& node, const std::string& owner) -> void
{
    if (parts_.directory_.find(node) != nullptr && node != owner) {
        removeEntry(node, "address-taken");
    }
}

auto SiteKnowledge::tick(TimePoint now) -> void
{
    askForConfiguration(now);
    if (!nodesKnown_) {
        return;
    }
    if (!roles_) {
        roles_.emplace(options_.self_.node_, options_.self_.zone_, now);
    }
    if (now >= nextRoleCheck_) {
        nextRoleCheck_ = now + roleCheckInterval;
        updateRole(now);
    }
    if (now >= nextStaleCheck_) {
        nextStaleCheck_ = now + staleCheckInterval;
        parts_.directory_.purge(now);
        if (watching_) {
            removeStaleEntries(now);
        }
    }
    if (now >= nextOwnCheck_) {
        if (nextOwnCheck_ != TimePoint {} && published_) {
            publisher_->check();
        }
        nextOwnCheck_ = now + ownCheckInterval;
    }
    if (watching_ && now >= nextBeat_) {
        nextBeat_ = now + watchBeatInterval;
        tellZone(beat(), "");
    }
}

} // namespace wagtailhead
