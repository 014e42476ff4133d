#include "intent_service.h"

#include "mesh_status.h"
#include "wagtailhead/log.h"
#include "wagtailhead/metrics.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Old plans are looked for once in so many new ones, because it reads all of them.
constexpr std::uint64_t cleaningInterval = 32;
/// Plans that are removed from the store at once.
constexpr std::size_t maxRemovals = 100;
constexpr auto intentPrefix = "intents/";

auto storeUnavailable() -> OperatorError
{
    return { operator_code::storeUnavailable, "the store does not answer; nothing has been changed" };
}

auto countIntent(const char* event) -> void
{
    counter("wagtailhead_intents_total", "Intents of operators by event.", { { "event", event } })
        .Increment();
}

auto reportRefusal(const std::string& team, const std::string& intent, const OperatorError& error) -> void
{
    countIntent("refused");
    logEvent(LogLevel::Info, "intent_refused",
        { { "team", team }, { "intent", intent }, { "error", error.code_ }, { "detail", error.detail_ } });
}

} // namespace

struct IntentService::Creation {
    OperatorTeam team_;
    Intent intent_;
    Callback<IntentState> callback_;
    std::map<ServiceZone, ServiceLoad> loads_;

    auto refuse(const OperatorError& error) const -> void
    {
        reportRefusal(team_.name_, "", error);
        callback_(error);
    }
};

struct IntentService::Confirmation {
    ConfirmProcess process_;
    std::string team_;
    std::string id_;
    Callback<ConfirmDone> callback_;
};

IntentService::IntentService(IntentServiceParts parts, std::uint64_t seed)
    : parts_(std::move(parts))
    , random_(seed)
{
}

auto IntentService::newId() -> std::string
{
    const std::lock_guard lock(mutex_);
    return formatId(random_());
}

auto IntentService::document(ConfigKind kind) const -> std::optional<std::string>
{
    const auto item = parts_.items_.find(configKey(kind));
    return item ? std::optional(item->value_) : std::nullopt;
}

auto IntentService::worldNow() const -> PlanWorld
{
    PlanWorld world;
    world.members_ = parts_.members_.snapshot();
    if (const auto config = parts_.config_.current(); config->classes_) {
        world.onceServices_ = config->classes_->onceServices();
    }
    world.shards_ = parts_.shards_();
    return world;
}

auto IntentService::create(const OperatorTeam& team, const Intent& intent, Callback<IntentState> callback)
    -> void
{
    auto creation = std::make_shared<Creation>(Creation { team, intent, std::move(callback), {} });
    const auto read = [this, creation] {
        parts_.store_.read(
            configKey(creation->intent_.kind_), [this, creation](const ConfigReadResult& result) {
                if (const auto* stored = std::get_if<0>(&result)) {
                    planCreation(creation, *stored);
                } else {
                    creation->refuse(storeUnavailable());
                }
            });
    };
    if (intent.kind_ != ConfigKind::Leaving) {
        read();
        return;
    }
    // Only plans that take capacity away compare it with the load.
    parts_.collect_([creation, read](const MeshReport& report) {
        creation->loads_ = loadsOf(report, Clock::now());
        read();
    });
}

auto IntentService::planCreation(
    const std::shared_ptr<Creation>& creation, const std::optional<StoredValue>& stored) -> void
{
    const auto base
        = planBase(stored ? std::optional(stored->value_) : std::nullopt, document(creation->intent_.kind_));
    auto world = worldNow();
    world.loads_ = creation->loads_;
    auto planned = makePlan(creation->intent_, base, world, newId(), creation->team_.name_, WallClock::now());
    if (const auto* error = std::get_if<OperatorError>(&planned)) {
        creation->refuse(*error);
        return;
    }
    auto& plan = std::get<Plan>(planned);
    if (const auto error = missingPermission(plan, creation->team_)) {
        creation->refuse(*error);
        return;
    }
    keep(creation, { std::move(plan), 0, {} });
}

auto IntentService::keep(const std::shared_ptr<Creation>& creation, StoredPlan plan) -> void
{
    const auto text = formatPlan(plan);
    if (text.size() > maxDocumentBytes || plan.plan_.document_.size() > maxDocumentBytes) {
        creation->refuse({ operator_code::tooLarge,
            "the plan has " + std::to_string(text.size()) + " bytes, the store takes "
                + std::to_string(maxDocumentBytes) });
        return;
    }
    const auto key = intentKey(plan.plan_.id_);
    parts_.store_.write(
        key, text, std::nullopt, [this, creation, plan = std::move(plan)](const ConfigWriteResult& result) {
            onKept(creation, plan, result);
        });
}

auto IntentService::onKept(const std::shared_ptr<Creation>& creation, const StoredPlan& plan,
    const ConfigWriteResult& result) -> void
{
    const auto succeed = [this, creation, plan] {
        countIntent("planned");
        logEvent(LogLevel::Info, "intent_planned",
            { { "intent", plan.plan_.id_ }, { "team", plan.plan_.team_ },
                { "kind", configKindName(plan.plan_.intent_.kind_) }, { "summary", plan.plan_.summary_ } });
        creation->callback_(stateOf(plan));
    };
    if (std::holds_alternative<std::uint64_t>(result)) {
        succeed();
        if (stableHash(plan.plan_.id_) % cleaningInterval == 0) {
            list([](const OperatorResult<std::vector<IntentState>>&) {});
        }
        return;
    }
    if (std::holds_alternative<ConfigStoreUnavailable>(result)) {
        creation->refuse(storeUnavailable());
        return;
    }
    // The answer was lost. A plan takes no effect, so all that matters is whether it can be confirmed.
    parts_.store_.read(intentKey(plan.plan_.id_), [creation, succeed](const ConfigReadResult& read) {
        const auto* stored = std::get_if<0>(&read);
        if (stored && *stored) {
            succeed();
        } else {
            creation->refuse(storeUnavailable());
        }
    });
}

