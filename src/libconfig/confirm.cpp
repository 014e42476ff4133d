#include "wagtailhead/confirm.h"

namespace wagtailhead {

namespace {

auto storeUnavailable() -> OperatorError
{
    return { operator_code::storeUnavailable, "the store does not answer; nothing has been changed" };
}

auto notFound(const std::string& id) -> OperatorError
{
    return { operator_code::notFound, "no intent '" + id + "' is kept; plans are kept for a day" };
}

} // namespace

auto intentKey(const std::string& id) -> std::string
{
    return "intents/" + id;
}

auto planBase(const std::optional<std::string>& stored, const std::optional<std::string>& inForce) -> PlanBase
{
    PlanBase base;
    for (const auto* document : { &stored, &inForce }) {
        if (!*document) {
            continue;
        }
        auto record = parseDocumentRecord(**document);
        if (isOk(record) && valueOf(record).generation_ > base.record_.generation_) {
            base = { **document, valueOf(std::move(record)) };
        }
    }
    return base;
}

ConfirmProcess::ConfirmProcess(std::string id, OperatorTeam team, bool force)
    : id_(std::move(id))
    , team_(std::move(team))
    , force_(force)
{
}

auto ConfirmProcess::start() -> ConfirmStep
{
    return ConfirmRead { intentKey(id_) };
}

auto ConfirmProcess::kind() const -> ConfigKind
{
    return plan_.plan_.intent_.kind_;
}

auto ConfirmProcess::readDocument() const -> ConfirmStep
{
    return ConfirmRead { configKey(kind()) };
}

auto ConfirmProcess::unknownOutcome() const -> ConfirmStep
{
    return OperatorError { operator_code::outcomeUnknown,
        "the store did not answer; the change may or may not take effect; confirm intent '" + id_
            + "' again to learn which" };
}

auto ConfirmProcess::onRead(const ConfigReadResult& result, const ConfirmSurroundings& surroundings)
    -> ConfirmStep
{
    if (!planRead_) {
        return onPlan(result);
    }
    if (const auto* stored = std::get_if<0>(&result)) {
        return write_ ? resolve(*stored) : onDocument(*stored, surroundings);
    }
    if (!uncertain_) {
        return storeUnavailable();
    }
    return ++attempts_ < maxAttempts ? readDocument() : unknownOutcome();
}

auto ConfirmProcess::onPlan(const ConfigReadResult& result) -> ConfirmStep
{
    const auto* stored = std::get_if<0>(&result);
    if (!stored) {
        return storeUnavailable();
    }
    if (!*stored) {
        return notFound(id_);
    }
    auto plan = parsePlan((*stored)->value_);
    if (!isOk(plan)) {
        return OperatorError { operator_code::planUnreadable, errorOf(plan).text_ };
    }
    plan_ = valueOf(std::move(plan));
    planVersion_ = (*stored)->version_;
    planRead_ = true;
    return readDocument();
}

auto ConfirmProcess::onDocument(
    const std::optional<StoredValue>& stored, const ConfirmSurroundings& surroundings) -> ConfirmStep
{
    const auto& plan = plan_.plan_;
    const auto base = planBase(stored ? std::optional(stored->value_) : std::nullopt, surroundings.inForce_);
    if (auto error = missingPermission(plan, team_)) {
        return *error;
    }
    if (base.record_.find(plan.id_)) {
        return done(*base.document_, true);
    }
    if (plan_.confirmedGeneration_ != 0 && plan_.confirmedGeneration_ <= base.record_.generation_) {
        // More changes followed than the document remembers.
        ConfirmDone repeated { kind(), plan_.confirmedGeneration_, true, {}, *base.document_,
            base.record_.generation_, std::nullopt };
        return repeated;
    }
    if (base.record_.generation_ != plan.baseGeneration_ || base.record_.intent_ != plan.baseIntent_) {
        return baseChanged(plan.baseGeneration_, base.record_);
    }
    if (surroundings.now_ >= plan.expires_) {
        return OperatorError { operator_code::planExpired,
            "the plan is older than a day; state the intent again to get a new one" };
    }
    return decide(base, stored, surroundings);
}

auto ConfirmProcess::decide(const PlanBase& base, const std::optional<StoredValue>& stored,
    const ConfirmSurroundings& surroundings) -> ConfirmStep
{
    const auto& plan = plan_.plan_;
    auto intent = plan.intent_;
    // The base is the planned one; the generation that the operator had edited was checked then.
    intent.editedGeneration_.reset();
    // The load is not measured again; the plan's figures keep its warnings comparable.
    auto world = surroundings.world_;
    for (const auto& row : plan.capacity_) {
        if (row.load_) {
            world.loads_[{ row.service_, row.zone_ }] = *row.load_;
        }
    }
    auto planned = makePlan(intent, base, world, plan.id_, plan.team_, surroundings.now_);
    if (const auto* error = std::get_if<OperatorError>(&planned)) {
        return *error;
    }
    const auto& now = std::get<Plan>(planned);
    if (auto error = missingPermission(now, team_)) {
        return *error;
    }
    if (!now.emptied_.empty() && !force_) {
        return serviceEmpty(now.emptied_);
    }
    if (now.lost_ != plan.lost_) {
        return OperatorError { operator_code::nodeAlive,
            "the nodes that would be declared lost are not those of the plan any more; state the intent "
            "again" };
    }
    notes_ = differencesOf(plan, now, *surroundings.world_.members_);
    const HistoryEntry entry { base.record_.generation_ + 1, plan.id_, team_.name_, surroundings.now_,
        plan.summary_ };
    auto document = nextDocument(now.document_, base.record_, entry);
    if (document.size() > maxDocumentBytes) {
        return OperatorError { operator_code::tooLarge,
            "the document would have " + std::to_string(document.size()) + " bytes, allowed are "
                + std::to_string(maxDocumentBytes) };
    }
    write_ = ConfirmWrite { configKey(kind()), std::move(document),
        stored ? std::optional(stored->version_) : std::nullopt };
    return *write_;
}

auto ConfirmProcess::onWrite(const ConfigWriteResult& result) -> ConfirmStep
{
    ++attempts_;
    if (std::holds_alternative<std::uint64_t>(result)) {
        return done(write_->value_, false);
    }
    const auto* conflict = std::get_if<ConfigWriteConflict>(&result);
    if (conflict && (conflict->current_ || !write_->version_)) {
        return resolve(conflict->current_);
    }
    if (conflict && !uncertain_ && attempts_ < maxAttempts) {
        // The object was removed, or the store did not say what it is; nothing has been written.
        return readDocument();
    }
    if (std::holds_alternative<ConfigStoreUnavailable>(result) && !uncertain_) {
        return storeUnavailable();
    }
    uncertain_ = true;
    return attempts_ < maxAttempts ? readDocument() : unknownOutcome();
}

auto ConfirmProcess::resolve(const std::optional<StoredValue>& stored) -> ConfirmStep
{
    const bool unchanged = (stored ? std::optional(stored->version_) : std::nullopt) == write_->version_;
    if (unchanged) {
        // The write has not taken effect, but may do so later. Making it again is safe, since both name
        // the same version.
        return *write_;
    }
    const auto record = stored ? parseDocumentRecord(stored->value_) : Result<DocumentRecord>(Error {});
    if (isOk(record) && valueOf(record).find(id_)) {
        return done(stored->value_, uncertain_);
    }
    return baseChanged(plan_.plan_.baseGeneration_, isOk(record) ? valueOf(record) : DocumentRecord {});
}

auto ConfirmProcess::done(const std::string& document, bool repeated) -> ConfirmStep
{
    const auto record = valueOf(parseDocumentRecord(document));
    const auto* entry = record.find(id_);
    ConfirmDone done { kind(), entry->generation_, repeated, notes_, document, record.generation_,
        std::nullopt };
    if (plan_.confirmedGeneration_ == 0) {
        auto marked = plan_;
        marked.confirmedGeneration_ = entry->generation_;
        marked.confirmedBy_ = entry->team_;
        done.mark_ = ConfirmWrite { intentKey(id_), formatPlan(marked), planVersion_ };
    }
    return done;
}

} // namespace wagtailhead
