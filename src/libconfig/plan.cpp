#include "wagtailhead/plan.h"

#include "document_diff.h"
#include "plan_effect.h"
#include "wagtailhead/wall_time.h"

#include <algorithm>

namespace wagtailhead {

namespace {

constexpr std::size_t maxSummaryBytes = 200;
constexpr std::size_t maxNamesInText = 5;
constexpr std::size_t maxDifferences = 50;

auto failure(const char* code, std::string detail) -> OperatorError
{
    return { code, std::move(detail) };
}

/// Shortens a UTF-8 text without cutting a character.
auto shortened(std::string text, std::size_t limit) -> std::string
{
    if (text.size() <= limit) {
        return text;
    }
    std::size_t end = limit - 3;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
        --end;
    }
    return text.substr(0, end) + "...";
}

auto joined(const std::vector<std::string>& names) -> std::string
{
    std::string text;
    for (std::size_t i = 0; i < names.size() && i < maxNamesInText; ++i) {
        text += (i == 0 ? "" : ", ") + names[i];
    }
    return names.size() > maxNamesInText
        ? text + " and " + std::to_string(names.size() - maxNamesInText) + " more"
        : text;
}

auto summaryOf(const Plan& plan) -> std::string
{
    std::string text = configKindName(plan.intent_.kind_);
    const char* separator = ": ";
    for (const auto& change : plan.changes_) {
        text += separator;
        separator = ", ";
        // The kind stands in front already.
        text += change.field_.substr(change.field_.find('.') + 1);
        if (change.oldValue_.empty()) {
            text += " added";
        } else if (change.newValue_.empty()) {
            text += " removed";
        } else {
            text.append(" ").append(change.oldValue_).append(" -> ").append(change.newValue_);
        }
        if (text.size() > maxSummaryBytes) {
            break;
        }
    }
    if (!plan.intent_.note_.empty()) {
        text = plan.intent_.note_ + " (" + text + ")";
    }
    return shortened(text, maxSummaryBytes);
}

/// The processes with these ids that are not running: the dead member itself and what the shard records
/// name beside the present members.
auto deadProcesses(const PlanWorld& world, const NodeId& id) -> std::set<NodeRef>
{
    std::set<NodeRef> found;
    const auto* member = world.members_->find(id);
    if (member && member->state_ == MemberState::Dead) {
        found.insert(member->ref_);
    }
    for (const auto& shard : world.shards_) {
        for (const auto& ref : shard.members_) {
            if (ref.id_ == id && !world.members_->isPresent(ref)) {
                found.insert(ref);
            }
        }
    }
    return found;
}

auto lostNodes(const std::vector<NodeId>& ids, const PlanWorld& world) -> OperatorResult<std::set<NodeRef>>
{
    std::set<NodeRef> lost;
    for (const auto& id : ids) {
        const auto found = deadProcesses(world, id);
        if (found.empty()) {
            const auto* member = world.members_->find(id);
            return member
                ? failure(operator_code::nodeAlive,
                    "node '" + id + "' is " + memberStateName(member->state_)
                        + "; only dead nodes can be declared lost")
                : failure(operator_code::unknownNode, "node '" + id + "' is no member and holds no shard");
        }
        lost.insert(found.begin(), found.end());
    }
    return lost;
}

auto lostZone(const std::string& zone, const PlanWorld& world) -> OperatorResult<std::set<NodeRef>>
{
    std::vector<NodeId> dead;
    std::vector<std::string> alive;
    for (const auto& [id, member] : world.members_->members_) {
        if (member.zone_ == zone) {
            (member.state_ == MemberState::Dead ? dead : alive).push_back(id);
        }
    }
    if (!alive.empty()) {
        return failure(operator_code::nodeAlive,
            "zone '" + zone + "' has nodes that are not dead: " + joined(alive)
                + "; declare single nodes instead");
    }
    if (dead.empty()) {
        return failure(operator_code::unknownNode, "no member is known in zone '" + zone + "'");
    }
    return lostNodes(dead, world);
}

auto resolveLost(const Intent& intent, const PlanWorld& world) -> OperatorResult<std::vector<NodeRef>>
{
    auto lost
        = intent.lostZone_.empty() ? lostNodes(intent.lostNodes_, world) : lostZone(intent.lostZone_, world);
    if (const auto* error = std::get_if<OperatorError>(&lost)) {
        return *error;
    }
    const auto& refs = std::get<0>(lost);
    return std::vector<NodeRef>(refs.begin(), refs.end());
}

auto leavingSet(const std::optional<std::string>& document) -> std::set<NodeId>
{
    if (!document) {
        return {};
    }
    const auto parsed = parseLeavingConfig(*document);
    return isOk(parsed) ? std::set<NodeId>(valueOf(parsed).nodes_.begin(), valueOf(parsed).nodes_.end())
                        : std::set<NodeId>();
}

/// Notes the service of each node that starts or stops leaving, and checks that it exists.
auto assignLeavingServices(Plan& plan, const PlanWorld& world, const std::set<NodeId>& before,
    const std::set<NodeId>& after) -> std::optional<OperatorError>
{
    for (auto& change : plan.changes_) {
        const auto begin = change.field_.find('[') + 1;
        const auto id = change.field_.substr(begin, change.field_.size() - begin - 1);
        const auto* member = world.members_->find(id);
        const bool added = after.contains(id) && !before.contains(id);
        if (!member && added) {
            return failure(operator_code::unknownNode, "node '" + id + "' is no member");
        }
        if (!member) {
            // Nobody can tell any more whose node it was.
            plan.needsAllServices_ = true;
            continue;
        }
        change.service_ = member->service_;
        if (added && member->state_ == MemberState::Dead) {
            plan.warnings_.push_back("node '" + id + "' is dead already");
        }
    }
    return std::nullopt;
}

/// Notes the services whose shards have members on the nodes concerned.
auto assignLostServices(Plan& plan, const PlanWorld& world) -> void
{
    std::set<NodeId> ids(plan.intent_.withdraw_.begin(), plan.intent_.withdraw_.end());
    for (const auto& ref : plan.lost_) {
        ids.insert(ref.id_);
    }
    std::set<std::string> services;
    for (const auto& id : ids) {
        const auto known = services.size();
        if (const auto* member = world.members_->find(id)) {
            services.insert(member->service_);
        }
        bool holdsShard = false;
        for (const auto& shard : world.shards_) {
            const bool holds
                = std::any_of(shard.members_.begin(), shard.members_.end(), [&](const NodeRef& ref) {
                      return ref.id_ == id;
                  });
            if (holds) {
                holdsShard = true;
                services.insert(shard.service_);
            }
        }
        if (services.size() == known && !world.members_->find(id) && !holdsShard) {
            plan.needsAllServices_ = true;
        }
    }
    plan.services_.assign(services.begin(), services.end());
}

auto addEffects(Plan& plan, const PlanBase& base, const PlanWorld& world) -> std::optional<OperatorError>
{
    const auto before = leavingSet(base.document_);
    const auto after = leavingSet(plan.document_);
    const bool leaving = plan.intent_.kind_ == ConfigKind::Leaving;
    const bool lost = plan.intent_.kind_ == ConfigKind::Lost;
    if (leaving) {
        if (auto error = assignLeavingServices(plan, world, before, after)) {
            return error;
        }
    } else if (lost) {
        assignLostServices(plan, world);
    } else {
        plan.needsAllServices_
            = std::any_of(plan.changes_.begin(), plan.changes_.end(), [](const PlanChange& change) {
                  return change.service_.empty();
              });
    }
    addConcerned(plan, world);
    if (leaving) {
        addCapacity(plan, world, before, after);
    } else if (lost) {
        addLostShards(plan, world);
    }
    return std::nullopt;
}

auto serverDifference(const PlanServer& planned, const MemberList& members) -> std::string
{
    const auto name = "backend server of node '" + planned.ref_.id_ + "', which the plan lists, ";
    const auto* member = members.find(planned.ref_.id_);
    if (!member || member->state_ == MemberState::Dead) {
        return planned.state_ == MemberState::Dead ? "" : name + "is gone";
    }
    if (member->ref_ != planned.ref_) {
        return name + "has been replaced by a new process";
    }
    if (member->state_ != planned.state_) {
        return name + "is " + memberStateName(member->state_) + " now";
    }
    if (member->backendUp_ != planned.backendUp_) {
        return name + "is " + (member->backendUp_ ? "up" : "down") + " now";
    }
    return {};
}

} // namespace

