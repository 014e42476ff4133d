#include "owned_shard.h"

#include "issue_time.h"

#include <algorithm>

namespace wagtailhead {

namespace {

constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
constexpr int statusKeyReused = 422;

/// How long a Fence waits for the end of a round. The timeout of the entry node is shorter.
constexpr Duration fenceWaitLimit = seconds(1);

/// A closed shard without running keys is kept for this long, because entry nodes with an outdated shard
/// map still request its recorded answers.
constexpr Duration closedRetention = std::chrono::minutes(10);

/// For refusals that stay valid whenever they are delivered, because the request can never run.
constexpr TimePoint noExpiry = TimePoint::max();

auto unknownRefusal(const char* reason) -> Refuse
{
    return { Outcome::Unknown, statusTimeout, reason, {} };
}

auto keyReused() -> Refuse
{
    return { Outcome::NotRun, statusKeyReused, ledger_reason::keyReused, noExpiry };
}

auto toAnswer(const Refuse& refuse) -> Answer
{
    return { refuse.outcome_, refuse.status_, refuse.reason_, {}, {} };
}

} // namespace

OwnedShard::OwnedShard(OwnerContext context, std::string service, std::string shard)
    : context_(context)
    , table_(context.bytes_)
{
    record_.service_ = std::move(service);
    record_.shard_ = std::move(shard);
}

auto OwnedShard::beginOrRefuse(const OnceArrival& call, std::optional<KeyRefusal> refusal, TimePoint now,
    WallClock::time_point wallNow) -> BeginResult
{
    if (const auto open = open_.find(call.key_); open != open_.end()) {
        return join(open->second, call);
    }
    if (const auto* started = table_.find(call.key_)) {
        return answerStarted(*started, call.bodyHash_);
    }
    if (const auto refused = checkNew(call, now, wallNow)) {
        return *refused;
    }
    if (blocks_.refuses(call.key_, call.acceptedAt_)) {
        if (now < blocks_.notRunUntil(call.key_)) {
            return Refuse { Outcome::NotRun, statusUnavailable, ledger_reason::refusedBefore,
                blocks_.notRunUntil(call.key_) };
        }
        // The earlier refusal is too old to be sent again; a new round confirms that the key has not run.
        refusal = KeyRefusal { statusUnavailable, ledger_reason::refusedBefore };
    }
    if (!refusal && context_.bytes_ >= context_.options_.maxBytes_) {
        refusal = KeyRefusal { statusUnavailable, ledger_reason::ledgerFull };
    }
    return openKey(call, std::move(refusal), now);
}

auto OwnedShard::join(OpenKey& open, const OnceArrival& call) -> BeginResult
{
    if (open.state_ != KeyState::Recording && call.bodyHash_ != open.bodyHash_) {
        return keyReused();
    }
    open.waiters_.push_back({ call.waiter_, call.attempt_, call.bodyHash_, call.deadline_ });
    return Join {};
}

auto OwnedShard::answerStarted(const KeyRecord& record, std::uint64_t bodyHash) const -> BeginResult
{
    if (bodyHash != record.bodyHash_) {
        return keyReused();
    }
    if (record.answer_) {
        return Replay { *record.answer_ };
    }
    return unknownRefusal(record.finished_ ? ledger_reason::answerExpired : ledger_reason::ownerLost);
}

auto OwnedShard::endStarted(Open::iterator at, const KeyRecord& record, OwnerEffects& effects) -> void
{
    const auto& open = at->second;
    for (const auto& waiter : open.waiters_) {
        const auto result = answerStarted(record, waiter.bodyHash_);
        const auto* replay = std::get_if<Replay>(&result);
        effects.replies_.push_back(
            { waiter.id_, replay ? replay->answer_ : toAnswer(std::get<Refuse>(result)), noExpiry });
    }
    for (const auto& waiter : open.fences_) {
        effects.fenceReplies_.emplace_back(waiter.token_, FenceReply { 0, FenceState::Started, {}, {} });
    }
    open_.erase(at);
}

auto OwnedShard::checkNew(const OnceArrival& call, TimePoint now, WallClock::time_point wallNow) const
    -> std::optional<Refuse>
{
    if (mode_ == Mode::Closed || call.shard_.epoch_ > record_.epoch_) {
        return unknownRefusal(ledger_reason::notOwner);
    }
    if (call.deadline_ <= now || call.acceptedAt_ + longestDeadline <= now) {
        return unknownRefusal(ledger_reason::deadline);
    }
    const auto issued = issueTimeOf(call.key_, wallNow);
    if (issued && *issued + longestKeyAge < wallNow) {
        return unknownRefusal(ledger_reason::keyExpired);
    }
    if (record_.issuedAfterMs_ != 0) {
        const WallClock::time_point declared { std::chrono::duration_cast<WallClock::duration>(
            milliseconds(record_.issuedAfterMs_)) };
        if (!issued || *issued < declared + issueTimeMargin) {
            return unknownRefusal(ledger_reason::issuedBeforeLoss);
        }
    }
    return std::nullopt;
}

auto OwnedShard::openKey(const OnceArrival& call, std::optional<KeyRefusal> refusal, TimePoint now)
    -> BeginResult
{
    if (refusal && mode_ == Mode::Active && record_.witnesses_.empty()) {
        blocks_.block(call.key_, now, now + notRunWindow);
        return Refuse { Outcome::NotRun, refusal->status_, refusal->reason_, blocks_.notRunUntil(call.key_) };
    }
    auto& open = open_[call.key_];
    open.bodyHash_ = call.bodyHash_;
    open.attempt_ = call.attempt_;
    open.acceptedAt_ = call.acceptedAt_;
    open.refusal_ = std::move(refusal);
    open.waiters_.push_back({ call.waiter_, call.attempt_, call.bodyHash_, call.deadline_ });
    StartRecording result;
    if (mode_ == Mode::Active) {
        result.requests_ = startRound(call.key_, open, now);
        if (result.requests_.empty()) {
            open.state_ = KeyState::Ready;
            result.ready_ = true;
        }
    }
    return result;
}

auto OwnedShard::mayDispatch(const std::string& key, TimePoint now) -> bool
{
    const auto at = open_.find(key);
    if (at == open_.end() || at->second.state_ != KeyState::Ready || mode_ != Mode::Active) {
        return false;
    }
    auto& open = at->second;
    const auto hasLiveWaiter
        = std::any_of(open.waiters_.begin(), open.waiters_.end(), [now](const Waiter& waiter) {
              return waiter.deadline_ > now;
          });
    if (!hasLiveWaiter) {
        return false; // The next tick refuses it.
    }
    open.state_ = KeyState::Running;
    table_.start(key, open.bodyHash_, now);
    return true;
}

auto OwnedShard::abandon(
    const std::string& key, const KeyRefusal& refusal, TimePoint now, OwnerEffects& effects) -> void
{
    const auto at = open_.find(key);
    if (at == open_.end()) {
        return;
    }
    if (at->second.state_ == KeyState::Recording) {
        at->second.refusal_ = refusal;
    } else if (at->second.state_ == KeyState::Ready) {
        // All witnesses have recorded the key, so no successor runs it and no further round is needed.
        refuseOpen(at, refusal, now + notRunWindow, now, effects);
    }
}

auto OwnedShard::finish(const std::string& key, const Answer& answer, TimePoint now, OwnerEffects& effects)
    -> void
{
    const auto at = open_.find(key);
    if (at == open_.end() || at->second.state_ != KeyState::Running) {
        return;
    }
    if (answer.outcome_ == Outcome::NotRun && mode_ == Mode::Active) {
        table_.erase(key);
        refuseOpen(at, { answer.status_, answer.reason_ }, now + notRunWindow, now, effects);
        return;
    }
    FenceReply fenceReply { 0, FenceState::Started, {}, {} };
    if (answer.outcome_ == Outcome::Completed) {
        table_.finish(key, answer);
        fenceReply = { 0, FenceState::Finished, answer, {} };
        sendOutcome(key, at->second.attempt_, answer, record_.witnesses_, effects);
        if (mode_ != Mode::Active) {
            lateKeys_.insert(key);
        }
        if (successor_) {
            sendLateOutcomes(successor_->witnesses_, effects);
            sendLateOutcomes({ successor_->owner_ }, effects);
            lateKeys_.clear();
        }
    }
    endOpen(at, answer, fenceReply, now + notRunWindow, effects);
}

auto OwnedShard::fence(const Fence& fence, FenceToken token, TimePoint now, OwnerEffects& effects) -> void
{
    const auto reply = [&](FenceReply fenceReply) {
        effects.fenceReplies_.emplace_back(token, std::move(fenceReply));
    };
    const auto at = open_.find(fence.key_);
    if (at == open_.end()) {
        if (auto recorded = fenceFromRecord(fence.key_, fence.bodyHash_)) {
            reply(*recorded);
        } else if (mode_ == Mode::Closed || fence.shard_.epoch_ > record_.epoch_) {
            reply({ 0, FenceState::NotMine, {}, {} });
        } else if (now < blocks_.notRunUntil(fence.key_)) {
            reply({ 0, FenceState::Blocked, {}, blocks_.notRunUntil(fence.key_) });
        } else {
            openFence(fence, token, now, effects);
        }
        return;
    }
    auto& open = at->second;
    const auto isWaiting = std::any_of(open.waiters_.begin(), open.waiters_.end(), [&](const Waiter& waiter) {
        return waiter.attempt_ == fence.attempt_;
    });
    if (open.blockOnly_ || (isWaiting && open.state_ != KeyState::Running)) {
        open.fences_.push_back({ token, now + fenceWaitLimit });
        abandon(fence.key_, { statusUnavailable, ledger_reason::fenced }, now, effects);
        return;
    }
    reply({ 0, FenceState::Started, {}, {} });
}

auto OwnedShard::fenceFromRecord(const std::string& key, std::uint64_t bodyHash) const
    -> std::optional<FenceReply>
{
    const auto* started = table_.find(key);
    if (!started) {
        return std::nullopt;
    }
    if (started->bodyHash_ != bodyHash) {
        return FenceReply { 0, FenceState::Finished, toAnswer(keyReused()), {} };
    }
    if (started->answer_) {
        return FenceReply { 0, FenceState::Finished, *started->answer_, {} };
    }
    return FenceReply { 0, FenceState::Started, {}, {} };
}

auto OwnedShard::openFence(const Fence& fence, FenceToken token, TimePoint now, OwnerEffects& effects) -> void
{
    if (mode_ == Mode::Active && record_.witnesses_.empty()) {
        blocks_.block(fence.key_, now, now + notRunWindow);
        effects.fenceReplies_.emplace_back(
            token, FenceReply { 0, FenceState::Blocked, {}, blocks_.notRunUntil(fence.key_) });
        return;
    }
    auto& open = open_[fence.key_];
    open.attempt_ = fence.attempt_;
    open.acceptedAt_ = now;
    open.refusal_ = KeyRefusal { statusUnavailable, ledger_reason::fenced };
    open.fences_.push_back({ token, now + fenceWaitLimit });
    if (mode_ == Mode::Active) {
        auto requests = startRound(fence.key_, open, now);
        effects.requests_.insert(effects.requests_.end(), requests.begin(), requests.end());
    }
}

auto OwnedShard::onOutcome(const RecordOutcome& outcome) -> void
{
    if (outcome.answer_.outcome_ != Outcome::Completed) {
        return; // Nothing here distinguishes a NotRun of an earlier owner from one of a later execution.
    }
    const auto open = open_.find(outcome.key_);
    if (open == open_.end() || open->second.state_ != KeyState::Running) {
        table_.finish(outcome.key_, outcome.answer_);
    }
}

auto OwnedShard::refuseOpen(Open::iterator at, const KeyRefusal& refusal, TimePoint notRunUntil,
    TimePoint now, OwnerEffects& effects) -> Open::iterator
{
    const auto& key = at->first;
    const Answer answer { Outcome::NotRun, refusal.status_, refusal.reason_, {}, {} };
    blocks_.block(key, now, notRunUntil);
    if (at->second.state_ == KeyState::Ready) {
        effects.withdrawn_.push_back({ record_.service_, record_.shard_, key });
    }
    if (!at->second.blockOnly_) {
        sendOutcome(key, at->second.attempt_, answer, record_.witnesses_, effects);
    }
    return endOpen(at, answer, { 0, FenceState::Blocked, {}, notRunUntil }, notRunUntil, effects);
}

auto OwnedShard::endOpen(Open::iterator at, const Answer& answer, const FenceReply& fenceReply,
    TimePoint notRunUntil, OwnerEffects& effects) -> Open::iterator
{
    for (const auto& waiter : at->second.waiters_) {
        effects.replies_.push_back({ waiter.id_, answer, notRunUntil });
    }
    for (const auto& waiter : at->second.fences_) {
        effects.fenceReplies_.emplace_back(waiter.token_, fenceReply);
    }
    return open_.erase(at);
}

auto OwnedShard::sendOutcome(const std::string& key, const AttemptId& attempt, const Answer& answer,
    const std::vector<NodeRef>& targets, OwnerEffects& effects) const -> void
{
    for (const auto& target : targets) {
        effects.outcomes_.emplace_back(target, RecordOutcome { record_.ref(), key, attempt, answer });
    }
}

auto OwnedShard::expireWaiters(Open::iterator at, TimePoint now, OwnerEffects& effects) -> Open::iterator
{
    auto& open = at->second;
    const auto expired = [now](const auto& waiter) {
        return waiter.deadline_ <= now;
    };
    const auto allExpired = std::all_of(open.waiters_.begin(), open.waiters_.end(), expired);
    if (open.state_ == KeyState::Ready && allExpired) {
        return refuseOpen(
            at, { statusUnavailable, ledger_reason::deadline }, now + notRunWindow, now, effects);
    }
    for (const auto& waiter : open.waiters_) {
        if (expired(waiter)) {
            effects.replies_.push_back({ waiter.id_, toAnswer(unknownRefusal(ledger_reason::deadline)), {} });
        }
    }
    for (const auto& waiter : open.fences_) {
        if (expired(waiter)) {
            effects.fenceReplies_.emplace_back(waiter.token_, FenceReply { 0, FenceState::NotMine, {}, {} });
        }
    }
    std::erase_if(open.waiters_, expired);
    std::erase_if(open.fences_, expired);
    const auto isAwaited = !open.waiters_.empty() || !open.fences_.empty();
    return isAwaited || open.state_ == KeyState::Running ? std::next(at) : open_.erase(at);
}

auto OwnedShard::tick(TimePoint now, OwnerEffects& effects) -> void
{
    for (auto at = open_.begin(); at != open_.end();) {
        at = expireWaiters(at, now, effects);
    }
    blocks_.purge(now);
    table_.purge(now);
}

auto OwnedShard::info() const -> OwnedShardInfo
{
    const auto running = std::count_if(open_.begin(), open_.end(), [](const auto& entry) {
        return entry.second.state_ == KeyState::Running;
    });
    return { record_, mode_ == Mode::Active, table_.size(), static_cast<std::size_t>(running) };
}

auto OwnedShard::isExpired(TimePoint now) const -> bool
{
    return mode_ == Mode::Closed && successor_ && open_.empty() && now - closedAt_ > closedRetention;
}

} // namespace wagtailhead
