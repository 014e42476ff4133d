/// Intents and plans of operators with their I/O: the store, the members and the figures of the mesh.
/// Internal to the library.
#pragma once

#include "status_collector.h"
#include "wagtailhead/active_config.h"
#include "wagtailhead/confirm.h"
#include "wagtailhead/operator_teams.h"

#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace wagtailhead {

struct IntentServiceParts {
    ConfigStore& store_;
    /// Takes in confirmed documents, from where they spread to all nodes.
    ItemTable& items_;
    const ConfigView& config_;
    const MemberTable& members_;
    /// Returns who holds the shards.
    std::function<std::vector<ShardHolders>()> shards_;
    /// Gives the figures of the mesh.
    std::function<void(StatusCollector::MeshCallback)> collect_;
};

/// A plan with what became of it.
struct IntentState {
    StoredPlan plan_;
    std::string state_; ///< "open", "confirmed", "outdated" (the base has changed) or "expired".
};

/// Thread safe. Callbacks run once, in a thread of the node's context.
class IntentService {
public:
    template <typename T> using Callback = std::function<void(OperatorResult<T>)>;

    IntentService(IntentServiceParts parts, std::uint64_t seed);

    /// Computes the plan of an intent and keeps it in the store.
    auto create(const OperatorTeam& team, const Intent& intent, Callback<IntentState> callback) -> void;

    auto show(const std::string& id, Callback<IntentState> callback) -> void;

    /// Lists the plans of the last day, newest first, and removes older ones from the store.
    auto list(Callback<std::vector<IntentState>> callback) -> void;

    auto confirm(const OperatorTeam& team, const std::string& id, bool force, Callback<ConfirmDone> callback)
        -> void;

    /// Returns the document of a kind that this node has, or nothing.
    auto document(ConfigKind kind) const -> std::optional<std::string>;

private:
    struct Creation;
    struct Confirmation;

    auto planCreation(const std::shared_ptr<Creation>& creation, const std::optional<StoredValue>& stored)
        -> void;
    auto keep(const std::shared_ptr<Creation>& creation, StoredPlan plan) -> void;
    auto onKept(const std::shared_ptr<Creation>& creation, const StoredPlan& plan,
        const ConfigWriteResult& result) -> void;
    auto advance(const std::shared_ptr<Confirmation>& confirmation, const ConfirmStep& step) -> void;
    auto finish(const std::shared_ptr<Confirmation>& confirmation, const ConfirmDone& done) -> void;
    auto stateOf(StoredPlan plan) const -> IntentState;
    auto worldNow() const -> PlanWorld;
    auto newId() -> std::string;
    auto removeExpired(const std::vector<ConfigListEntry>& entries) -> void;

    const IntentServiceParts parts_;
    std::mutex mutex_; // Guards the field below.
    std::mt19937_64 random_;
};

} // namespace wagtailhead
