#include "zone_leases.h"

#include "wagtailhead/ids.h"
#include "wagtailhead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace wagtailhead {

namespace {

/// A node that has just started first learns from its peers who holds the leases.
constexpr Duration startGrace = seconds(1);

auto leaseKey(const StoreAgentOptions& options, std::size_t number) -> std::string
{
    return "leases/" + options.zone_ + "/" + std::to_string(number);
}

auto holderKey(const StoreAgentOptions& options, std::size_t number) -> std::string
{
    return "agents/" + options.zone_ + "/" + std::to_string(number);
}

} // namespace

ZoneLeases::ZoneLeases(const StoreAgentOptions& options, const MemberTable& members, ItemTable& items)
    : options_(options)
    , members_(members)
    , items_(items)
    , random_(options.seed_)
    , wasHeld_(static_cast<std::size_t>(options.leases_), false)
{
    for (std::size_t i = 0; i < wasHeld_.size(); ++i) {
        auto leaseOptions = options.lease_;
        leaseOptions.key_ = leaseKey(options, i);
        leaseOptions.holder_ = options.self_;
        leases_.emplace_back(std::move(leaseOptions), random_());
    }
}

auto ZoneLeases::tick(TimePoint now) -> std::vector<Call>
{
    startedAt_ = startedAt_.value_or(now);
    chooseTarget(now);
    std::vector<Call> calls;
    for (std::size_t i = 0; i < leases_.size(); ++i) {
        if (auto command = leases_[i].tick(now)) {
            calls.push_back({ i, std::move(*command) });
        }
    }
    announce(now);
    return calls;
}

auto ZoneLeases::onAnswer(TimePoint now, std::size_t lease, const StoreAnswer& answer) -> void
{
    leases_[lease].onAnswer(now, answer);
    // A late answer can bring a second lease; one node keeps one.
    if (const auto first = held(now)) {
        for (std::size_t i = *first + 1; i < leases_.size(); ++i) {
            if (leases_[i].isHeld(now)) {
                leases_[i].release(now);
            }
        }
    }
    announce(now);
}

auto ZoneLeases::release(TimePoint now) -> void
{
    released_ = true;
    for (auto& lease : leases_) {
        lease.release(now);
    }
}

auto ZoneLeases::isIdle() const -> bool
{
    return std::all_of(leases_.begin(), leases_.end(), [](const Lease& lease) {
        return lease.isIdle();
    });
}

auto ZoneLeases::held(TimePoint now) const -> std::optional<std::size_t>
{
    for (std::size_t i = 0; i < leases_.size(); ++i) {
        if (leases_[i].isHeld(now)) {
            return i;
        }
    }
    return std::nullopt;
}

auto ZoneLeases::hasLowerHolder(std::size_t number) const -> bool
{
    const auto list = members_.snapshot();
    for (std::size_t i = 0; i < number; ++i) {
        if (isTaken(i, *list)) {
            return true;
        }
    }
    return false;
}

auto ZoneLeases::holderOf(std::size_t number) const -> Holder
{
    const auto item = items_.find(holderKey(options_, number));
    const auto json = nlohmann::json::parse(item ? item->value_ : "", nullptr, false);
    if (!json.is_object()) {
        return {};
    }
    try {
        return { { json.at("holder").get<std::string>(), json.at("incarnation").get<Incarnation>() },
            json.at("held").get<bool>() };
    } catch (const nlohmann::json::exception&) {
        return {};
    }
}

auto ZoneLeases::isTaken(std::size_t number, const MemberList& list) const -> bool
{
    const auto holder = holderOf(number);
    return holder.held_ && holder.ref_ != options_.self_ && list.isPresent(holder.ref_);
}

