/// Helpers of the tests of intents, plans and confirms: a small mesh and a store in memory.
#pragma once

#include "wagtailhead/config_store.h"
#include "wagtailhead/confirm.h"
#include "wagtailhead/plan.h"

#include <map>
#include <random>
#include <string>

namespace wagtailhead::testing {

inline const auto noon = WallClock::time_point(std::chrono::hours(24 * 365 * 50));

inline auto memberOf(const NodeId& id, const std::string& service, const std::string& zone) -> Member
{
    Member member;
    member.ref_ = { id, 1000 };
    member.service_ = service;
    member.zone_ = zone;
    member.region_ = zone.substr(0, zone.find('-'));
    member.backendUp_ = true;
    member.slots_ = 10;
    return member;
}

/// Services katalogs (k1, k2 in riga-a, k3 in riga-b) and krajums (s1 in riga-a).
inline auto smallMesh() -> std::map<NodeId, Member>
{
    std::map<NodeId, Member> members;
    for (const auto& member : { memberOf("k1", "katalogs", "riga-a"), memberOf("k2", "katalogs", "riga-a"),
             memberOf("k3", "katalogs", "riga-b"), memberOf("s1", "krajums", "riga-a") }) {
        members[member.ref_.id_] = member;
    }
    return members;
}

inline auto worldOf(std::map<NodeId, Member> members) -> PlanWorld
{
    MemberTable table;
    return { table.replace(std::move(members)), { "krajums" }, {}, {} };
}

inline auto baseOf(const std::string& document) -> PlanBase
{
    return planBase(document, std::nullopt);
}

inline auto teamOf(const std::string& services, const std::string& name = "ops") -> OperatorTeam
{
    return valueOf(parseOperatorTeams(name + "=token-of-" + name + ":" + services)).teams_[0];
}

/// A store in memory with the faults of the real one.
class MemoryStore {
public:
    auto read(const std::string& key) const -> ConfigReadResult
    {
        if (down_) {
            return ConfigStoreUnavailable {};
        }
        const auto found = objects_.find(key);
        return found == objects_.end() ? std::optional<StoredValue>() : std::optional(found->second);
    }

    auto write(const ConfirmWrite& request) -> ConfigWriteResult
    {
        if (down_) {
            return ConfigStoreUnavailable {};
        }
        const auto found = objects_.find(request.key_);
        const auto present = found == objects_.end() ? std::nullopt : std::optional(found->second);
        if ((present ? std::optional(present->version_) : std::nullopt) != request.version_) {
            return ConfigWriteConflict { present };
        }
        objects_[request.key_] = { ++version_, request.value_ };
        if (loseAnswers_ > 0) {
            --loseAnswers_;
            return ConfigStoreUnanswered {};
        }
        return version_;
    }

    auto put(const std::string& key, const std::string& value) -> void
    {
        objects_[key] = { ++version_, value };
    }

    auto list(const std::string& prefix) const -> std::vector<ConfigListEntry>
    {
        std::vector<ConfigListEntry> entries;
        for (const auto& [key, value] : objects_) {
            if (key.starts_with(prefix)) {
                entries.push_back({ key, value });
            }
        }
        return entries;
    }

    auto value(const std::string& key) const -> std::string
    {
        const auto found = objects_.find(key);
        return found == objects_.end() ? "" : found->second.value_;
    }

    int loseAnswers_ = 0;
    bool down_ = false;

private:
    std::uint64_t version_ = 0;
    std::map<std::string, StoredValue> objects_;
};

/// Makes the call that a step asks for. Precondition: the step is a ConfirmRead or ConfirmWrite.
inline auto advance(ConfirmProcess& process, const ConfirmStep& step, MemoryStore& store,
    const ConfirmSurroundings& surroundings) -> ConfirmStep
{
    if (const auto* read = std::get_if<ConfirmRead>(&step)) {
        return process.onRead(store.read(read->key_), surroundings);
    }
    return process.onWrite(store.write(std::get<ConfirmWrite>(step)));
}

inline auto isOpen(const ConfirmStep& step) -> bool
{
    return std::holds_alternative<ConfirmRead>(step) || std::holds_alternative<ConfirmWrite>(step);
}

inline auto runConfirm(ConfirmProcess process, MemoryStore& store, const ConfirmSurroundings& surroundings)
    -> ConfirmStep
{
    auto step = process.start();
    while (isOpen(step)) {
        step = advance(process, step, store, surroundings);
    }
    return step;
}

/// Plans an intent on the stored document and keeps the plan in the store. Returns its id.
inline auto keepPlan(MemoryStore& store, const std::string& json, const std::string& id,
    const PlanWorld& world, WallClock::time_point now = noon) -> std::string
{
    const auto intent = valueOf(parseIntent(json));
    const auto key = configKey(intent.kind_);
    const auto text = store.value(key);
    const auto base = planBase(text.empty() ? std::nullopt : std::optional(text), std::nullopt);
    const auto plan = makePlan(intent, base, world, id, "author", now);
    store.put(intentKey(id), formatPlan({ std::get<Plan>(plan), 0, {} }));
    return id;
}

inline auto codeOf(const ConfirmStep& step) -> std::string
{
    const auto* error = std::get_if<OperatorError>(&step);
    return error ? error->code_ : "done";
}

} // namespace wagtailhead::testing