auto baseChanged(std::uint64_t plannedGeneration, const DocumentRecord& present) -> OperatorError
{
    OperatorError error = failure(operator_code::baseChanged,
        "the plan was made for generation " + std::to_string(plannedGeneration)
            + " of the document, which is at generation " + std::to_string(present.generation_) + " now");
    error.generation_ = present.generation_;
    error.changedSince_ = present.after(plannedGeneration);
    for (const auto& entry : error.changedSince_) {
        error.detail_ += "; generation " + std::to_string(entry.generation_) + " by team " + entry.team_
            + " at " + formatWallTime(entry.time_) + ": " + entry.summary_;
    }
    if (error.changedSince_.empty()) {
        error.detail_ += "; the document does not tell by whom it was changed";
    }
    return error;
}

auto serviceEmpty(const std::vector<std::string>& services) -> OperatorError
{
    auto error = failure(
        operator_code::serviceEmpty, "no usable backend server would be left of service " + joined(services));
    error.services_ = services;
    return error;
}

auto makePlan(const Intent& intent, const PlanBase& base, const PlanWorld& world, const std::string& id,
    const std::string& team, WallClock::time_point now) -> OperatorResult<Plan>
{
    if (intent.editedGeneration_ && *intent.editedGeneration_ != base.record_.generation_) {
        return baseChanged(*intent.editedGeneration_, base.record_);
    }
    Plan plan;
    plan.id_ = id;
    plan.intent_ = intent;
    plan.baseGeneration_ = base.record_.generation_;
    plan.baseIntent_ = base.record_.intent_;
    plan.team_ = team;
    plan.created_ = now;
    plan.expires_ = now + planLife;
    auto lost = resolveLost(intent, world);
    if (const auto* error = std::get_if<OperatorError>(&lost)) {
        return *error;
    }
    plan.lost_ = std::get<0>(std::move(lost));
    auto document = proposeDocument(intent, base.document_, plan.lost_, now);
    if (!isOk(document)) {
        return failure(operator_code::invalidIntent, errorOf(document).text_);
    }
    plan.document_ = valueOf(std::move(document));
    auto diff = diffDocuments(intent.kind_, base.document_, plan.document_);
    const bool isFirst = !base.document_ || !isOk(checkConfigDocument(intent.kind_, *base.document_));
    if (diff.changes_.empty() && isFirst) {
        diff.changes_.push_back({ configKindName(intent.kind_), {}, plan.document_, {} });
    }
    if (diff.changes_.empty()) {
        return failure(operator_code::noChange, "the intent would change nothing");
    }
    plan.changes_ = std::move(diff.changes_);
    plan.warnings_ = std::move(diff.warnings_);
    if (auto error = addEffects(plan, base, world)) {
        return std::move(*error);
    }
    plan.summary_ = summaryOf(plan);
    plan.changeCount_ = plan.changes_.size();
    plan.changes_.resize(std::min(plan.changes_.size(), maxListedChanges));
    return plan;
}