auto IntentService::stateOf(StoredPlan stored) const -> IntentState
{
    const auto& plan = stored.plan_;
    const auto kind = plan.intent_.kind_;
    const auto record = planBase(document(kind), std::nullopt).record_;
    const auto* entry = record.find(plan.id_);
    if (entry && stored.confirmedGeneration_ == 0) {
        stored.confirmedGeneration_ = entry->generation_;
        stored.confirmedBy_ = entry->team_;
    }
    std::string state = "open";
    if (stored.confirmedGeneration_ != 0) {
        state = "confirmed";
    } else if (record.generation_ > plan.baseGeneration_) {
        state = "outdated";
    } else if (WallClock::now() >= plan.expires_) {
        state = "expired";
    }
    return { std::move(stored), state };
}

auto IntentService::show(const std::string& id, Callback<IntentState> callback) -> void
{
    parts_.store_.read(
        intentKey(id), [this, id, callback = std::move(callback)](const ConfigReadResult& result) {
            const auto* stored = std::get_if<0>(&result);
            if (!stored) {
                callback(storeUnavailable());
                return;
            }
            if (!*stored) {
                callback(OperatorError { operator_code::notFound, "no intent '" + id + "' is kept" });
                return;
            }
            auto plan = parsePlan((*stored)->value_);
            if (!isOk(plan)) {
                callback(OperatorError { operator_code::planUnreadable, errorOf(plan).text_ });
                return;
            }
            callback(stateOf(valueOf(std::move(plan))));
        });
}

auto IntentService::list(Callback<std::vector<IntentState>> callback) -> void
{
    parts_.store_.list(intentPrefix, [this, callback = std::move(callback)](const ConfigListResult& result) {
        const auto* entries = std::get_if<0>(&result);
        if (!entries) {
            callback(storeUnavailable());
            return;
        }
        removeExpired(*entries);
        std::vector<IntentState> states;
        for (const auto& entry : *entries) {
            auto plan = parsePlan(entry.value_.value_);
            if (isOk(plan) && valueOf(plan).plan_.expires_ > WallClock::now()) {
                states.push_back(stateOf(valueOf(std::move(plan))));
            }
        }
        std::stable_sort(states.begin(), states.end(), [](const IntentState& left, const IntentState& right) {
            return left.plan_.plan_.created_ > right.plan_.plan_.created_;
        });
        callback(std::move(states));
    });
}

auto IntentService::removeExpired(const std::vector<ConfigListEntry>& entries) -> void
{
    std::size_t removed = 0;
    for (const auto& entry : entries) {
        const auto plan = parsePlan(entry.value_.value_);
        const bool old = isOk(plan) && valueOf(plan).plan_.expires_ <= WallClock::now();
        if (old && removed++ < maxRemovals) {
            parts_.store_.remove(entry.key_, entry.value_.version_);
        }
    }
}

auto IntentService::confirm(
    const OperatorTeam& team, const std::string& id, bool force, Callback<ConfirmDone> callback) -> void
{
    auto confirmation = std::make_shared<Confirmation>(
        Confirmation { ConfirmProcess(id, team, force), team.name_, id, std::move(callback) });
    advance(confirmation, confirmation->process_.start());
}

auto IntentService::advance(const std::shared_ptr<Confirmation>& confirmation, const ConfirmStep& step)
    -> void
{
    auto& process = confirmation->process_;
    if (const auto* read = std::get_if<ConfirmRead>(&step)) {
        parts_.store_.read(read->key_, [this, confirmation, &process](const ConfigReadResult& result) {
            advance(confirmation,
                process.onRead(result, { worldNow(), document(process.kind()), WallClock::now() }));
        });
    } else if (const auto* write = std::get_if<ConfirmWrite>(&step)) {
        parts_.store_.write(write->key_, write->value_, write->version_,
            [this, confirmation, &process](const ConfigWriteResult& result) {
                advance(confirmation, process.onWrite(result));
            });
    } else if (const auto* error = std::get_if<OperatorError>(&step)) {
        reportRefusal(confirmation->team_, confirmation->id_, *error);
        confirmation->callback_(*error);
    } else {
        finish(confirmation, std::get<ConfirmDone>(step));
    }
}

auto IntentService::finish(const std::shared_ptr<Confirmation>& confirmation, const ConfirmDone& done) -> void
{
    parts_.items_.apply({ configKey(done.kind_), done.documentGeneration_, done.document_ });
    if (done.mark_) {
        parts_.store_.write(
            done.mark_->key_, done.mark_->value_, done.mark_->version_, [](const ConfigWriteResult&) {});
    }
    countIntent(done.repeated_ ? "repeated" : "confirmed");
    logEvent(LogLevel::Info, "intent_confirmed",
        { { "intent", confirmation->id_ }, { "team", confirmation->team_ },
            { "kind", configKindName(done.kind_) }, { "generation", done.generation_ },
            { "repeated", static_cast<int>(done.repeated_) } });
    confirmation->callback_(done);
}

} // namespace wagtailhead
