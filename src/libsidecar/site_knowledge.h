/// A node's copy of the site state, and its exchange with the store and with other nodes.
#pragma once

#include "entry_publisher.h"
#include "kind_watch.h"
#include "link_client.h"
#include "newer_versions.h"
#include "wagtailhead/sidecar.h"
#include "watch_roles.h"

#include <optional>
#include <set>

namespace wagtailhead {

struct SiteStateOptions {
    NodeEntry self_; ///< Without the fields that the backend server reports.
    std::uint64_t incarnation_ = 0; ///< Of this process; increases with each start.
    bool firstStart_ = false; ///< All nodes of the site are starting, so the first list is delayed.
    std::uint64_t seed_ = 0;
    Duration applyBound_ = SidecarSettings().applyBound_; ///< See there.
};

struct SiteStateParts {
    asio::io_context& context_;
    ObjectStore& store_;
    const PlatformInterface& platform_;
    Directory& directory_;
    BackendReports& reports_;
    LinkClient& links_;
    /// Sends a frame over all open links, of either direction.
    std::function<void(const Frame& frame)> broadcast_;
    std::function<void(const SiteConfiguration& configuration)> onConfiguration_;
    /// Called after the backend server's state has been restored from the entry of an earlier process.
    std::function<void()> onRestored_;
};

/// Holds the configuration and the entries of the nodes. They are received from the store, which a few nodes
/// of each zone watch, and from other nodes over the links. An older version never replaces a newer one. All
/// members run in the context's single thread.
class SiteState {
public:
    SiteState(SiteStateOptions options, SiteStateParts parts);

    /// Starts reading the store.
    auto start() -> void;
    /// Runs the periodic work: store-watching role, heartbeats, requests and removal of stale entries. Call
    /// it about every 100 ms.
    auto tick(TimePoint now) -> void;

    /// Publishes the current state of the backend server to other nodes and to the store. `onWritten` runs
    /// once the store has confirmed the write.
    auto publish(std::function<void()> onWritten) -> void;
    /// Changes the time in which a confirmed configuration has to be followed. Precondition: it is positive.
    auto setApplyBound(Duration applyBound) -> void;
    /// Returns whether another node has confirmed that it holds the leave of this start of a backend server.
    auto isLeaveHeld(const std::string& id, std::uint64_t bornMs) const -> bool;
    /// Announces that this node is stopping, so that other nodes send it no further requests.
    auto stopAccepting() -> void;

    auto onPeerVersion(const std::string& node, std::uint64_t version) -> void;
    auto onState(const std::string& node, const StateFrame& state) -> void;
    auto onEntry(const NodeEntry& entry) -> void;
    auto onHeartbeat(const std::string& node, const BeatFrame& heartbeat) -> void;
    /// The link address of `node` now belongs to the node `owner`, so `node` has been removed for good.
    auto onAddressTaken(const std::string& node, const std::string& owner) -> void;
    /// Returns the last published entry of this node, or nothing.
    auto publishedEntry() const -> std::optional<NodeEntry>;
    /// Returns the state that the requesting node lacks.
    auto stateFor(const StateRequestFrame& request) const -> StateFrame;

    /// Returns the current configuration, or null.
    auto configuration() const -> const SiteConfigurationPtr&
    {
        return configuration_;
    }
    auto version() const -> std::uint64_t
    {
        return configuration_ ? configuration_->version() : 0;
    }
    /// Returns whether the node list, which includes this node's earlier entry, has been received.
    auto hasNodeList() const -> bool
    {
        return hasNodeList_;
    }
    /// Returns whether this node may not have been a member of the site before its process started, or knows
    /// the members from a peer only, which may not know all. Precondition: hasNodeList().
    auto isNewMember() const -> bool
    {
        return newMember_;
    }
    /// Returns whether this node watches the store on behalf of its zone.
    auto isWatching() const -> bool
    {
        return watching_;
    }

