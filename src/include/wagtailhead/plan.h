/// What follows from an intent: the plan that an operator reads before confirming it.
///
/// A plan is computed from the intent, the present document and a picture of the mesh. It is computed a
/// second time when it is confirmed, and what differs then is reported. A plan takes no effect by itself.
#pragma once

#include "wagtailhead/config_documents.h"
#include "wagtailhead/document_record.h"
#include "wagtailhead/intent.h"
#include "wagtailhead/member.h"
#include "wagtailhead/operator_error.h"
#include "wagtailhead/operator_teams.h"
#include "wagtailhead/result.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace wagtailhead {

/// A plan can be confirmed for this long.
constexpr auto planLife = std::chrono::hours(24);

/// Plans list at most this many changes and servers; the counts beside the lists are complete.
constexpr std::size_t maxListedChanges = 200;
constexpr std::size_t maxListedServers = 200;

/// A service in one zone.
using ServiceZone = std::pair<std::string, std::string>;

/// The load of the backend servers of one service in one zone.
struct ServiceLoad {
    int inFlight_ = 0;
    int limit_ = 0;
    int queued_ = 0;
    Duration age_ {}; ///< Of the oldest figure in the sums.
};

/// The processes that hold one shard of a service.
struct ShardHolders {
    std::string service_;
    std::string shard_;
    std::vector<NodeRef> members_; ///< Owner and witnesses.
};

/// The mesh as the planning node sees it.
struct PlanWorld {
    std::shared_ptr<const MemberList> members_;
    std::vector<std::string> onceServices_; ///< Services with operations that run at most once.
    std::vector<ShardHolders> shards_;
    std::map<ServiceZone, ServiceLoad> loads_; ///< Without an entry the load is not known.
};

/// One changed field.
struct PlanChange {
    std::string field_; ///< For instance "retries.allowance" or "leaving.nodes[katalogs-3]".
    std::string oldValue_; ///< JSON text; empty if the field was absent.
    std::string newValue_; ///< JSON text; empty if the field is absent now.
    std::string service_; ///< The only service that the change concerns; empty for all services.

    auto operator==(const PlanChange&) const -> bool = default;
};

/// A backend server that the change concerns.
struct PlanServer {
    NodeRef ref_;
    std::string service_;
    std::string zone_;
    MemberState state_ = MemberState::Alive;
    bool backendUp_ = false;
    int slots_ = 0;
};

/// Capacity of a service in a zone before and after the change. Only backend servers count that are
/// alive, up and not leaving.
struct PlanCapacity {
    std::string service_;
    std::string zone_;
    int serversBefore_ = 0;
    int serversAfter_ = 0;
    int slotsBefore_ = 0;
    int slotsAfter_ = 0;
    std::optional<ServiceLoad> load_;
};

struct Plan {
    std::string id_;
    Intent intent_;
    std::uint64_t baseGeneration_ = 0; ///< 0 if there is no document yet.
    std::string baseIntent_; ///< The intent that the base came from; empty if none.
    std::string team_; ///< The author.
    WallClock::time_point created_;
    WallClock::time_point expires_;
    std::string summary_; ///< At most 200 characters.
    std::string document_; ///< The proposed document, with its generation.
    std::vector<PlanChange> changes_;
    std::size_t changeCount_ = 0;
    std::vector<std::string> services_; ///< Concerned services, sorted.
    std::vector<std::string> zones_; ///< Zones of their backend servers, sorted.
    std::vector<PlanServer> servers_;
    std::size_t serverCount_ = 0;
    std::vector<PlanCapacity> capacity_; ///< For changes that take backend servers away or bring them back.
    std::vector<std::string> effects_;
    std::vector<std::string> warnings_;
    std::vector<std::string> emptied_; ///< Services that would have no usable backend server any more.
    std::vector<NodeRef> lost_; ///< Processes that the intent declares lost.
    /// Whether the change concerns more than `services_` can tell, so that only a team with `*` may make
    /// it.
    bool needsAllServices_ = false;
};

/// The base of a plan: the document with the highest generation that the store or the node knows.
struct PlanBase {
    std::optional<std::string> document_;
    DocumentRecord record_;
};

/// Computes the plan of an intent; `id`, `team` and `now` are noted in it. Fails if the intent does not fit
/// the base or the members: invalid-intent, no-change, unknown-node, too-large, base-changed, node-alive.
auto makePlan(const Intent& intent, const PlanBase& base, const PlanWorld& world, const std::string& id,
    const std::string& team, WallClock::time_point now) -> OperatorResult<Plan>;

/// Returns why the team may not make or confirm the plan (forbidden), or nothing.
auto missingPermission(const Plan& plan, const OperatorTeam& team) -> std::optional<OperatorError>;

/// Returns what differs between a plan and the same plan computed again now, as sentences.
auto differencesOf(const Plan& plan, const Plan& now, const MemberList& members) -> std::vector<std::string>;

/// Returns the refusal of a change that is not the one of the plan: what changed since, and by whom.
auto baseChanged(std::uint64_t plannedGeneration, const DocumentRecord& present) -> OperatorError;

/// Returns the refusal of a change that would leave services without backend servers.
auto serviceEmpty(const std::vector<std::string>& services) -> OperatorError;

/// The state of a plan in the store.
struct StoredPlan {
    Plan plan_;
    std::uint64_t confirmedGeneration_ = 0; ///< 0 unless the plan was confirmed.
    std::string confirmedBy_;
};

/// Returns the plan as JSON, as operators and the store get it. The proposed document is not part of it.
auto formatPlan(const StoredPlan& stored) -> std::string;
auto parsePlan(std::string_view json) -> Result<StoredPlan>;

} // namespace wagtailhead