auto ZoneLeases::rank(std::size_t number, const MemberList& list) const -> std::size_t
{
    const auto key = leaseKey(options_, number);
    const auto score = [&key](const NodeId& id) {
        return std::pair(stableHash(key + "|" + id), id);
    };
    std::vector<NodeRef> others;
    for (std::size_t i = 0; i < leases_.size(); ++i) {
        if (const auto holder = holderOf(i); i != number && holder.held_) {
            others.push_back(holder.ref_);
        }
    }
    const auto own = score(options_.self_.id_);
    std::size_t lower = 0;
    for (const auto& [id, member] : list.members_) {
        const bool eligible = member.zone_ == options_.zone_ && member.state_ == MemberState::Alive
            && std::find(others.begin(), others.end(), member.ref_) == others.end();
        if (eligible && id != options_.self_.id_ && score(id) < own) {
            ++lower;
        }
    }
    return lower;
}

auto ZoneLeases::isLeaving(const MemberList& list) const -> bool
{
    const auto* self = list.find(options_.self_.id_);
    return self && (self->state_ == MemberState::Leaving || self->ref_ != options_.self_);
}

auto ZoneLeases::target(TimePoint now, const MemberList& list) const
    -> std::optional<std::pair<std::size_t, std::size_t>>
{
    if (released_ || now < *startedAt_ + startGrace || held(now) || isLeaving(list)) {
        return std::nullopt;
    }
    std::optional<std::pair<std::size_t, std::size_t>> best;
    for (std::size_t i = 0; i < leases_.size(); ++i) {
        if (isTaken(i, list)) {
            continue;
        }
        const auto own = rank(i, list);
        if (own < static_cast<std::size_t>(options_.candidates_) && (!best || own < best->second)) {
            best = { i, own };
        }
    }
    return best;
}

auto ZoneLeases::chooseTarget(TimePoint now) -> void
{
    const auto list = members_.snapshot();
    const auto chosen = target(now, *list);
    for (std::size_t i = 0; i < leases_.size(); ++i) {
        const bool candidate = chosen && chosen->first == i;
        Duration delay {};
        if (candidate) {
            const auto jitter
                = std::uniform_int_distribution<Duration::rep>(0, options_.rankDelay_.count())(random_);
            delay = options_.rankDelay_ * static_cast<int>(chosen->second) + Duration(jitter);
        }
        leases_[i].setCandidate(now, candidate, delay);
        if (leases_[i].isHeld(now) && isLeaving(*list)) {
            leases_[i].release(now);
        }
    }
}

/// Keeps the gossiped items in line with what this node holds.
auto ZoneLeases::announce(TimePoint now) -> void
{
    for (std::size_t i = 0; i < leases_.size(); ++i) {
        const bool heldNow = leases_[i].isHeld(now);
        if (heldNow != wasHeld_[i]) {
            wasHeld_[i] = heldNow;
            ++(heldNow ? acquired_ : lost_);
            logEvent(LogLevel::Info, heldNow ? "lease-acquired" : "lease-lost",
                { { "lease", leaseKey(options_, i) }, { "version", leases_[i].fencingVersion() } });
        }
        const auto holder = holderOf(i);
        const bool namesSelf = holder.held_ && holder.ref_ == options_.self_;
        if (heldNow != namesSelf) {
            publish(i, heldNow);
        }
    }
}

auto ZoneLeases::publish(std::size_t number, bool held) -> void
{
    const auto key = holderKey(options_, number);
    const auto known = items_.find(key);
    const auto least = (known ? known->generation_ : 0) + 1;
    // A new holder and one that steps down may publish on the same generation. Even numbers for the one
    // and odd ones for the other keep them apart, and the version of the lease puts the newer first.
    auto generation = std::max(least, held ? 2 * leases_[number].fencingVersion() : 0);
    generation += (generation % 2 == 0) == held ? 0 : 1;
    const nlohmann::json value { { "holder", options_.self_.id_ },
        { "incarnation", options_.self_.incarnation_ }, { "held", held } };
    items_.apply({ key, generation, value.dump() });
}

} // namespace wagtailhead
