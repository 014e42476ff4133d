/// Status figures of one node or of many, which merge into figures of a zone. Internal to the library.
#pragma once

#include "overload_counts.h"
#include "wagtailhead/active_config.h"
#include "wagtailhead/admission.h"
#include "wagtailhead/member.h"
#include "wagtailhead/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace wagtailhead {

/// Node ids that a report names at most in each list; counts beside the lists are complete.
constexpr std::size_t maxNamedNodes = 20;

/// Figures of the nodes of one service, and of the calls of the service that were shed.
struct ServiceFigures {
    int nodes_ = 0; ///< Nodes of the service in the sums.
    int limit_ = 0;
    int inFlight_ = 0;
    int queued_ = 0;
    SheddingLevel level_; ///< The strictest one.
    PriorityTotals shed_;
};

/// The nodes that have a generation in force.
struct GenerationGroup {
    int nodes_ = 0;
    std::set<NodeId> named_;
};

struct ZoneReport {
    int nodes_ = 0; ///< Nodes in the sums.
    /// Whether the store answered the node that collected the zone; nothing in a node's own report.
    std::optional<bool> storeReachable_;
    std::uint64_t silentConnections_ = 0; ///< Since the nodes' starts.
    PriorityTotals unknown_;
    std::map<std::string, ServiceFigures> services_;
    std::map<ConfigKind, std::map<std::uint64_t, GenerationGroup>> generations_;
    int missing_ = 0; ///< Nodes that gave no answer.
    std::set<NodeId> namedMissing_;
    /// Age of the oldest figure when the report was made.
    Duration age_ {};
};

/// What one node reports about itself.
struct NodeFigures {
    NodeId node_;
    std::string service_;
    AdmissionStats admission_;
    OverloadTotals overload_;
    std::map<ConfigKind, std::uint64_t> generations_;
    std::uint64_t silentConnections_ = 0;
};

auto reportOf(const NodeFigures& figures) -> ZoneReport;

/// Adds the figures of `part` to `sum`.
auto merge(ZoneReport& sum, const ZoneReport& part) -> void;

/// Notes a node that gave no answer.
auto addMissing(ZoneReport& sum, const NodeId& node) -> void;

/// Compact JSON; a node's own report has about 300 bytes.
auto formatReport(const ZoneReport& report) -> std::string;
auto parseReport(std::string_view json) -> Result<ZoneReport>;

} // namespace wagtailhead
