#include "owned_shard.h"

#include <algorithm>
#include <string_view>

namespace wagtailhead {

namespace {

/// A witness is reported as unresponsive after this many tries of one record.
constexpr int triesBeforeUnresponsive = 2;

constexpr int statusTimeout = 504;
constexpr int statusUnavailable = 503;
constexpr int statusKeyReused = 422;

} // namespace

auto OwnedShard::startRound(const std::string& key, OpenKey& open, TimePoint now)
    -> std::vector<RecordRequest>
{
    open.state_ = KeyState::Recording;
    open.round_ = context_.nextRound_++;
    open.blockOnly_ = open.refusal_.has_value();
    open.tries_.clear();
    std::vector<RecordRequest> requests;
    for (const auto& witness : record_.witnesses_) {
        open.tries_[witness] = { 1, now, false };
        requests.push_back(makeRequest(key, open, witness));
    }
    return requests;
}

auto OwnedShard::makeRequest(const std::string& key, const OpenKey& open, const NodeRef& witness) const
    -> RecordRequest
{
    const KeyRef ref { record_.service_, record_.shard_, key };
    return { { ref, record_.epoch_, open.round_, open.tries_.at(witness).try_, witness },
        { 0, record_.ref(), context_.self_, witness, key, open.bodyHash_, open.attempt_, open.acceptedAt_,
            open.round_, open.blockOnly_ } };
}

/// Returns the try named by the ticket, or null if a newer try or round has replaced it or it is answered.
auto OwnedShard::pendingTry(const RecordTicket& ticket, OpenKey*& open) -> WitnessTry*
{
    const auto at = open_.find(ticket.key_.key_);
    if (mode_ != Mode::Active || ticket.epoch_ != record_.epoch_ || at == open_.end()
        || at->second.state_ != KeyState::Recording || at->second.round_ != ticket.round_) {
        return nullptr;
    }
    const auto witness = at->second.tries_.find(ticket.witness_);
    if (witness == at->second.tries_.end() || witness->second.answered_
        || witness->second.try_ != ticket.try_) {
        return nullptr;
    }
    open = &at->second;
    return &witness->second;
}

auto OwnedShard::onRecordAck(
    const RecordTicket& ticket, const RecordAck& ack, TimePoint now, OwnerEffects& effects) -> void
{
    OpenKey* open = nullptr;
    auto* current = pendingTry(ticket, open);
    if (!current) {
        return;
    }
    if (now - current->sentAt_ > recordTimeout) {
        // The process was suspended, or the timeout has not been reported yet.
        onRecordTimeout(ticket, now, effects);
        return;
    }
    if (!ack.accepted_ && !onRecordRefused(ticket, ack, *open, now, effects)) {
        return;
    }
    current->answered_ = true;
    const auto isComplete = std::all_of(open->tries_.begin(), open->tries_.end(), [](const auto& entry) {
        return entry.second.answered_;
    });
    if (isComplete) {
        completeRound(open_.find(ticket.key_.key_), now, effects);
    }
}

/// Returns whether the refusal completes the round at this witness, which is so if it has blocked the key.
auto OwnedShard::onRecordRefused(const RecordTicket& ticket, const RecordAck& ack, OpenKey& open,
    TimePoint now, OwnerEffects& effects) -> bool
{
    const std::string_view reason = ack.reason_;
    if (reason == record_refusal::blocked || reason == record_refusal::full) {
        if (!open.refusal_) {
            open.refusal_ = KeyRefusal { statusUnavailable,
                reason == record_refusal::full ? ledger_reason::ledgerFull : ledger_reason::refusedBefore };
        }
        return true;
    }
    if (reason == record_refusal::notMember) {
        effects.unresponsiveWitnesses_.emplace_back(ticket.witness_, record_.ref());
        return false; // The key waits for the next epoch.
    }
    if (reason == record_refusal::recorded) {
        // Not expected to occur. The body that has run is unknown, so nothing is added to the table.
        const Answer answer { Outcome::Unknown, statusTimeout, ledger_reason::ownerLost, {}, {} };
        endOpen(open_.find(ticket.key_.key_), answer, { 0, FenceState::Started, {}, {} }, {}, effects);
        return false;
    }
    close(false, now, effects);
    return false;
}

auto OwnedShard::completeRound(Open::iterator at, TimePoint now, OwnerEffects& effects) -> void
{
    auto& open = at->second;
    if (open.refusal_) {
        // Every witness has recorded or blocked the key after its request was sent.
        auto confirmedAt = now;
        for (const auto& [witness, last] : open.tries_) {
            confirmedAt = std::min(confirmedAt, last.sentAt_);
        }
        refuseOpen(at, KeyRefusal(*open.refusal_), confirmedAt + notRunWindow, now, effects);
        return;
    }
    open.state_ = KeyState::Ready;
    answerOtherBodies(open, effects);
    effects.ready_.push_back({ record_.service_, record_.shard_, at->first });
}

/// Refuses waiters that sent a different body with the same key, once the recorded body is confirmed.
auto OwnedShard::answerOtherBodies(OpenKey& open, OwnerEffects& effects) const -> void
{
    const auto isOther = [&](const Waiter& waiter) {
        return waiter.bodyHash_ != open.bodyHash_;
    };
    for (const auto& waiter : open.waiters_) {
        if (isOther(waiter)) {
            effects.replies_.push_back({ waiter.id_,
                { Outcome::NotRun, statusKeyReused, ledger_reason::keyReused, {}, {} }, TimePoint::max() });
        }
    }
    std::erase_if(open.waiters_, isOther);
}

auto OwnedShard::onRecordTimeout(const RecordTicket& ticket, TimePoint now, OwnerEffects& effects) -> void
{
    OpenKey* open = nullptr;
    auto* current = pendingTry(ticket, open);
    if (!current) {
        return;
    }
    if (current->try_ >= triesBeforeUnresponsive) {
        effects.unresponsiveWitnesses_.emplace_back(ticket.witness_, record_.ref());
    }
    ++current->try_;
    current->sentAt_ = now;
    effects.requests_.push_back(makeRequest(ticket.key_.key_, *open, ticket.witness_));
}

} // namespace wagtailhead
