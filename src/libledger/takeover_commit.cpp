#include "wagtailhead/takeover.h"

#include "record_table.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Number of candidates that accept the first epoch of a shard, which has no members of an earlier epoch.
constexpr std::size_t creationWitnesses = 3;

/// Rounds of Commits before an epoch that no member accepts is abandoned. With their timeouts they take some
/// seconds, within which the membership detects dead nodes.
constexpr int maxCommitRounds = 5;

} // namespace

/// Chooses the new epoch and its witnesses and begins to copy the table to them.
auto Takeover::beginInstalling(const TakeoverView& view, TimePoint now) -> void
{
    step_ = Step::Installing;
    pending_.clear();
    copies_.clear();
    ++copy_;
    record_ = { goal_.service_, goal_.shard_, std::max(highestBase(), highestReported_) + 1, goal_.self_.ref_,
        placeWitnesses(goal_.service_, goal_.shard_, goal_.self_, view.members_, avoid_), issuedAfterMs_ };
    if (record_.witnesses_.empty()) {
        if (!placeWitnesses(goal_.service_, goal_.shard_, goal_.self_, view.members_).empty()) {
            // Witnesses exist but are unresponsive. Without a witness, the records would be lost with this
            // node.
            stop("no witness answers");
            return;
        }
        write();
        return;
    }
    for (const auto& witness : record_.witnesses_) {
        auto& copy = copies_[witness];
        copy.parts_ = makeParts(witness);
        request(witness, copy.parts_.front(), options_.requestTries_, true);
    }
    static_cast<void>(now);
}

auto Takeover::makeParts(const NodeRef& witness) const -> std::vector<Install>
{
    const auto emptyPart = [&](std::size_t number) {
        Install part { 0, record_.ref(), record_.owner_, witness, {}, number == 0, false, record_.members(),
            copy_, number, {}, allBases() };
        return part;
    };
    std::vector<Install> parts { emptyPart(0) };
    parts.front().blocked_ = table_.blocked_;
    std::size_t used = 0;
    for (const auto& entry : table_.entries_) {
        if (used >= options_.partBytes_) {
            parts.push_back(emptyPart(parts.size()));
            used = 0;
        }
        parts.back().entries_.push_back(entry);
        used += entryBytes(entry);
    }
    parts.back().last_ = true;
    return parts;
}

auto Takeover::onInstallAck(
    const Install& install, const InstallAck& ack, const TakeoverView& view, TimePoint now) -> void
{
    if (install.copy_ != copy_) {
        return;
    }
    if (!ack.accepted_) {
        if (ack.highestEpoch_ >= record_.epoch_) {
            highestReported_ = std::max(highestReported_, ack.highestEpoch_);
            pause(Step::Installing, now);
        } else {
            replaceWitness(install.witness_, view, now);
        }
        return;
    }
    auto& copy = copies_.at(install.witness_);
    ++copy.next_;
    if (copy.next_ < copy.parts_.size()) {
        request(install.witness_, copy.parts_[copy.next_], options_.requestTries_, true);
        return;
    }
    const auto isDone = [](const auto& entry) {
        return entry.second.next_ == entry.second.parts_.size();
    };
    if (std::all_of(copies_.begin(), copies_.end(), isDone)) {
        write();
    }
}

auto Takeover::replaceWitness(const NodeRef& witness, const TakeoverView& view, TimePoint now) -> void
{
    avoid_.insert(witness);
    beginInstalling(view, now);
}

/// Returns the epochs sealed by this takeover, the epochs sealed by earlier takeovers whose own epochs may
/// never have begun, and the epochs that this takeover has written and abandoned.
auto Takeover::allBases() const -> std::vector<EpochMembers>
{
    auto all = olderBases_;
    for (const auto& record : written_) {
        if (record.epoch_ < record_.epoch_) {
            all.push_back(record.members());
        }
    }
    for (const auto& base : bases_) {
        all.push_back(base.members_);
    }
    return all;
}

