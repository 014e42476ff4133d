#include "plan_effect.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Calls in flight above this share of the remaining slots leave little room for peaks.
constexpr int highUsePercent = 80;

auto isUsable(const Member& member, const std::set<NodeId>& leaving) -> bool
{
    return member.state_ == MemberState::Alive && member.backendUp_ && !leaving.contains(member.ref_.id_);
}

auto serverOf(const Member& member) -> PlanServer
{
    return { member.ref_, member.service_, member.zone_, member.state_, member.backendUp_, member.slots_ };
}

/// Returns whether the change concerns this member itself, or all members of its service.
auto isConcerned(const Plan& plan, const Member& member, const std::set<std::string>& services) -> bool
{
    const auto names = [&](const std::vector<NodeId>& ids) {
        return std::find(ids.begin(), ids.end(), member.ref_.id_) != ids.end();
    };
    const auto kind = plan.intent_.kind_;
    if (kind == ConfigKind::Lost) {
        return names(plan.intent_.withdraw_)
            || std::find(plan.lost_.begin(), plan.lost_.end(), member.ref_) != plan.lost_.end();
    }
    if (kind == ConfigKind::Leaving) {
        return std::any_of(plan.changes_.begin(), plan.changes_.end(), [&](const PlanChange& change) {
            return change.field_ == "leaving.nodes[" + member.ref_.id_ + "]";
        });
    }
    return member.state_ != MemberState::Dead && services.contains(member.service_);
}

struct RegionSlots {
    int before_ = 0;
    int after_ = 0;
};

auto text(int number) -> std::string
{
    return std::to_string(number);
}

auto warnAboutZone(Plan& plan, const PlanWorld& world, const PlanCapacity& row) -> void
{
    plan.warnings_.push_back("service " + row.service_ + " has no usable backend server in zone " + row.zone_
        + " any more; its calls from there go to other zones");
    const auto& once = world.onceServices_;
    if (std::find(once.begin(), once.end(), row.service_) != once.end()) {
        plan.warnings_.push_back("requests of service " + row.service_ + " with keys of the form " + row.zone_
            + ":<rest> cannot run until the zone has a backend server again");
    }
}

/// Compares the calls in flight with the remaining slots, if the load of all zones is known.
auto warnAboutLoad(Plan& plan, const std::string& service) -> void
{
    int slots = 0;
    int calls = 0;
    for (const auto& row : plan.capacity_) {
        if (row.service_ != service) {
            continue;
        }
        if (!row.load_ && row.slotsBefore_ > 0) {
            plan.warnings_.push_back("the load of service " + service + " in zone " + row.zone_
                + " is not known, because no node there answered");
            return;
        }
        slots += row.slotsAfter_;
        calls += row.load_ ? row.load_->inFlight_ + row.load_->queued_ : 0;
    }
    if (slots > 0 && std::int64_t { calls } * 100 > std::int64_t { slots } * highUsePercent) {
        plan.warnings_.push_back("service " + service + " has " + text(calls)
            + " calls in flight or queued now and would have " + text(slots) + " slots left");
    }
}

auto addRegions(Plan& plan, const PlanWorld& world, const std::set<NodeId>& leavingBefore,
    const std::set<NodeId>& leavingAfter, const std::string& service) -> void
{
    std::map<std::string, RegionSlots> regions;
    const auto found = world.members_->byService_.find(service);
    if (found == world.members_->byService_.end()) {
        return;
    }
    for (const auto* member : found->second) {
        auto& region = regions[member->region_];
        region.before_ += isUsable(*member, leavingBefore) ? member->slots_ : 0;
        region.after_ += isUsable(*member, leavingAfter) ? member->slots_ : 0;
    }
    for (const auto& [name, region] : regions) {
        if (region.before_ > 0 && region.after_ == 0) {
            std::string warning = "service " + service + " has no usable backend server in region ";
            warning.append(name).append(" any more; its calls from there cross the link between regions");
            plan.warnings_.push_back(std::move(warning));
        }
    }
}

auto summarizeService(Plan& plan, const std::string& service) -> void
{
    PlanCapacity sum;
    for (const auto& row : plan.capacity_) {
        if (row.service_ == service) {
            sum.serversBefore_ += row.serversBefore_;
            sum.serversAfter_ += row.serversAfter_;
            sum.slotsBefore_ += row.slotsBefore_;
            sum.slotsAfter_ += row.slotsAfter_;
        }
    }
    plan.effects_.push_back("service " + service + ": " + text(sum.slotsAfter_) + " of "
        + text(sum.slotsBefore_) + " slots remain, on " + text(sum.serversAfter_) + " of "
        + text(sum.serversBefore_) + " backend servers");
    if (sum.serversBefore_ > 0 && sum.serversAfter_ == 0) {
        plan.emptied_.push_back(service);
    }
}

} // namespace

