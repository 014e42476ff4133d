#include "wagtailhead/ledger_node.h"

namespace wagtailhead {

LedgerNode::LedgerNode(
    NodeRef self, ShardMap& map, TimePoint startedAt, std::uint64_t seed, LedgerNodeOptions options)
    : self_(std::move(self))
    , map_(map)
    , options_(options)
    , random_(seed)
    , owner_(self_, options.owner_)
    , witness_(self_, options.witness_)
    , agent_(startedAt, random_(), options.agent_)
    , members_(std::make_shared<MemberList>())
{
}

auto LedgerNode::begin(const OnceArrival& call, TimePoint now, WallClock::time_point wallNow)
    -> std::pair<BeginResult, LedgerEffects>
{
    const std::lock_guard lock(mutex_);
    return moveRequests(owner_.begin(call, now, wallNow), now);
}

auto LedgerNode::refuse(const OnceArrival& call, const KeyRefusal& refusal, TimePoint now,
    WallClock::time_point wallNow) -> std::pair<BeginResult, LedgerEffects>
{
    const std::lock_guard lock(mutex_);
    return moveRequests(owner_.refuse(call, refusal, now, wallNow), now);
}

/// Moves the requests of a result to the effects.
auto LedgerNode::moveRequests(BeginResult begun, TimePoint now) -> std::pair<BeginResult, LedgerEffects>
{
    std::pair<BeginResult, LedgerEffects> result;
    result.first = std::move(begun);
    if (auto* recording = std::get_if<StartRecording>(&result.first)) {
        OwnerEffects owner;
        owner.requests_ = std::exchange(recording->requests_, {});
        applyEffects(std::move(owner), now, result.second);
        handleLocalRequests(now, result.second);
    }
    return result;
}

auto LedgerNode::mayDispatch(const KeyRef& key, TimePoint now) -> bool
{
    return owner_.mayDispatch(key, now);
}

auto LedgerNode::abandon(const KeyRef& key, const KeyRefusal& refusal, TimePoint now) -> LedgerEffects
{
    const std::lock_guard lock(mutex_);
    LedgerEffects effects;
    applyEffects(owner_.abandon(key, refusal, now), now, effects);
    handleLocalRequests(now, effects);
    return effects;
}

auto LedgerNode::finish(const KeyRef& key, const Answer& answer, TimePoint now) -> LedgerEffects
{
    const std::lock_guard lock(mutex_);
    LedgerEffects effects;
    applyEffects(owner_.finish(key, answer, now), now, effects);
    handleLocalRequests(now, effects);
    return effects;
}

auto LedgerNode::onMessage(const Message& message, FenceToken token, TimePoint now)
    -> std::pair<std::optional<Message>, LedgerEffects>
{
    const std::lock_guard lock(mutex_);
    std::pair<std::optional<Message>, LedgerEffects> result;
    result.first = handle(message, token, now, result.second);
    handleLocalRequests(now, result.second);
    return result;
}

auto LedgerNode::onReply(std::uint64_t ticket, const Message& reply, TimePoint now) -> LedgerEffects
{
    const std::lock_guard lock(mutex_);
    LedgerEffects effects;
    handleReply(ticket, &reply, now, effects);
    handleLocalRequests(now, effects);
    return effects;
}

auto LedgerNode::onFailure(std::uint64_t ticket, TimePoint now) -> LedgerEffects
{
    const std::lock_guard lock(mutex_);
    LedgerEffects effects;
    handleReply(ticket, nullptr, now, effects);
    handleLocalRequests(now, effects);
    return effects;
}

auto LedgerNode::consumeTicket(std::uint64_t ticket, std::uint64_t& takeoverTicket) -> Takeover*
{
    const auto found = tickets_.find(ticket);
    if (found == tickets_.end() || !std::holds_alternative<TakeoverTicket>(found->second)) {
        return nullptr;
    }
    const auto origin = std::get<TakeoverTicket>(found->second);
    tickets_.erase(found);
    takeoverTicket = origin.ticket_;
    const auto at = takeovers_.find(origin.shard_);
    return at != takeovers_.end() && at->second.number_ == origin.number_ ? at->second.takeover_.get()
                                                                          : nullptr;
}

auto LedgerNode::onStoreRead(std::uint64_t ticket, const StoreReadResult& result, TimePoint now)
    -> LedgerEffects
{
    const std::lock_guard lock(mutex_);
    LedgerEffects effects;
    std::uint64_t takeoverTicket = 0;
    if (auto* takeover = consumeTicket(ticket, takeoverTicket)) {
        applyEffects(
            *takeover, takeover->onStoreRead(takeoverTicket, result, viewOf(*takeover), now), now, effects);
        handleLocalRequests(now, effects);
    }
    return effects;
}

auto LedgerNode::onStoreWrite(std::uint64_t ticket, const StoreWriteResult& result, TimePoint now)
    -> LedgerEffects
{
    const std::lock_guard lock(mutex_);
    LedgerEffects effects;
    std::uint64_t takeoverTicket = 0;
    if (auto* takeover = consumeTicket(ticket, takeoverTicket)) {
        applyEffects(
            *takeover, takeover->onStoreWrite(takeoverTicket, result, viewOf(*takeover), now), now, effects);
        handleLocalRequests(now, effects);
    }
    return effects;
}

auto LedgerNode::onMapRecord(const ShardRecord& record, TimePoint now) -> LedgerEffects
{
    const std::lock_guard lock(mutex_);
    LedgerEffects effects;
    applyMapRecord(record, now, effects);
    handleLocalRequests(now, effects);
    return effects;
}

auto LedgerNode::applyMapRecord(const ShardRecord& record, TimePoint now, LedgerEffects& effects) -> void
{
    map_.apply(record);
    witness_.onMapRecord(record);
    applyEffects(owner_.onMapRecord(record, now), now, effects);
}

auto LedgerNode::tick(const LedgerSurroundings& surroundings, TimePoint now) -> LedgerEffects
{
    const std::lock_guard lock(mutex_);
    LedgerEffects effects;
    members_ = surroundings.members_;
    declaredLost_ = surroundings.declaredLost_;
    applyEffects(owner_.tick(now), now, effects);
    witness_.tick(now);
    std::vector<std::string> shards;
    for (const auto& [shard, takeover] : takeovers_) {
        shards.push_back(shard);
    }
    for (const auto& shard : shards) {
        if (const auto at = takeovers_.find(shard); at != takeovers_.end()) {
            auto& takeover = *at->second.takeover_;
            applyEffects(takeover, takeover.tick(viewOf(takeover), now), now, effects);
        }
    }
    startTakeovers(surroundings, now, effects);
    handleLocalRequests(now, effects);
    return effects;
}

auto LedgerNode::startTakeovers(const LedgerSurroundings& surroundings, TimePoint now, LedgerEffects& effects)
    -> void
{
    const auto records = map_.list(surroundings.self_.service_);
    const auto owned = owner_.shards();
    const AgentView view { *members_, surroundings.self_, surroundings.shards_, records, owned };
    for (const auto& plan : agent_.decide(view, now)) {
        effects.events_.push_back(
            { plan.service_, plan.shard_, "started", takeoverReasonName(plan.reason_), plan.basis_ });
        TakeoverGoal goal { plan.service_, plan.shard_, surroundings.self_, plan.basis_, plan.avoid_ };
        auto started = std::make_unique<Takeover>(std::move(goal), random_(), options_.takeover_);
        auto& takeover = *started;
        takeovers_[plan.shard_] = { nextTakeover_++, std::move(started) };
        applyEffects(takeover, takeover.start(viewOf(takeover), now), now, effects);
    }
}

auto LedgerNode::viewOf(const Takeover& takeover) const -> TakeoverView
{
    return { *members_, map_.find(takeover.goal().service_, takeover.goal().shard_), declaredLost_ };
}

auto LedgerNode::send(Ticket ticket, LedgerRequest request, LedgerEffects& effects) -> void
{
    request.ticket_ = nextTicket_++;
    tickets_.emplace(request.ticket_, std::move(ticket));
    (request.to_ == self_ ? localRequests_ : effects.requests_).push_back(std::move(request));
}

auto LedgerNode::applyEffects(OwnerEffects&& owner, TimePoint now, LedgerEffects& effects) -> void
{
    const auto append = [](auto& target, auto& source) {
        target.insert(
            target.end(), std::make_move_iterator(source.begin()), std::make_move_iterator(source.end()));
    };
    append(effects.replies_, owner.replies_);
    append(effects.fenceReplies_, owner.fenceReplies_);
    append(effects.ready_, owner.ready_);
    append(effects.withdrawn_, owner.withdrawn_);
    for (auto& [target, outcome] : owner.outcomes_) {
        if (target == self_) {
            handle(outcome, 0, now, effects);
        } else {
            effects.notices_.emplace_back(target, std::move(outcome));
        }
    }
    for (auto& record : owner.requests_) {
        const auto witness = record.ticket_.witness_;
        send(std::move(record.ticket_), { 0, witness, std::move(record.message_), recordTimeout }, effects);
    }
    for (const auto& [witness, shard] : owner.unresponsiveWitnesses_) {
        agent_.onUnresponsiveWitness(witness, shard, now);
    }
}

auto LedgerNode::applyEffects(
    Takeover& takeover, Takeover::Actions&& actions, TimePoint now, LedgerEffects& effects) -> void
{
    const auto& goal = takeover.goal();
    const auto key = shardObjectKey(goal.service_, goal.shard_);
    const auto number = takeovers_.at(goal.shard_).number_;
    for (auto& action : actions) {
        if (auto* request = std::get_if<TakeoverRequest>(&action)) {
            send(TakeoverTicket { goal.shard_, number, request->ticket_ },
                { 0, request->to_, std::move(request->message_), request->timeout_ }, effects);
        } else if (const auto* read = std::get_if<TakeoverRead>(&action)) {
            tickets_.emplace(nextTicket_, TakeoverTicket { goal.shard_, number, read->ticket_ });
            effects.storeReads_.push_back({ nextTicket_++, key });
        } else if (const auto* write = std::get_if<TakeoverWrite>(&action)) {
            tickets_.emplace(nextTicket_, TakeoverTicket { goal.shard_, number, write->ticket_ });
            effects.storeWrites_.push_back(
                { nextTicket_++, key, formatShardRecord(write->record_), write->expectedVersion_ });
        }
    }
    if (takeover.result()) {
        endTakeover(takeover, now, effects);
    }
}

auto LedgerNode::endTakeover(Takeover& ended, TimePoint now, LedgerEffects& effects) -> void
{
    const auto at = takeovers_.find(ended.goal().shard_);
    const auto takeover = std::move(at->second.takeover_);
    takeovers_.erase(at);
    const auto& goal = takeover->goal();
    const auto* activated = std::get_if<TakeoverActivated>(&*takeover->result());
    agent_.onEnded(goal.service_, goal.shard_, activated != nullptr, now);
    if (activated) {
        effects.events_.push_back({ goal.service_, goal.shard_, "activated", "", activated->record_.epoch_ });
        applyEffects(owner_.activate(activated->record_, activated->table_, now), now, effects);
        applyMapRecord(activated->record_, now, effects);
        effects.published_.push_back(activated->record_);
        return;
    }
    const auto& stopped = std::get<TakeoverStopped>(*takeover->result());
    effects.events_.push_back({ goal.service_, goal.shard_, "stopped", stopped.reason_, goal.basis_ });
    if (stopped.adopt_) {
        applyMapRecord(*stopped.adopt_, now, effects);
    }
}

/// Handles the requests that this node has sent to itself until none is left.
auto LedgerNode::handleLocalRequests(TimePoint now, LedgerEffects& effects) -> void
{
    while (!localRequests_.empty()) {
        const auto requests = std::exchange(localRequests_, {});
        for (const auto& request : requests) {
            const auto reply = handle(request.message_, 0, now, effects);
            handleReply(request.ticket_, reply ? &*reply : nullptr, now, effects);
        }
    }
}

auto LedgerNode::handleReply(
    std::uint64_t ticket, const Message* reply, TimePoint now, LedgerEffects& effects) -> void
{
    const auto found = tickets_.find(ticket);
    if (found == tickets_.end()) {
        return;
    }
    if (const auto* record = std::get_if<RecordTicket>(&found->second)) {
        const auto origin = *record;
        tickets_.erase(found);
        const auto* ack = reply ? std::get_if<RecordAck>(reply) : nullptr;
        applyEffects(
            ack ? owner_.onRecordAck(origin, *ack, now) : owner_.onRecordTimeout(origin, now), now, effects);
        return;
    }
    std::uint64_t takeoverTicket = 0;
    if (auto* takeover = consumeTicket(ticket, takeoverTicket)) {
        const auto view = viewOf(*takeover);
        applyEffects(*takeover,
            reply ? takeover->onReply(takeoverTicket, *reply, view, now)
                  : takeover->onFailure(takeoverTicket, view, now),
            now, effects);
    }
}

auto LedgerNode::handle(const Message& message, FenceToken token, TimePoint now, LedgerEffects& effects)
    -> std::optional<Message>
{
    if (const auto* record = std::get_if<RecordStart>(&message)) {
        return witness_.onRecord(*record, now);
    }
    if (const auto* outcome = std::get_if<RecordOutcome>(&message)) {
        witness_.onOutcome(*outcome, now);
        owner_.onOutcome(*outcome, now);
        return std::nullopt;
    }
    if (const auto* fence = std::get_if<Fence>(&message)) {
        if (fence->member_ != fence->owner_) {
            return witness_.onFence(*fence, now);
        }
        applyEffects(owner_.fence(*fence, token, now), now, effects);
        return std::nullopt;
    }
    if (const auto* seal = std::get_if<Seal>(&message)) {
        if (seal->witness_ != seal->owner_) {
            return witness_.onSeal(*seal, now);
        }
        auto [reply, owner] = owner_.onSeal(*seal, now);
        applyEffects(std::move(owner), now, effects);
        return reply;
    }
    if (const auto* install = std::get_if<Install>(&message)) {
        return witness_.onInstall(*install, now);
    }
    if (const auto* commit = std::get_if<Commit>(&message)) {
        return witness_.onCommit(*commit, now);
    }
    return std::nullopt;
}

auto LedgerNode::owner() const -> const OwnerLedger&
{
    return owner_;
}

auto LedgerNode::witness() const -> const WitnessLedger&
{
    return witness_;
}

auto LedgerNode::takeoversInFlight() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return takeovers_.size();
}

} // namespace wagtailhead
