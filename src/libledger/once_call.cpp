#include "wagtailhead/once_call.h"

#include <algorithm>

namespace wagtailhead {

namespace {

constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

/// Of a short deadline, each reserve takes at most this fraction: a quarter and a tenth.
constexpr int fenceDivisor = 4;
constexpr int answerDivisor = 10;

} // namespace

OnceCall::OnceCall(ShardRef shard, std::string key, std::uint64_t bodyHash, AttemptId attempt,
    TimePoint acceptedAt, TimePoint deadline, OnceCallOptions options)
    : shard_(std::move(shard))
    , key_(std::move(key))
    , bodyHash_(bodyHash)
    , attempt_(std::move(attempt))
    , deadline_(deadline)
    , options_(options)
    , fenceAt_(deadline - std::min(options.fenceReserve_, (deadline - acceptedAt) / fenceDivisor))
    , ownerDeadline_(deadline - std::min(options.answerReserve_, (deadline - acceptedAt) / answerDivisor))
{
}

auto OnceCall::isDone() const -> bool
{
    return step_ == Step::Done;
}

auto OnceCall::takeActions() -> Actions
{
    return std::exchange(actions_, {});
}

auto OnceCall::finish(Answer answer) -> void
{
    step_ = Step::Done;
    actions_.emplace_back(TellCaller { std::move(answer) });
}

auto OnceCall::finish(Outcome outcome, int status, std::string reason) -> void
{
    finish({ outcome, status, std::move(reason), {}, {} });
}

auto OnceCall::start(const Record& record, TimePoint now) -> Actions
{
    proceed(record, now);
    return takeActions();
}

auto OnceCall::proceed(const Record& record, TimePoint now) -> void
{
    if (now >= deadline_) {
        finish(Outcome::Unknown, statusTimeout, ledger_reason::ownerUnreachable);
    } else if (now >= fenceAt_) {
        beginFence(record, now);
    } else if (!record) {
        wait(record, now);
    } else {
        step_ = Step::Calling;
        callTicket_ = nextTicket_++;
        actions_.emplace_back(SendOnceCall { callTicket_, record->owner_, record->ref(), ownerDeadline_ });
    }
}

auto OnceCall::wait(const Record&, TimePoint now) -> void
{
    step_ = Step::Waiting;
    constexpr int maxDoublings = 10;
    const auto pause
        = std::min(options_.firstPause_ * (1 << std::min(pauses_, maxDoublings)), options_.longestPause_);
    ++pauses_;
    resumeAt_ = now < fenceAt_ ? std::min(now + pause, fenceAt_) : std::min(now + pause, deadline_);
}

auto OnceCall::onReply(std::uint64_t ticket, const Answer& answer, TimePoint notRunUntil,
    const Record& record, TimePoint now) -> Actions
{
    if (step_ != Step::Calling || ticket != callTicket_) {
        return {};
    }
    if (answer.outcome_ == Outcome::Unknown && answer.reason_ == ledger_reason::notOwner) {
        wait(record, now);
    } else if (answer.outcome_ == Outcome::NotRun && now >= notRunUntil) {
        beginFence(record, now); // The answer has expired; the owner has to confirm it.
    } else {
        finish(answer);
    }
    return takeActions();
}

auto OnceCall::onFailure(std::uint64_t ticket, const Record& record, TimePoint now) -> Actions
{
    if (step_ == Step::Calling && ticket == callTicket_) {
        wait(record, now);
    } else if (fences_.erase(ticket) != 0) {
        if (step_ == Step::FencingOwner) {
            fenceWitnesses(record, now);
        } else if (step_ == Step::FencingWitnesses) {
            endFence(record, now);
        }
    }
    return takeActions();
}

auto OnceCall::beginFence(const Record& record, TimePoint now) -> void
{
    if (!record) {
        finish(Outcome::Unknown, statusTimeout, ledger_reason::ownerUnreachable);
        return;
    }
    step_ = Step::FencingOwner;
    fenced_ = *record;
    fences_.clear();
    sawStarted_ = false;
    blockedBy_ = 0;
    blockedUntil_ = TimePoint::max();
    sendFence(fenced_.owner_, now);
}

auto OnceCall::sendFence(const NodeRef& member, TimePoint now) -> void
{
    const auto ticket = nextTicket_++;
    fences_[ticket] = member;
    // A third leaves time for the fences at the witnesses and for the replies before the deadline.
    constexpr int divisor = 3;
    const auto timeout
        = std::min(options_.fenceTimeout_, std::max((deadline_ - now) / divisor, Duration::zero()));
    actions_.emplace_back(SendFence {
        ticket, member, { 0, fenced_.ref(), fenced_.owner_, member, bodyHash_, key_, attempt_ }, timeout });
}

auto OnceCall::onFenceReply(
    std::uint64_t ticket, const FenceReply& reply, const Record& record, TimePoint now) -> Actions
{
    if (step_ == Step::Done || fences_.erase(ticket) == 0) {
        return {};
    }
    const auto isFromOwner = step_ == Step::FencingOwner;
    switch (reply.state_) {
    case FenceState::Finished:
        finish(reply.answer_);
        break;
    case FenceState::Started:
        sawStarted_ = true;
        endFence(record, now);
        break;
    case FenceState::Blocked:
        blockedUntil_ = std::min(blockedUntil_, reply.validUntil_);
        // Only the owner, or both witnesses together, can confirm that no successor exists.
        blockedBy_ += isFromOwner ? witnessCount : 1;
        endFence(record, now);
        break;
    case FenceState::NotMine:
        if (isFromOwner) {
            fenceWitnesses(record, now);
        } else {
            endFence(record, now);
        }
        break;
    }
    return takeActions();
}

auto OnceCall::fenceWitnesses(const Record& record, TimePoint now) -> void
{
    step_ = Step::FencingWitnesses;
    for (const auto& witness : fenced_.witnesses_) {
        sendFence(witness, now);
    }
    if (fences_.empty()) {
        endFence(record, now);
    }
}

/// Evaluates the fences when all of them have been answered or have failed.
auto OnceCall::endFence(const Record& record, TimePoint now) -> void
{
    if (!fences_.empty()) {
        return;
    }
    if (!sawStarted_ && blockedBy_ >= witnessCount && now < blockedUntil_) {
        finish(Outcome::NotRun, statusUnavailable, ledger_reason::fenced);
    } else if (now >= deadline_) {
        finish(Outcome::Unknown, statusTimeout, ledger_reason::ownerUnreachable);
    } else {
        wait(record, now);
    }
}

auto OnceCall::tick(const Record& record, TimePoint now) -> Actions
{
    if (step_ == Step::Done) {
        return {};
    }
    if (now >= deadline_) {
        finish(Outcome::Unknown, statusTimeout, ledger_reason::ownerUnreachable);
    } else if (step_ == Step::Waiting && now >= resumeAt_) {
        proceed(record, now);
    }
    return takeActions();
}

} // namespace wagtailhead
