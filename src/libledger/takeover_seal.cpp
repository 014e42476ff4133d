#include "wagtailhead/takeover.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Returns whether the process that was this member is certainly gone: another one has its place.
auto isGone(const NodeRef& member, const TakeoverView& view) -> bool
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

/// Goes on with every base that is not sealed yet, and to the next step when all are.
auto Takeover::continueSealing(const TakeoverView& view, TimePoint now) -> void
{
    auto allSettled = true;
    for (auto& base : bases_) {
        allSettled = continueBase(base, view) && allSettled;
        if (step_ == Step::Ended) {
            return;
        }
    }
    if (!allSettled) {
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

/// Asks the members of one base in turn: first the witnesses, then the owner, whose word adds to theirs
/// and replaces it only if no witness can have promised anything to anyone. Returns whether the base is
/// sealed and nobody is left to wait for.
auto Takeover::continueBase(Base& base, const TakeoverView& view) -> bool
{
    const auto& members = base.members_;
    if (members.epoch_ == 0) {
        return true;
    }
    auto isWaiting = false;
    for (const auto& witness : members.witnesses_) {
        const auto isPresent = view.members_.isPresent(witness);
        if (base.targets_[witness].progress_ == Progress::NotAsked) {
            askMember(base, witness, {}, isPresent);
        }
        const auto isAsked = base.targets_[witness].progress_ == Progress::Asked;
        isWaiting = isWaiting || (isAsked && (isPresent || !isSealed(base, view)));
    }
    if (isWaiting) {
        return false;
    }
    auto& owner = base.targets_[members.owner_];
    const auto isOwnerPresent = view.members_.isPresent(members.owner_);
    const auto isOwnerWanted = isSealed(base, view) ? isOwnerPresent : ownerSuffices(base, view);
    if (owner.progress_ == Progress::NotAsked && isOwnerWanted) {
        askMember(base, members.owner_, {}, isOwnerPresent);
    }
    if (owner.progress_ == Progress::Asked) {
        return false;
    }
    if (isSealed(base, view) || isDeclaredLost(base, view)) {
        return true;
    }
    stop("no member of epoch " + std::to_string(members.epoch_) + " can be sealed");
    return false;
}

auto Takeover::askMember(Base& base, const NodeRef& member, const std::string& after, bool isPresent) -> void
{
    base.targets_[member].progress_ = Progress::Asked;
    const auto newEpoch = std::max(highestBase(), highestSeen_) + 1;
    const ShardRef shard { goal_.service_, goal_.shard_, base.members_.epoch_ };
    request(member, Seal { 0, shard, base.members_.owner_, member, goal_.self_.ref_, newEpoch, after },
        isPresent ? options_.requestTries_ : 1, true);
}

/// Returns whether the owner's own word is enough. With two witnesses alive, entry nodes may have got a
/// "not run" from both of them without the owner; then one of them has to be sealed.
auto Takeover::ownerSuffices(const Base& base, const TakeoverView& view) const -> bool
{
    const auto& witnesses = base.members_.witnesses_;
    return witnesses.size() < witnessCount
        || std::all_of(witnesses.begin(), witnesses.end(), [&](const NodeRef& witness) {
               return isGone(witness, view);
           });
}

auto Takeover::isSealed(const Base& base, const TakeoverView& view) const -> bool
{
    for (const auto& [member, target] : base.targets_) {
        if (target.progress_ == Progress::Done
            && (member != base.members_.owner_ || ownerSuffices(base, view))) {
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

auto Takeover::takeSealReply(
    const Seal& seal, const SealReply& reply, const TakeoverView& view, TimePoint now) -> void
{
    highestSeen_ = std::max(highestSeen_, reply.highestEpoch_);
    meetKnown(reply.known_);
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
        askMember(*at, seal.witness_, reply.entries_.back().key_, true);
        return;
    }
    target.progress_ = Progress::Done;
    continueSealing(view, now);
}

/// Looks at epochs that a member knows to have been written. A higher one than the bases ends this
/// takeover; another one of the same epoch number has to be sealed too.
auto Takeover::meetKnown(const std::vector<EpochMembers>& known) -> void
{
    for (const auto& members : known) {
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
    const auto take = [&merged](const ShardEntry& entry, bool mayAdd) {
        const auto known = merged.find(entry.key_);
        if (known == merged.end()) {
            if (mayAdd) {
                merged.emplace(entry.key_, entry);
            }
        } else if (entry.finished_ && (!known->second.finished_ || known->second.answer_.status_ == 0)) {
            known->second = entry;
        }
    };
    if (hasOwner) {
        for (const auto& entry : owner->second.table_.entries_) {
            take(entry, true);
        }
    }
    for (const auto& [member, target] : base.targets_) {
        if (target.progress_ != Progress::Done) {
            continue;
        }
        for (const auto& entry : target.table_.entries_) {
            take(entry, !hasOwner);
        }
        blocks.insert(blocks.end(), target.table_.blocked_.begin(), target.table_.blocked_.end());
    }
    for (auto& [key, entry] : merged) {
        const auto known = entries.find(key);
        if (known == entries.end() || (entry.finished_ && !known->second.finished_)) {
            entries[key] = entry;
        }
    }
}

} // namespace wagtailhead
