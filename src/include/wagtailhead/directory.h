/// The nodes of a site and the backend servers beside them, and the choice of a node for a request.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/settings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

class PlacementPolicy;
struct PlacementCandidate;
struct PlacementWork;

enum class BackendPhase : std::uint8_t {
    Unknown, ///< No report yet.
    Ready,
    Draining, ///< Finishes what it has and takes nothing new.
    Gone,
};

/// Returns "unknown", "ready", "draining" or "gone".
auto backendPhaseName(BackendPhase phase) -> const char*;
auto parseBackendPhase(std::string_view name) -> std::optional<BackendPhase>;

/// Returns whether a backend server takes no further requests.
inline auto isLeaving(BackendPhase phase) -> bool
{
    return phase == BackendPhase::Draining || phase == BackendPhase::Gone;
}

/// What a node publishes about itself. Only the node itself writes its entry.
struct NodeEntry {
    std::string node_;
    std::string zone_;
    std::string region_;
    std::string service_; ///< Of the backend server beside the node.
    Address link_; ///< Where other nodes reach it.
    int capacity_ = 0; ///< Requests that the backend server runs at once; 0 if not known.
    std::string backendId_; ///< Empty before the first report.
    std::uint64_t backendBornMs_ = 0; ///< Start of the backend server, Unix time.
    BackendPhase phase_ = BackendPhase::Unknown;
    bool accepting_ = true; ///< False while the node itself is about to end.
    std::uint64_t generation_ = 0; ///< Grows with each change of the entry.

    auto operator==(const NodeEntry&) const -> bool = default;
};

/// A level and the time since the gate that refuses requests has measured it. The age goes along from node
/// to node, so that a level that services report to each other in a circle fades.
struct ReportedLevel {
    double level_ = 0;
    Duration age_ {};
};

/// Which of the levels that a node reports counts.
enum class LevelPart : std::uint8_t {
    Highest, ///< The higher one of the two.
    Own, ///< Of the backend server itself.
    Called, ///< Of the services that it calls.
};

enum class CallsMade : std::uint8_t {
    Unknown, ///< Too few requests have been answered to tell.
    None,
    Some,
};

/// The load of a backend server as its node measures it.
struct GateLoad {
    int running_ = 0;
    int queued_ = 0;
    int limit_ = 0;
    Duration serviceTime_ {}; ///< Mean time that the backend server takes; 0 if not known.
    double level_ = 0; ///< How much less important work to refuse for this backend server (see ShedLevel).
    ReportedLevel called_ {}; ///< The same for the services that it calls.
    CallsMade calls_ = CallsMade::Unknown; ///< By the backend server.
    double failedShare_ = 0; ///< Of the requests that the backend server has answered recently.
    double slowdown_ = 0; ///< How long work takes on the VM now, 1 as usual; 0 if the frame does not tell.
};

struct DirectoryOptions {
    std::string node_;
    std::string zone_;
    std::string region_;
    std::uint64_t seed_ = 0;
};

/// A node for an attempt, with what decided.
struct PickedNode {
    NodeEntry entry_;
    double used_ = 0; ///< Share of the backend server's slots in use, as it was known.
    double level_ = 0;
    Duration loadAge_ {}; ///< Since the node has told its load last.
    std::size_t candidates_ = 0; ///< Nodes of the service that take requests.
};

/// Knows all nodes and what this node has measured about them. Not thread safe.
class Directory {
public:
    explicit Directory(DirectoryOptions options);
    ~Directory();
    Directory(Directory&&) noexcept;
    auto operator=(Directory&&) -> Directory& = delete;
    Directory(const Directory&) = delete;
    auto operator=(const Directory&) -> Directory& = delete;

    /// Chooses how pick() places requests: by expected completion, or by the share of slots in use.
    auto setCostControl(bool on) -> void;

    /// Takes an entry unless a newer generation is known. Returns whether anything changed. A leave is final
    /// for one start of a backend server, whatever the order of the entries: a restarted node may not know of
    /// it.
    auto apply(const NodeEntry& entry) -> bool;
    /// A node is gone for good. Its entry is kept as gone for a while, under a newer generation, so that
    /// nodes that have not heard of it do not bring it back; a node that lives after all outdoes it. Returns
    /// that entry, or nothing if the node is not known or gone already.
    auto retire(const std::string& node, TimePoint now) -> std::optional<NodeEntry>;
    /// Forgets what has been gone for long. Call it now and then.
    auto purge(TimePoint now) -> void;

    /// Returns a number that is the same on nodes that know the same entries but for those that are gone.
    auto digest() const -> std::uint64_t;

