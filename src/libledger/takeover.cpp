#include "wagtailhead/takeover.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

Takeover::Takeover(TakeoverGoal goal, std::uint64_t seed, TakeoverOptions options)
    : goal_(std::move(goal))
    , options_(options)
    , random_(seed)
    , avoid_(goal_.avoid_)
{
}

auto Takeover::result() const -> const std::optional<TakeoverResult>&
{
    return result_;
}

auto Takeover::goal() const -> const TakeoverGoal&
{
    return goal_;
}

auto Takeover::stepName() const -> const char*
{
    static constexpr std::array names { "reading", "sealing", "installing", "writing", "verifying",
        "committing", "ended" };
    return names.at(static_cast<std::size_t>(step_));
}

auto Takeover::start(const TakeoverView&, TimePoint now) -> Actions
{
    // Copies of later takeovers of this process get higher numbers.
    copy_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(now.time_since_epoch()).count());
    readStore();
    return takeActions();
}

auto Takeover::takeActions() -> Actions
{
    return std::exchange(actions_, {});
}

auto Takeover::request(const NodeRef& to, Message message, int tries, bool awaited) -> void
{
    send({ to, std::move(message), tries, awaited });
}

auto Takeover::send(Pending pending) -> void
{
    const auto ticket = nextTicket_++;
    --pending.triesLeft_;
    actions_.emplace_back(
        TakeoverRequest { ticket, pending.to_, pending.message_, options_.requestTimeout_ });
    pending_.emplace(ticket, std::move(pending));
}

auto Takeover::readStore() -> void
{
    storeTicket_ = nextTicket_++;
    actions_.emplace_back(TakeoverRead { storeTicket_ });
}

auto Takeover::write() -> void
{
    step_ = Step::Writing;
    written_.insert(record_);
    storeTicket_ = nextTicket_++;
    actions_.emplace_back(TakeoverWrite { storeTicket_, record_, expectedVersion_ });
}

/// Schedules a retry of the step: exponential backoff with full jitter.
auto Takeover::pause(Step next, TimePoint now) -> void
{
    step_ = next;
    constexpr int maxDoublings = 10;
    const auto maxBackoff = std::min(
        options_.firstBackoff_ * (1 << std::min(failures_, maxDoublings)), options_.longestBackoff_);
    ++failures_;
    resumeAt_ = now + Duration(std::uniform_int_distribution<Duration::rep>(0, maxBackoff.count())(random_));
}

auto Takeover::stop(std::string reason, std::optional<ShardRecord> adopt) -> void
{
    step_ = Step::Ended;
    pending_.clear();
    resumeAt_.reset();
    result_ = TakeoverStopped { std::move(reason), std::move(adopt) };
}

auto Takeover::tick(const TakeoverView& view, TimePoint now) -> Actions
{
    if (step_ == Step::Ended) {
        return {};
    }
    const auto& current = view.known_;
    const auto isWrittenHere = current && written_.contains(*current);
    if (current && !isWrittenHere && current->epoch_ > std::max(goal_.basis_, highestBase())) {
        stop("superseded");
        return takeActions();
    }
    if (!resumeAt_ || now < *resumeAt_) {
        return {};
    }
    resumeAt_.reset();
    if (step_ == Step::Installing) {
        beginInstalling(view, now);
    } else if (step_ == Step::Writing) {
        write();
    } else if (step_ == Step::Committing) {
        beginCommitting(view);
    } else {
        readStore();
    }
    return takeActions();
}

auto Takeover::readRecord(const StoredShard& stored) -> std::optional<ShardRecord>
{
    const auto record = parseShardRecord(stored.value_);
    if (!isOk(record) || valueOf(record).service_ != goal_.service_
        || valueOf(record).shard_ != goal_.shard_) {
        stop("malformed record in the store: "
            + (isOk(record) ? "it is the record of another shard" : errorOf(record).text_));
        return std::nullopt;
    }
    return valueOf(record);
}

auto Takeover::onStoreRead(
    std::uint64_t ticket, const StoreReadResult& result, const TakeoverView& view, TimePoint now) -> Actions
{
    if (ticket != storeTicket_ || (step_ != Step::Reading && step_ != Step::Verifying)) {
        return {};
    }
    storeTicket_ = 0;
    if (std::holds_alternative<StoreFailed>(result)) {
        pause(step_, now);
        return takeActions();
    }
    const auto* stored = std::get_if<StoredShard>(&result);
    if (step_ == Step::Verifying) {
        resolveConflict(stored ? std::optional(*stored) : std::nullopt, view, now);
        return takeActions();
    }
    failures_ = 0;
    std::optional<ShardRecord> record;
    if (stored) {
        record = readRecord(*stored);
        if (!record) {
            return takeActions();
        }
        expectedVersion_ = stored->version_;
    }
    chooseBases(record, view, now);
    return takeActions();
}

/// Uses the record of the highest epoch as the base, even if the store has lost it or the read was stale. The
/// conditional write still expects the version that was read.
auto Takeover::chooseBases(const std::optional<ShardRecord>& stored, const TakeoverView& view, TimePoint now)
    -> void
{
    std::vector<ShardRecord> records;
    for (const auto& record : { stored, view.known_ }) {
        if (record) {
            records.push_back(*record);
        }
    }
    std::uint64_t highest = 0;
    for (const auto& record : records) {
        highest = std::max(highest, record.epoch_);
        if (record.epoch_ > goal_.basis_) {
            stop("superseded", record);
            return;
        }
    }
    for (const auto& record : records) {
        if (record.epoch_ == highest) {
            addBase(record.members());
        }
    }
    if (records.empty()) {
        addBase({}); // The state before the first epoch, which needs no seal.
    }
    step_ = Step::Sealing;
    continueSealing(view, now);
}