auto missingPermission(const Plan& plan, const OperatorTeam& team) -> std::optional<OperatorError>
{
    if (plan.needsAllServices_ && !team.allServices_) {
        return failure(operator_code::forbidden,
            "team " + team.name_ + " may change single services only, and this change concerns all services");
    }
    std::vector<std::string> missing;
    std::copy_if(plan.services_.begin(), plan.services_.end(), std::back_inserter(missing),
        [&](const std::string& service) {
            return !team.mayChange(service);
        });
    if (missing.empty()) {
        return std::nullopt;
    }
    return failure(
        operator_code::forbidden, "team " + team.name_ + " may not change service " + joined(missing));
}

auto differencesOf(const Plan& plan, const Plan& now, const MemberList& members) -> std::vector<std::string>
{
    std::vector<std::string> differences;
    for (const auto& server : plan.servers_) {
        if (auto text = serverDifference(server, members); !text.empty()) {
            differences.push_back(std::move(text));
        }
    }
    for (const auto& row : now.capacity_) {
        const auto planned
            = std::find_if(plan.capacity_.begin(), plan.capacity_.end(), [&](const PlanCapacity& other) {
                  return other.service_ == row.service_ && other.zone_ == row.zone_;
              });
        if (planned != plan.capacity_.end() && planned->slotsAfter_ != row.slotsAfter_) {
            differences.push_back("service " + row.service_ + " has " + std::to_string(row.slotsAfter_)
                + " slots left in zone " + row.zone_ + ", the plan said "
                + std::to_string(planned->slotsAfter_));
        }
    }
    for (const auto& warning : now.warnings_) {
        if (std::find(plan.warnings_.begin(), plan.warnings_.end(), warning) == plan.warnings_.end()) {
            differences.push_back("new since the plan: " + warning);
        }
    }
    differences.resize(std::min(differences.size(), maxDifferences));
    return differences;
}

} // namespace wagtailhead
