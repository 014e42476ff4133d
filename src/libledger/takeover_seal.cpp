#include "wagtailhead/takeover.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Returns whether the process of this member has certainly terminated: it was declared lost, or the node has
/// a newer incarnation.
auto hasTerminated(const NodeRef& member, const TakeoverView& view) -> bool
{
    const auto* current = view.members_.find(member.id_);
    return view.declaredLost_.contains(member)
        || (current && current->ref_.incarnation_ > member.incarnation_);
}

auto toMs(WallClock::time_point time) -> std::uint64_t
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count());
}

} // namespace

/// Continues sealing every base that is not sealed yet, and starts the next step when all are sealed.
auto Takeover::continueSealing(const TakeoverView& view, TimePoint now) -> void
{
    auto allSealed = true;
    for (auto& base : bases_) {
        allSealed = continueBase(base, view) && allSealed;
        if (step_ == Step::Ended) {
            return;
        }
    }
    if (!allSealed) {
        return;
    }
    std::map<std::string, ShardEntry> entries;
    table_ = {};
    for (const auto& base : bases_) {
        mergeBase(base, entries, table_.blocked_);
    }
    for (auto& [key, entry] : entries) {
        table_.entries_.push_back(std::move(entry));
    }
    beginInstalling(view, now);
}

/// Sends Seals to the members of one base: first to the witnesses, then to the owner. The owner's table
/// complements those of the witnesses; the owner's seal alone is enough only if no two live witnesses can
/// have confirmed "not run" to an entry node. Returns whether the base is sealed and no reply is awaited.
auto Takeover::continueBase(Base& base, const TakeoverView& view) -> bool
{
    const auto& members = base.members_;
    if (members.epoch_ == 0) {
        return true;
    }
    auto isWaiting = false;
    for (const auto& witness : members.witnesses_) {
        const auto isPresent = view.members_.isPresent(witness);
        if (base.targets_[witness].progress_ == Progress::NotSent) {
            sendSeal(base, witness, {}, isPresent);
        }
        const auto isPending = base.targets_[witness].progress_ == Progress::Sent;
        isWaiting = isWaiting || (isPending && (isPresent || !isSealed(base, view)));
    }
    if (isWaiting) {
        return false;
    }
    auto& owner = base.targets_[members.owner_];
    const auto isOwnerPresent = view.members_.isPresent(members.owner_);
    const auto isOwnerNeeded = isSealed(base, view) ? isOwnerPresent : ownerSealSuffices(base, view);
    if (owner.progress_ == Progress::NotSent && isOwnerNeeded) {
        sendSeal(base, members.owner_, {}, isOwnerPresent);
    }
    if (owner.progress_ == Progress::Sent) {
        return false;
    }
    if (isSealed(base, view) || isDeclaredLost(base, view)) {
        return true;
    }
    stop("no member of epoch " + std::to_string(members.epoch_) + " can be sealed");
    return false;
}

auto Takeover::sendSeal(Base& base, const NodeRef& member, const std::string& after, bool isPresent) -> void
{
    base.targets_[member].progress_ = Progress::Sent;
    const auto newEpoch = std::max(highestBase(), highestReported_) + 1;
    const ShardRef shard { goal_.service_, goal_.shard_, base.members_.epoch_ };
    request(member, Seal { 0, shard, base.members_.owner_, member, goal_.self_.ref_, newEpoch, after },
        isPresent ? options_.requestTries_ : 1, true);
}

/// Returns whether the seal of the owner alone is enough. If both witnesses may still be running, an entry
/// node may have got "not run" from both of them without the owner; then one of them has to be sealed.
auto Takeover::ownerSealSuffices(const Base& base, const TakeoverView& view) const -> bool
{
    const auto& witnesses = base.members_.witnesses_;
    return witnesses.size() < witnessCount
        || std::all_of(witnesses.begin(), witnesses.end(), [&](const NodeRef& witness) {
               return hasTerminated(witness, view);
           });
}

auto Takeover::isSealed(const Base& base, const TakeoverView& view) const -> bool
{
    for (const auto& [member, target] : base.targets_) {
        if (target.progress_ == Progress::Done
            && (member != base.members_.owner_ || ownerSealSuffices(base, view))) {
            return true;
        }
    }
    return false;
}