    /// Returns for how long this node has not known, by its own reads of the store or by those of others,
    /// whether there is a newer configuration; zero until the nodes are known.
    auto readAge() const -> Duration;
    /// Returns how the waiting watch of the configuration was found when it was checked.
    auto checkStats() const -> const KindCheckStats&
    {
        return configurationWatch_->checkStats();
    }

private:
    /// From where a configuration came.
    struct Source {
        const char* name_; ///< "store" or "peer".
        const char* read_; ///< By which call to the store; empty for a peer.
    };

    auto onConfigurationObject(const StoredObject& object) -> void;
    auto adopt(const std::string& text, const Source& source) -> void;
    auto onNodeList(const KindList& list) -> void;
    /// Reads this node's entry, which says whether its backend server was leaving, until the store answers.
    auto readOwnEntry() -> void;
    auto onOwnEntry(const std::variant<StoredObject, StoreError>& result) -> void;
    auto onNodeListComplete() -> void;
    /// Removes the nodes that a current list does not name.
    auto removeUnlisted(const std::set<std::string>& listed, TimePoint requestedAt) -> void;
    auto onNodeChange(const StoredChange& change) -> void;
    auto applyObject(const StoredObject& object) -> void;
    auto proximityOf(const NodeEntry& entry) const -> Proximity;
    auto requestConfiguration(TimePoint now) -> void;
    /// Sends a node its own entry with the leave of its backend server, which it has forgotten over a
    /// restart.
    auto returnLeave(const NodeEntry& entry) -> void;
    auto onLocalEntry(const NodeEntry& entry) -> void;
    auto localEntry() const -> NodeEntry;
    auto announce(const NodeEntry& entry) -> void;
    auto sendToZone(const Frame& frame, const std::string& exceptNode) -> void;
    auto reachableNodes() const -> std::vector<NodeEntry>;
    /// Takes the reachable nodes into the choice of the watchers.
    auto refreshRoles() -> void;
    auto updateRole() -> void;
    auto setPaces() -> void;
    auto onStoreRead(TimePoint sentAt) -> void;
    auto sendHeartbeat() -> void;
    auto removeNode(const std::string& node) -> void;
    auto compareEntries(const std::string& node, std::uint64_t digest, TimePoint now) -> void;
    auto sendNewerEntries(const std::string& node, const StateFrame& state) -> void;
    auto removeStaleEntries(TimePoint now) -> void;
    auto removeEntry(const std::string& node, const char* reason) -> void;
    auto isFirstWatcher() const -> bool;
    auto heartbeat() const -> BeatFrame;

    SiteStateOptions options_;
    SiteStateParts parts_;
    SiteConfigurationPtr configuration_;
    std::string compressedConfiguration_; ///< Compressed text of `configuration_`.
    NewerVersions newerVersions_;
    std::shared_ptr<EntryPublisher> publisher_;
    asio::steady_timer ownEntryTimer_; ///< Pause before this node's entry is read again.
    std::shared_ptr<KindWatch> configurationWatch_;
    std::shared_ptr<KindWatch> nodeWatch_;
    std::optional<WatchRoles> roles_; ///< Set once the node list has been received.
    std::map<std::string, std::uint64_t> revisions_; ///< Store revisions of other nodes' entries, by node.
    std::string heldLeaveId_; ///< Backend server whose leave another node holds.
    std::uint64_t heldLeaveBornMs_ = 0;
    std::uint64_t generation_ = 0; ///< Greatest generation seen of this node's entry.
    TimePoint firstListAt_; ///< When the first lists were requested, in bootNow() time.
    bool hasNodeList_ = false;
    bool newMember_ = false;
    bool published_ = false;
    bool accepting_ = true;
    bool watching_ = false;
    int digestMismatches_ = 0; ///< Consecutive heartbeats of this zone's watchers with another digest.
    TimePoint nextEntriesRequest_;
    TimePoint nextRoleCheck_;
    TimePoint nextHeartbeat_;
    TimePoint nextStaleCheck_;
    TimePoint nextLocalEntryCheck_;
};

} // namespace wagtailhead