/// Requests the members of all bases to accept the epoch. Replies of members that this takeover has sealed
/// are awaited even if the membership reports them as dead: they would report a competing epoch that the
/// store has lost.
auto Takeover::beginCommitting(const TakeoverView& view) -> void
{
    step_ = Step::Committing;
    pending_.clear();
    acceptedBy_.clear();
    ++commitRounds_;
    const auto sealed = sealedMembers();
    const Commit commit { 0, record_.ref(), {}, record_.members(), allBases(), false };
    for (const auto& target : commitTargets(view)) {
        auto message = commit;
        message.member_ = target;
        const auto isAwaited
            = view.members_.isPresent(target) || sealed.contains(target) || target == goal_.self_.ref_;
        request(target, message, isAwaited ? options_.requestTries_ : 1, isAwaited);
    }
}

auto Takeover::sealedMembers() const -> std::set<NodeRef>
{
    std::set<NodeRef> sealed;
    for (const auto& base : bases_) {
        for (const auto& [member, target] : base.targets_) {
            if (target.progress_ == Progress::Done) {
                sealed.insert(member);
            }
        }
    }
    return sealed;
}

auto Takeover::commitTargets(const TakeoverView& view) const -> std::set<NodeRef>
{
    std::set<NodeRef> targets { goal_.self_.ref_ };
    for (const auto& base : allBases()) {
        if (base.epoch_ != 0) {
            targets.insert(base.owner_);
            targets.insert(base.witnesses_.begin(), base.witnesses_.end());
            continue;
        }
        const auto candidates = rankCandidates(goal_.service_, goal_.shard_, view.members_);
        for (std::size_t rank = 0; rank < std::min(candidates.size(), creationWitnesses); ++rank) {
            targets.insert(candidates[rank]->ref_);
        }
    }
    return targets;
}

auto Takeover::onCommitAck(
    const NodeRef& member, const CommitAck& ack, const TakeoverView& view, TimePoint now) -> void
{
    if (ack.accepted_) {
        acceptedBy_.insert(member);
    }
    const auto isRefused = !ack.accepted_ && ack.known_.epoch_ != 0;
    if (isRefused && ack.known_.epoch_ > record_.epoch_) {
        stop("superseded", toRecord(ack.known_));
    } else if (isRefused && addBase(ack.known_)) {
        // The store has lost an epoch that may be active. It has to be sealed as well.
        highestReported_ = std::max(highestReported_, record_.epoch_);
        step_ = Step::Sealing;
        continueSealing(view, now);
    } else {
        continueCommitting(view, now);
    }
}

/// Activates the epoch when no reply is awaited and a sealed member other than this node has accepted it.
/// Otherwise the epoch is abandoned after some rounds, unless no other sealed member is present.
auto Takeover::continueCommitting(const TakeoverView& view, TimePoint now) -> void
{
    const auto isAwaited = [](const auto& entry) {
        return entry.second.awaited_;
    };
    if (std::any_of(pending_.begin(), pending_.end(), isAwaited)) {
        return;
    }
    auto sealed = sealedMembers();
    sealed.erase(goal_.self_.ref_);
    const auto hasAccepted = [this](const NodeRef& member) {
        return acceptedBy_.contains(member);
    };
    const auto isPresent = [&view](const NodeRef& member) {
        return view.members_.isPresent(member);
    };
    const bool accepted = sealed.empty() || std::any_of(sealed.begin(), sealed.end(), hasAccepted);
    if (!accepted && commitRounds_ < maxCommitRounds) {
        pause(Step::Committing, now);
    } else if (!accepted && std::any_of(sealed.begin(), sealed.end(), isPresent)) {
        stop("no member accepts the epoch");
    } else {
        activate();
    }
}

auto Takeover::activate() -> void
{
    step_ = Step::Ended;
    pending_.clear();
    for (const auto& witness : record_.witnesses_) {
        const Commit commit { 0, record_.ref(), witness, record_.members(), allBases(), true };
        actions_.emplace_back(TakeoverRequest { nextTicket_++, witness, commit, options_.requestTimeout_ });
    }
    result_ = TakeoverActivated { record_, table_ };
}

} // namespace wagtailhead