/// Returns whether an operator has declared all members lost. The new epoch then runs only keys issued
/// after the declaration.
auto Takeover::isDeclaredLost(const Base& base, const TakeoverView& view) -> bool
{
    auto members = base.members_.witnesses_;
    members.push_back(base.members_.owner_);
    std::uint64_t latest = 0;
    for (const auto& member : members) {
        const auto declared = view.declaredLost_.find(member);
        if (declared == view.declaredLost_.end()) {
            return false;
        }
        latest = std::max(latest, toMs(declared->second));
    }
    issuedAfterMs_ = std::max(issuedAfterMs_, latest);
    return true;
}

auto Takeover::onSealReply(const Seal& seal, const SealReply& reply, const TakeoverView& view, TimePoint now)
    -> void
{
    highestReported_ = std::max(highestReported_, reply.highestEpoch_);
    onReportedEpochs(reply.known_);
    if (step_ == Step::Ended) {
        return;
    }
    if (!reply.sealed_) {
        failSeal(seal, view, now);
        return;
    }
    const auto at = std::find_if(bases_.begin(), bases_.end(), [&](const Base& base) {
        return base.members_.epoch_ == seal.shard_.epoch_ && base.members_.owner_ == seal.owner_;
    });
    auto& target = at->targets_[seal.witness_];
    auto& entries = target.table_.entries_;
    entries.insert(entries.end(), reply.entries_.begin(), reply.entries_.end());
    auto& blocked = target.table_.blocked_;
    blocked.insert(blocked.end(), reply.blocked_.begin(), reply.blocked_.end());
    for (const auto& older : reply.bases_) {
        if (std::find(olderBases_.begin(), olderBases_.end(), older) == olderBases_.end()) {
            olderBases_.push_back(older);
        }
    }
    if (reply.more_ && !reply.entries_.empty()) {
        sendSeal(*at, seal.witness_, reply.entries_.back().key_, true);
        return;
    }
    target.progress_ = Progress::Done;
    continueSealing(view, now);
}

/// Evaluates epochs that a member has reported as written. One that is higher than the bases ends this
/// takeover; a different one with the same epoch has to be sealed too.
auto Takeover::onReportedEpochs(const std::vector<EpochMembers>& epochs) -> void
{
    for (const auto& members : epochs) {
        if (members.epoch_ > highestBase()) {
            stop("superseded", toRecord(members));
            return;
        }
        if (members.epoch_ >= lowestBase()) {
            addBase(members);
        }
    }
}

auto Takeover::failSeal(const Seal& seal, const TakeoverView& view, TimePoint now) -> void
{
    for (auto& base : bases_) {
        if (base.members_.epoch_ == seal.shard_.epoch_ && base.members_.owner_ == seal.owner_) {
            base.targets_[seal.witness_] = { Progress::Failed, {} };
        }
    }
    continueSealing(view, now);
}

/// Adds the table of one sealed epoch. The owner's own table lists exactly the keys that it has started;
/// without it, every key that a witness has recorded counts as started.
auto Takeover::mergeBase(const Base& base, std::map<std::string, ShardEntry>& entries, KeyBlocks& blocks)
    -> void
{
    std::map<std::string, ShardEntry> merged;
    const auto owner = base.targets_.find(base.members_.owner_);
    const auto hasOwner = owner != base.targets_.end() && owner->second.progress_ == Progress::Done;
    const auto addEntry = [&merged](const ShardEntry& entry, bool isNewAllowed) {
        const auto existing = merged.find(entry.key_);
        if (existing == merged.end()) {
            if (isNewAllowed) {
                merged.emplace(entry.key_, entry);
            }
        } else if (entry.finished_
            && (!existing->second.finished_ || existing->second.answer_.status_ == 0)) {
            existing->second = entry;
        }
    };
    if (hasOwner) {
        for (const auto& entry : owner->second.table_.entries_) {
            addEntry(entry, true);
        }
    }
    for (const auto& [member, target] : base.targets_) {
        if (target.progress_ != Progress::Done) {
            continue;
        }
        for (const auto& entry : target.table_.entries_) {
            addEntry(entry, !hasOwner);
        }
        blocks.insert(blocks.end(), target.table_.blocked_.begin(), target.table_.blocked_.end());
    }
    for (auto& [key, entry] : merged) {
        const auto existing = entries.find(key);
        if (existing == entries.end() || (entry.finished_ && !existing->second.finished_)) {
            entries[key] = entry;
        }
    }
}

} // namespace wagtailhead