auto Takeover::lowestBase() const -> std::uint64_t
{
    std::uint64_t lowest = UINT64_MAX;
    for (const auto& base : bases_) {
        lowest = std::min(lowest, base.members_.epoch_);
    }
    return lowest;
}

auto Takeover::highestBase() const -> std::uint64_t
{
    std::uint64_t highest = 0;
    for (const auto& base : bases_) {
        highest = std::max(highest, base.members_.epoch_);
    }
    return highest;
}

auto Takeover::isBase(const EpochMembers& members) const -> bool
{
    return std::any_of(bases_.begin(), bases_.end(), [&](const Base& base) {
        return base.members_.epoch_ == members.epoch_ && base.members_.owner_ == members.owner_;
    });
}

/// Adds an epoch to be sealed. Returns whether it is new.
auto Takeover::addBase(const EpochMembers& members) -> bool
{
    if (isBase(members)) {
        return false;
    }
    bases_.push_back({ members, {} });
    issuedAfterMs_ = std::max(issuedAfterMs_, members.issuedAfterMs_);
    return true;
}

auto Takeover::toRecord(const EpochMembers& members) const -> ShardRecord
{
    return { goal_.service_, goal_.shard_, members.epoch_, members.owner_, members.witnesses_,
        members.issuedAfterMs_ };
}

auto Takeover::onStoreWrite(
    std::uint64_t ticket, const StoreWriteResult& result, const TakeoverView& view, TimePoint now) -> Actions
{
    if (ticket != storeTicket_ || step_ != Step::Writing) {
        return {};
    }
    storeTicket_ = 0;
    if (const auto* written = std::get_if<StoreWritten>(&result)) {
        failures_ = 0;
        commitRounds_ = 0;
        expectedVersion_ = written->version_;
        beginCommitting(view);
    } else if (std::holds_alternative<StoreFailed>(result)) {
        pause(Step::Verifying, now);
    } else {
        const auto* stored = std::get_if<StoredShard>(&result);
        resolveConflict(stored ? std::optional(*stored) : std::nullopt, view, now);
    }
    return takeActions();
}

/// Continues after the store has returned its current record, because this takeover's write was refused or
/// its result is unknown.
auto Takeover::resolveConflict(
    const std::optional<StoredShard>& current, const TakeoverView& view, TimePoint now) -> void
{
    expectedVersion_ = current ? std::optional(current->version_) : std::nullopt;
    if (!current) {
        pause(Step::Writing, now);
        return;
    }
    const auto record = readRecord(*current);
    if (!record) {
        return;
    }
    if (*record == record_) {
        failures_ = 0;
        commitRounds_ = 0;
        beginCommitting(view); // The write took effect, but its response was lost.
    } else if (written_.contains(*record) || isBase(record->members()) || record->epoch_ < lowestBase()) {
        // An earlier write of this takeover, a store that was rolled back, or a stale read.
        pause(Step::Writing, now);
    } else if (record->epoch_ > highestBase()) {
        stop("conflict", record);
    } else {
        addBase(record->members());
        step_ = Step::Sealing;
        continueSealing(view, now);
    }
}

auto Takeover::onReply(std::uint64_t ticket, const Message& reply, const TakeoverView& view, TimePoint now)
    -> Actions
{
    const auto at = pending_.find(ticket);
    if (at == pending_.end()) {
        return {};
    }
    const auto pending = std::move(at->second);
    pending_.erase(at);
    if (const auto* sealReply = std::get_if<SealReply>(&reply); sealReply && step_ == Step::Sealing) {
        onSealReply(std::get<Seal>(pending.message_), *sealReply, view, now);
    } else if (const auto* installAck = std::get_if<InstallAck>(&reply);
               installAck && step_ == Step::Installing) {
        onInstallAck(std::get<Install>(pending.message_), *installAck, view, now);
    } else if (const auto* commitAck = std::get_if<CommitAck>(&reply);
               commitAck && step_ == Step::Committing) {
        onCommitAck(pending.to_, *commitAck, view, now);
    }
    return takeActions();
}

auto Takeover::onFailure(std::uint64_t ticket, const TakeoverView& view, TimePoint now) -> Actions
{
    const auto at = pending_.find(ticket);
    if (at == pending_.end()) {
        return {};
    }
    auto pending = std::move(at->second);
    pending_.erase(at);
    if (pending.triesLeft_ > 0) {
        send(std::move(pending));
        return takeActions();
    }
    if (const auto* seal = std::get_if<Seal>(&pending.message_); seal && step_ == Step::Sealing) {
        failSeal(*seal, view, now);
    } else if (std::holds_alternative<Install>(pending.message_) && step_ == Step::Installing) {
        replaceWitness(pending.to_, view, now);
    } else if (step_ == Step::Committing) {
        continueCommitting(view, now);
    }
    return takeActions();
}

} // namespace wagtailhead
