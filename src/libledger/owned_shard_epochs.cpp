#include "owned_shard.h"

#include <algorithm>

namespace wagtailhead {

namespace {

constexpr int statusTimeout = 504;
constexpr int statusUnavailable = 503;

} // namespace

auto OwnedShard::onSeal(const Seal& seal, TimePoint now, OwnerEffects& effects) -> SealReply
{
    SealReply reply;
    reply.highestEpoch_ = record_.epoch_;
    if (record_.epoch_ == 0 || seal.shard_.epoch_ != record_.epoch_ || seal.witness_ != context_.self_
        || seal.owner_ != context_.self_) {
        return reply;
    }
    if (seal.candidate_ != context_.self_) {
        close(true, now, effects);
    } else if (mode_ == Mode::Active) {
        renew(effects);
    }
    reply.sealed_ = true;
    reply.more_ = table_.page(seal.after_, context_.options_.pageBytes_, now, reply.entries_);
    if (seal.after_.empty()) {
        reply.blocked_ = blocks_.remaining(now);
    }
    return reply;
}

/// Suspends all undispatched keys until the next epoch of this node, in which they are recorded again.
auto OwnedShard::renew(OwnerEffects& effects) -> void
{
    mode_ = Mode::Renewing;
    for (auto& [key, open] : open_) {
        if (open.state_ == KeyState::Ready) {
            effects.withdrawn_.push_back({ record_.service_, record_.shard_, key });
            open.state_ = KeyState::Recording;
        }
        open.round_ = 0;
    }
}

/// Ends this node's ownership for all undispatched keys. If the whole table is handed over to the
/// candidate, it shows that these keys have not run, and their attempts may be sent to the next owner.
/// Otherwise the successor finds the recorded keys as started, and only this node can answer "not run".
auto OwnedShard::close(bool tableHandedOver, TimePoint now, OwnerEffects& effects) -> void
{
    if (mode_ == Mode::Closed) {
        return;
    }
    mode_ = Mode::Closed;
    closedAt_ = now;
    const Answer notOwnerAnswer { Outcome::Unknown, statusTimeout, ledger_reason::notOwner, {}, {} };
    for (auto at = open_.begin(); at != open_.end();) {
        if (at->second.state_ == KeyState::Running) {
            ++at;
        } else if (at->second.state_ == KeyState::Ready && !tableHandedOver) {
            at = refuseOpen(
                at, { statusUnavailable, ledger_reason::notOwner }, now + notRunWindow, now, effects);
        } else {
            if (at->second.state_ == KeyState::Ready) {
                effects.withdrawn_.push_back({ record_.service_, record_.shard_, at->first });
            }
            at = endOpen(at, notOwnerAnswer, { 0, FenceState::NotMine, {}, {} }, {}, effects);
        }
    }
}

auto OwnedShard::onMapRecord(const ShardRecord& record, TimePoint now, OwnerEffects& effects) -> void
{
    if (record.epoch_ <= record_.epoch_ || record.owner_ == context_.self_) {
        return; // An epoch of this node begins with activate().
    }
    if (record_.epoch_ == 0) {
        return;
    }
    close(false, now, effects);
    if (!successor_ || record.epoch_ > successor_->epoch_) {
        successor_ = record.members();
        auto targets = successor_->witnesses_;
        targets.push_back(successor_->owner_);
        sendLateOutcomes(targets, effects);
    }
}

auto OwnedShard::sendLateOutcomes(const std::vector<NodeRef>& targets, OwnerEffects& effects) -> void
{
    for (const auto& key : lateKeys_) {
        const auto* record = table_.find(key);
        if (record && record->answer_) {
            sendOutcome(key, {}, *record->answer_, targets, effects);
        }
    }
}

auto OwnedShard::activate(
    const ShardRecord& record, const ShardTable& table, TimePoint now, OwnerEffects& effects) -> void
{
    if (record.epoch_ <= record_.epoch_) {
        return;
    }
    record_ = record;
    mode_ = Mode::Active;
    successor_.reset();
    table_.merge(table.entries_, now);
    blocks_.merge(table.blocked_, now);
    sendLateOutcomes(record_.witnesses_, effects);
    lateKeys_.clear();
    for (auto at = open_.begin(); at != open_.end();) {
        const auto current = at++;
        auto& open = current->second;
        if (open.state_ == KeyState::Running) {
            continue;
        }
        if (const auto* started = table_.find(current->first)) {
            endStarted(current, *started, effects); // Started in an epoch of another owner in the meantime.
            continue;
        }
        auto requests = startRound(current->first, open, now);
        effects.requests_.insert(effects.requests_.end(), requests.begin(), requests.end());
        if (requests.empty()) {
            completeRound(current, now, effects);
        }
    }
}

} // namespace wagtailhead
