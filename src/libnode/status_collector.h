/// Collects the status figures of the whole mesh on request. Internal to the library.
///
/// Nothing is sent while nobody asks. The asking node asks every node of its own zone, and one node of
/// each other zone for that zone's report. The node that collects a zone also reads one object of the
/// store, to tell whether the zone reaches it. A report is shared by all askers and kept for a second, so
/// that the cost is bounded however often the status is read.
#pragma once

#include "wagtailhead/member.h"
#include "wagtailhead/messages.h"
#include "zone_report.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhead {

struct StatusCollectorOptions {
    /// For one node of the own zone.
    Duration nodeTimeout_ = milliseconds(800);
    /// For one node of another zone, which asks its zone in this time.
    Duration zoneTimeout_ = milliseconds(1400);
    /// Nodes of another zone that are tried one after the other.
    int zoneAttempts_ = 2;
    /// Requests to nodes of the own zone that are under way at once.
    std::size_t window_ = 64;
    /// The report of a zone is made without the nodes that have not answered after this.
    Duration collectLimit_ = milliseconds(1100);
    /// A report that is at most this old is handed out again.
    Duration reuse_ = seconds(1);
};

/// What is known of one zone.
struct ZonePart {
    ZoneReport report_; ///< The last one; empty if there never was one.
    bool known_ = false;
    bool reachable_ = false; ///< Whether the zone answered this time.
    TimePoint figuresAt_; ///< Time of the oldest figure in the report.
};

struct MeshReport {
    std::map<std::string, ZonePart> zones_;
    TimePoint collectedAt_;
    Duration took_ {};
    std::uint64_t requests_ = 0; ///< Requests that this node sent for it.
};

struct StatusCollectorParts {
    /// Sends a request to a member; the callback runs once, in a thread of the context, with nothing if
    /// no answer came.
    using AskFunction = std::function<void(const Member& member, bool wholeZone, Duration timeout,
        std::function<void(std::optional<ZoneReport>)> callback)>;

    asio::io_context& context_;
    const MemberTable& members_;
    NodeRef self_;
    std::string zone_;
    std::function<ZoneReport()> ownReport_;
    AskFunction ask_;
    /// Tells whether the store answers; the callback runs once, in a thread of the context.
    std::function<void(std::function<void(bool)>)> probeStore_;
};

/// Thread safe. Callbacks run in threads of the context.
class StatusCollector {
public:
    using ZoneCallback = std::function<void(const ZoneReport&)>;
    using MeshCallback = std::function<void(const MeshReport&)>;

    explicit StatusCollector(StatusCollectorParts parts, StatusCollectorOptions options = {});
    ~StatusCollector();
    StatusCollector(const StatusCollector&) = delete;
    auto operator=(const StatusCollector&) -> StatusCollector& = delete;

    /// Gives the figures of this node's zone, collected now or within the last second.
    auto collectZone(ZoneCallback callback) -> void;

    /// Gives the figures of all zones, collected now or within the last second. Takes at most about
    /// `zoneAttempts_ * zoneTimeout_`.
    auto collectMesh(MeshCallback callback) -> void;

    /// Answers the request of another node.
    auto onRequest(const SummaryRequest& request, std::function<void(SummaryReply)> reply) -> void;

private:
    class State;
    std::shared_ptr<State> state_;
};

/// Returns the members of a zone that are asked for its report, best first. Nodes choose the same ones for
/// a while, so that they share the report, and other ones later, so that the work is spread.
auto rankRelays(const MemberList& members, const std::string& zone, WallClock::time_point now)
    -> std::vector<const Member*>;

} // namespace wagtailhead
