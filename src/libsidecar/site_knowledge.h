/// What a node knows of its site, and how it learns it and tells others.
#pragma once

#include "entry_publisher.h"
#include "kind_watch.h"
#include "link_client.h"
#include "newer_versions.h"
#include "wagtailhead/sidecar.h"
#include "watch_roles.h"

#include <optional>

namespace wagtailhead {

struct SiteKnowledgeOptions {
    NodeEntry self_; ///< Without what the backend server reports.
    std::uint64_t incarnation_ = 0; ///< Of this process; grows from start to start.
    bool firstStart_ = false; ///< All nodes start now, so their entries come within a moment.
    std::uint64_t seed_ = 0;
};

struct SiteKnowledgeParts {
    asio::io_context& context_;
    ObjectStore& store_;
    const PlatformInterface& platform_;
    Directory& directory_;
    BackendReports& reports_;
    LinkClient& links_;
    /// Sends a frame over all open links, of either direction.
    std::function<void(const Frame& frame)> broadcast_;
    std::function<void(const SiteConfiguration& configuration)> onConfiguration_;
    /// An earlier process's belief about the backend server has been taken over.
    std::function<void()> onRestored_;
};

/// Holds the configuration and the entries of the nodes. They come from the store, which a few nodes of each
/// zone watch, and from other nodes over the links. What has been learned once never goes back. All members
/// run in the context's single thread.
class SiteKnowledge {
public:
    SiteKnowledge(SiteKnowledgeOptions options, SiteKnowledgeParts parts);

    /// Starts to read the store.
    auto start() -> void;
    /// Checks the role of this node. Call it every 100 ms or so.
    auto tick(TimePoint now) -> void;

    /// Tells the others what has become of the backend server. `onWritten` runs once the store has it.
    auto publish(std::function<void()> onWritten) -> void;
    /// This node is about to end: the others are told not to send it anything.
    auto stopAccepting() -> void;

    auto onPeerVersion(const std::string& node, std::uint64_t version) -> void;
    auto onState(const std::string& node, const StateFrame& state) -> void;
    auto onEntry(const NodeEntry& entry) -> void;
    auto onBeat(const std::string& node, const BeatFrame& beat) -> void;
    /// The address of `node` belongs to `owner` now, so the node is gone for good.
    auto onAddressTaken(const std::string& node, const std::string& owner) -> void;
    /// Returns the entry of this node as it has been published last, or nothing.
    auto publishedEntry() const -> std::optional<NodeEntry>;
    /// Returns what a node that asks lacks.
    auto stateFor(const StateRequestFrame& request) const -> StateFrame;

    /// The configuration in force, or null.
    auto configuration() const -> const SiteConfigurationPtr&
    {
        return configuration_;
    }
    auto version() const -> std::uint64_t
    {
        return configuration_ ? configuration_->version() : 0;
    }
    /// Returns whether the nodes, and so this node's own earlier entry, are known.
    auto areNodesKnown() const -> bool
    {
        return nodesKnown_;
    }
    /// Returns whether this node watches the store for others.
    auto isWatching() const -> bool
    {
        return watching_;
    }

private:
    auto onConfigurationObject(const StoredObject& object) -> void;
    auto adopt(const std::string& text, const char* source) -> void;
    auto onNodeList(const std::vector<StoredObject>& objects) -> void;
    auto onNodeChange(const StoredChange& change) -> void;
    auto applyObject(const StoredObject& object) -> void;
    auto proximityOf(const NodeEntry& entry) const -> Proximity;
    auto askForConfiguration(TimePoint now) -> void;
    auto onOwnEntry(const NodeEntry& entry) -> void;
    auto ownEntry() const -> NodeEntry;
    auto announce(const NodeEntry& entry) -> void;
    auto tellZone(const Frame& frame, const std::string& exceptNode) -> void;
    auto reachableNodes() const -> std::vector<NodeEntry>;
    auto updateRole(TimePoint now) -> void;
    auto retire(const std::string& node) -> void;
    auto compareEntries(const std::string& node, std::uint64_t digest, TimePoint now) -> void;
    auto tellWhatIsNewer(const std::string& node, const StateFrame& state) -> void;
    auto removeStaleEntries(TimePoint now) -> void;
    auto removeEntry(const std::string& node, const char* reason) -> void;
    auto isFirstWatcher() const -> bool;
    auto beat() const -> BeatFrame;

    SiteKnowledgeOptions options_;
    SiteKnowledgeParts parts_;
    SiteConfigurationPtr configuration_;
    std::string compressedConfiguration_; ///< Its text.
    NewerVersions newerVersions_;
    std::shared_ptr<EntryPublisher> publisher_;
    std::shared_ptr<KindWatch> configurationWatch_;
    std::shared_ptr<KindWatch> nodeWatch_;
    std::optional<WatchRoles> roles_; ///< Set once the nodes are known.
    std::map<std::string, std::uint64_t> revisions_; ///< Of other nodes' objects in the store.
    std::uint64_t generation_ = 0; ///< Greatest one seen of the own entry.
    bool nodesKnown_ = false;
    bool published_ = false;
    bool accepting_ = true;
    bool watching_ = false;
    int differentDigests_ = 0; ///< In a row, of nodes that watch for this zone.
    TimePoint nextEntriesRequest_;
    TimePoint nextRoleCheck_;
    TimePoint nextBeat_;
    TimePoint nextStaleCheck_;
    TimePoint nextOwnCheck_;
};

} // namespace wagtailhead