    auto find(const std::string& node) const -> const NodeEntry*;
    /// Returns when the entry of a node was changed last, or the start of the clock if the node is not known.
    auto changedAt(const std::string& node) const -> TimePoint;
    auto entries() const -> std::vector<NodeEntry>;
    auto size() const -> std::size_t
    {
        return nodes_.size();
    }
    /// Returns whether any node has a backend server of this service.
    auto serves(std::string_view service) const -> bool;

    /// Picks the node for the next attempt, or nothing. Prefers the own zone, then the own region, by the
    /// share of the backend server's capacity in use and by its time against the latency objective `goal`.
    auto pick(std::string_view service, Duration goal, const std::vector<std::string>& tried, TimePoint now)
        -> std::optional<PickedNode>;
    /// The same for a request of which more is known.
    auto pick(std::string_view service, const PlacementWork& work, const std::vector<std::string>& tried,
        TimePoint now) -> std::optional<PickedNode>;

    /// Returns the level of a service as it counts here: the lowest mean level of a region's nodes, each by
    /// the requests that it can do, since requests go to another region before they are refused. The age is
    /// the mean over the nodes that refuse requests.
    auto level(std::string_view service, TimePoint now, LevelPart part = LevelPart::Highest) const
        -> ReportedLevel;

    /// Returns the share of requests to a service that have failed recently: the mean over the nodes that
    /// have reported.
    auto failedShare(std::string_view service, TimePoint now) const -> double;

    /// Returns whether the backend servers of a service make no calls, as far as its nodes can tell.
    auto callsNothing(std::string_view service) const -> bool;

    /// Runs `handler` whenever a node reports a level that differs by a step from its last one.
    auto onLevelStep(std::function<void()> handler) -> void
    {
        onLevelStep_ = std::move(handler);
    }

    /// Counts a request that is sent to a node and, with `ended`, one that has ended there.
    auto started(const std::string& node) -> void;
    auto ended(const std::string& node) -> void;

    auto onLoad(const std::string& node, const GateLoad& load, TimePoint now) -> void;
    /// Takes how much longer than expected the backend server of a node has taken for a request.
    auto onSlowness(const std::string& node, double slowness, TimePoint now) -> void;
    /// The node cannot be reached: it is avoided until onReachable().
    auto onUnreachable(const std::string& node, TimePoint now) -> void;
    auto onReachable(const std::string& node) -> void;
    /// Returns the nodes out of reach that are to be tried again now: soon at first, since most are only
    /// restarted, then more rarely.
    auto takeDueProbes(TimePoint now) -> std::vector<NodeEntry>;
    /// Returns since when a node has been out of reach, or nothing.
    auto unreachableSince(const std::string& node) const -> std::optional<TimePoint>;
    /// Returns the nodes that are not known to be out of reach.
    auto reachable() const -> std::vector<NodeEntry>;
    /// The node or its backend server did not take a request: it is avoided for a growing time.
    auto onUnavailable(const std::string& node, TimePoint now) -> void;
    /// The backend server beside the node failed a request; counts towards avoiding it.
    auto onFailure(const std::string& node, TimePoint now) -> void;
    auto onSuccess(const std::string& node) -> void;

private:
    struct Known {
        NodeEntry entry_;
        TimePoint changedAt_;
        GateLoad load_;
        TimePoint loadTime_; ///< Of the last report.
        int inFlight_ = 0; ///< From this node.
        int inFlightAtReport_ = 0;
        double slowness_ = 1; ///< Moving average, without the slowdown that is reported.
        TimePoint slownessTime_; ///< Of the last answer.
        double slowdown_ = 1; ///< As reported last.
        TimePoint slowdownTime_;
        int failures_ = 0; ///< In a row.
        double failureShare_ = 0; ///< Moving share of failed requests.
        TimePoint avoidUntil_;
        bool suspected_ = false; ///< The failures have been logged.
        bool unreachable_ = false;
        TimePoint unreachableSince_;
        TimePoint nextProbe_;
        std::optional<TimePoint> retiredAt_;
        Duration probeInterval_ {};
    };

    static auto isUsable(const Known& known) -> bool;
    static auto levelOf(const Known& known, TimePoint now, LevelPart part = LevelPart::Highest)
        -> ReportedLevel;
    auto nodesOf(std::string_view service) const -> const std::vector<Known*>&;
    auto indexServices() -> void;
    static auto rateOf(const Known& known) -> double;
    static auto usedShare(const Known& known) -> double;
    static auto slownessOf(const Known& known, TimePoint now) -> double;
    auto candidateOf(const Known& known, TimePoint now) const -> PlacementCandidate;

    DirectoryOptions options_;
    std::map<std::string, Known> nodes_;
    std::map<std::string, std::vector<Known*>, std::less<>> byService_;
    std::function<void()> onLevelStep_;
    bool costControl_ = false;
    std::unique_ptr<PlacementPolicy> placement_;
};

} // namespace wagtailhead