auto addConcerned(Plan& plan, const PlanWorld& world) -> void
{
    std::set<std::string> services(plan.services_.begin(), plan.services_.end());
    for (const auto& change : plan.changes_) {
        if (!change.service_.empty()) {
            services.insert(change.service_);
        }
    }
    const auto kind = plan.intent_.kind_;
    const bool namesNodes = kind == ConfigKind::Leaving || kind == ConfigKind::Lost;
    if (plan.needsAllServices_ && !namesNodes) {
        for (const auto& [service, members] : world.members_->byService_) {
            services.insert(service);
        }
    }
    std::set<std::string> zones;
    for (const auto& [id, member] : world.members_->members_) {
        if (!isConcerned(plan, member, services)) {
            continue;
        }
        ++plan.serverCount_;
        zones.insert(member.zone_);
        if (plan.servers_.size() < maxListedServers) {
            plan.servers_.push_back(serverOf(member));
        }
    }
    plan.services_.assign(services.begin(), services.end());
    plan.zones_.assign(zones.begin(), zones.end());
}

auto addCapacity(Plan& plan, const PlanWorld& world, const std::set<NodeId>& leavingBefore,
    const std::set<NodeId>& leavingAfter) -> void
{
    std::map<ServiceZone, PlanCapacity> rows;
    for (const auto& service : plan.services_) {
        const auto found = world.members_->byService_.find(service);
        if (found == world.members_->byService_.end()) {
            continue;
        }
        for (const auto* member : found->second) {
            auto& row = rows[{ service, member->zone_ }];
            const bool before = isUsable(*member, leavingBefore);
            const bool after = isUsable(*member, leavingAfter);
            row.serversBefore_ += static_cast<int>(before);
            row.serversAfter_ += static_cast<int>(after);
            row.slotsBefore_ += before ? member->slots_ : 0;
            row.slotsAfter_ += after ? member->slots_ : 0;
        }
    }
    for (auto& [key, row] : rows) {
        row.service_ = key.first;
        row.zone_ = key.second;
        if (const auto load = world.loads_.find(key); load != world.loads_.end()) {
            row.load_ = load->second;
        }
        plan.capacity_.push_back(row);
    }
    for (const auto& service : plan.services_) {
        summarizeService(plan, service);
        const bool emptied
            = std::find(plan.emptied_.begin(), plan.emptied_.end(), service) != plan.emptied_.end();
        if (emptied) {
            plan.warnings_.push_back("service " + service + " would have no usable backend server left");
            continue;
        }
        addRegions(plan, world, leavingBefore, leavingAfter, service);
        warnAboutLoad(plan, service);
    }
    for (const auto& row : plan.capacity_) {
        if (row.serversBefore_ > 0 && row.serversAfter_ == 0) {
            warnAboutZone(plan, world, row);
        }
    }
}

auto addLostShards(Plan& plan, const PlanWorld& world) -> void
{
    const std::set<NodeRef> lost(plan.lost_.begin(), plan.lost_.end());
    struct Counts {
        int affected_ = 0;
        int recovered_ = 0;
    };
    std::map<std::string, Counts> services;
    for (const auto& shard : world.shards_) {
        bool affected = false;
        bool allGone = true;
        for (const auto& ref : shard.members_) {
            affected = affected || lost.contains(ref);
            allGone = allGone && (lost.contains(ref) || !world.members_->isPresent(ref));
        }
        if (affected) {
            ++services[shard.service_].affected_;
            services[shard.service_].recovered_ += static_cast<int>(allGone);
        }
    }
    for (const auto& [service, counts] : services) {
        plan.effects_.push_back("service " + service + ": " + text(counts.affected_)
            + " shards had their owner or a witness on these nodes; " + text(counts.recovered_)
            + " of them have no member left and get a new owner, which runs only keys whose issue time "
              "(UUIDv7) is later than the confirmation");
    }
    if (!plan.lost_.empty()) {
        plan.warnings_.push_back("confirm only if these processes have ended for good: one that is merely "
                                 "cut off may still run orders, and they could run twice");
    }
}

} // namespace wagtailhead
