#include "schedule_world.h"

#include <algorithm>

namespace wagtailhead::schedule {

namespace {

constexpr Duration tickInterval = milliseconds(50);
constexpr Duration silenceLimit = milliseconds(2000); ///< After it the membership calls a node dead.

/// Wall clock of all callers and nodes; the keys of the schedules carry no issue time.
const WallClock::time_point wallNow { std::chrono::hours(480000) };

} // namespace

SimNode::SimNode(World& world, std::size_t index, Member member, Duration clockOffset)
    : world_(world)
    , index_(index)
    , member_(std::move(member))
    , clockOffset_(clockOffset)
{
}

auto SimNode::now() const -> TimePoint
{
    return world_.now() + clockOffset_;
}

auto SimNode::start(Incarnation incarnation) -> void
{
    member_.ref_.incarnation_ = incarnation;
    member_.state_ = MemberState::Alive;
    member_.backendUp_ = true;
    up_ = true;
    held_.clear();
    view_.clear();
    heard_.clear();
    calls_.clear();
    waiters_.clear();
    fences_.clear();
    opened_.clear();
    highestEpochs_.clear();
    naive_.clear();
    map_ = std::make_unique<ShardMap>();
    LedgerNodeOptions options;
    // Small pages, so that tables are copied in several parts.
    options.owner_.pageBytes_ = options.witness_.pageBytes_ = options.takeover_.partBytes_ = 600;
    options.agent_.rankDelay_ = world_.rankDelay_;
    ledger_ = std::make_unique<LedgerNode>(member_.ref_, *map_, now(), world_.random_(), options);
    world_.inNode(index_, world_.between(milliseconds(1), tickInterval), [this] {
        tick();
    });
}

auto SimNode::tick() -> void
{
    world_.inNode(index_, tickInterval, [this] {
        tick();
    });
    observeMembers();
    auto members = std::make_shared<MemberList>();
    members->members_ = view_;
    for (const auto& [id, member] : members->members_) {
        members->byService_[member.service_].push_back(&member);
    }
    if (!world_.plan_.naive_) {
        const auto isUsed = member_.service_ == "shop";
        absorb(ledger_->tick(
            { members, member_, isUsed ? world_.shards_ : std::vector<std::string>(), {} }, now()));
        checkEpochs();
    }
    if (world_.chance(0.25)) {
        gossipWith(*world_.nodes_[world_.pick(world_.nodes_.size())]);
    }
    std::vector<int> ids;
    for (const auto& [id, call] : calls_) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        if (const auto call = calls_.find(id); call != calls_.end()) {
            perform(id, call->second.tick(recordOf(world_.calls_[static_cast<std::size_t>(id)].key_), now()));
        }
    }
}

auto SimNode::observeMembers() -> void
{
    for (const auto& peer : world_.nodes_) {
        const auto& id = peer->member_.ref_.id_;
        if (peer.get() == this
            || (peer->up_ && peer->frozenUntil_ <= world_.now() && !world_.isCut(index_, peer->index_))) {
            const auto known = view_.find(id);
            if (known == view_.end() || known->second.ref_.incarnation_ <= peer->member_.ref_.incarnation_) {
                view_[id] = peer->member_;
            }
            heard_[id] = world_.now();
        } else if (view_.contains(id) && world_.now() - heard_[id] > silenceLimit) {
            view_[id].state_ = MemberState::Dead;
        }
        if (peer.get() != this && world_.falseSuspicion()) {
            if (const auto known = view_.find(id); known != view_.end()) {
                known->second.state_ = MemberState::Dead;
            }
        }
    }
}

auto SimNode::gossipWith(SimNode& peer) -> void
{
    if (&peer == this || !peer.up_ || peer.frozenUntil_ > world_.now() || world_.isCut(index_, peer.index_)) {
        return;
    }
    for (const auto& record : map_->list()) {
        peer.absorb(peer.ledger_->onMapRecord(record, peer.now()));
    }
    for (const auto& record : peer.map_->list()) {
        absorb(ledger_->onMapRecord(record, now()));
    }
}

/// An epoch that goes backwards in the map or in the owner's ledger is a violation.
auto SimNode::checkEpochs() -> void
{
    const auto check = [this](const std::string& name, std::uint64_t epoch) {
        auto& highest = highestEpochs_[name];
        if (epoch < highest) {
            world_.violation(
                member_.ref_.id_ + ": epoch of " + name + " went back to " + std::to_string(epoch));
        }
        highest = epoch;
    };
    for (const auto& record : map_->list()) {
        check("map/" + record.shard_, record.epoch_);
    }
    for (const auto& info : ledger_->owner().shards()) {
        check("owner/" + info.record_.shard_, info.record_.epoch_);
    }
}

auto SimNode::absorb(LedgerEffects&& effects) -> void
{
    for (const auto& reply : effects.replies_) {
        if (!answered_.insert(reply.waiter_).second || !waiters_.contains(reply.waiter_)) {
            world_.violation("waiter answered twice");
            continue;
        }
        const auto waiter = waiters_.extract(reply.waiter_);
        waiter.mapped()(reply.answer_, reply.notRunUntil_);
    }
    for (const auto& [token, reply] : effects.fenceReplies_) {
        if (const auto fence = fences_.extract(token)) {
            fence.mapped()(reply);
        }
    }
    for (const auto& key : effects.ready_) {
        dispatch(key);
    }
    for (const auto& request : effects.requests_) {
        world_.request(index_, request, [this, ticket = request.ticket_](const Message* reply) {
            absorb(reply ? ledger_->onReply(ticket, *reply, now()) : ledger_->onFailure(ticket, now()));
        });
    }
    for (const auto& [to, outcome] : effects.notices_) {
        world_.notify(index_, to, outcome);
    }
    for (const auto& read : effects.storeReads_) {
        const auto report = [this, ticket = read.ticket_](const StoreReadResult& result) {
            absorb(ledger_->onStoreRead(ticket, result, now()));
        };
        world_.storeCall(
            *this,
            [this, read, report] {
                return [report, result = world_.store_.read(read.key_, world_.random_)] {
                    report(result);
                };
            },
            [report] {
                report(StoreFailed {});
            });
    }
    for (const auto& write : effects.storeWrites_) {
        const auto report = [this, ticket = write.ticket_](const StoreWriteResult& result) {
            absorb(ledger_->onStoreWrite(ticket, result, now()));
        };
        world_.storeCall(
            *this,
            [this, write, report] {
                const auto result = world_.store_.write(write.key_, write.value_, write.expectedVersion_);
                if (std::holds_alternative<StoreWritten>(result)) {
                    world_.written();
                }
                return [report, result] {
                    report(result);
                };
            },
            [report] {
                report(StoreFailed {});
            });
    }
    for (const auto& event : effects.events_) {
        world_.verdict_.takeovers_ += event.text_ == "activated" ? 1 : 0;
        world_.trace(member_.ref_.id_ + " takeover " + event.shard_ + " " + event.text_ + " " + event.reason_
            + " epoch " + std::to_string(event.epoch_));
    }
}

auto SimNode::receive(const Message& message, std::function<void(Message)> reply) -> void
{
    if (const auto* call = std::get_if<CallRequest>(&message)) {
        if (world_.plan_.naive_) {
            takeNaiveCall(*call, reply);
        } else {
            takeCall(*call, std::move(reply));
        }
        return;
    }
    const auto token = nextToken_++;
    if (std::holds_alternative<Fence>(message)) {
        fences_[token] = reply;
    }
    auto [answer, effects] = ledger_->onMessage(message, token, now());
    if (world_.plan_.trace_) {
        traceTakeover(message, answer);
    }
    if (answer) {
        fences_.erase(token);
        reply(*answer);
    }
    absorb(std::move(effects));
}

auto SimNode::traceTakeover(const Message& message, const std::optional<Message>& answer) -> void
{
    const auto& self = member_.ref_.id_;
    if (const auto* seal = std::get_if<Seal>(&message)) {
        const auto* reply = answer ? std::get_if<SealReply>(&*answer) : nullptr;
        world_.trace(self + " seal " + seal->shard_.shard_ + " epoch " + std::to_string(seal->shard_.epoch_)
            + " of " + seal->owner_.id_ + " for " + seal->candidate_.id_
            + (reply && reply->sealed_ ? " sealed" : " refused"));
    } else if (const auto* commit = std::get_if<Commit>(&message)) {
        const auto* reply = answer ? std::get_if<CommitAck>(&*answer) : nullptr;
        world_.trace(self + " commit " + commit->shard_.shard_ + " epoch "
            + std::to_string(commit->shard_.epoch_) + " of " + commit->members_.owner_.id_
            + (commit->begun_ ? " begun" : "") + (reply && reply->accepted_ ? " accepted" : " refused"));
    }
}

auto SimNode::takeCall(const CallRequest& call, std::function<void(Message)> reply) -> void
{
    const auto waiter = nextToken_++;
    const auto send = [reply, callId = call.callId_](const Answer& answer, TimePoint until) {
        CallReply message;
        message.callId_ = callId;
        message.answer_ = answer;
        message.notRunUntil_ = until;
        reply(message);
    };
    const auto& key = call.context_.idempotencyKey_;
    const auto body = stableHash(call.http_.body_);
    const OnceArrival arrival { call.shard_, key, body, call.attempt_, call.acceptedAt_,
        call.context_.deadline_, waiter };
    waiters_[waiter] = send;
    auto [begun, effects] = world_.mishap(0.1) ? ledger_->refuse(arrival, { 503, "shed" }, now(), wallNow)
                                               : ledger_->begin(arrival, now(), wallNow);
    if (const auto* replay = std::get_if<Replay>(&begun)) {
        waiters_.erase(waiter);
        send(replay->answer_, {});
    } else if (const auto* refused = std::get_if<Refuse>(&begun)) {
        waiters_.erase(waiter);
        send({ refused->outcome_, refused->status_, refused->reason_, {}, {} }, refused->notRunUntil_);
    } else if (const auto* recording = std::get_if<StartRecording>(&begun)) {
        opened_[key] = { body, world_.calls_[call.attempt_.number_].acceptedAt_ };
        if (recording->ready_) {
            dispatch({ call.shard_.service_, call.shard_.shard_, key });
        }
    }
    absorb(std::move(effects));
}

/// Waits for a slot, then starts the execution if the ledger still allows it.
auto SimNode::dispatch(const KeyRef& key) -> void
{
    const auto queueTime = world_.between(Duration::zero(), milliseconds(world_.mishap(0.1) ? 800 : 15));
    world_.inNode(index_, queueTime, [this, key] {
        if (world_.mishap(0.03)) {
            absorb(ledger_->abandon(key, { 503, "dropped" }, now()));
        }
        if (!ledger_->mayDispatch(key, now())) {
            return;
        }
        if (world_.mishap(0.03)) {
            absorb(ledger_->finish(key, { Outcome::NotRun, 503, "not-connected", {}, {} }, now()));
            return;
        }
        // The process may be frozen between the decision and the request to the backend server.
        runOnBackend(key, [this, key](const Answer& answer) {
            absorb(ledger_->finish(key, answer, now()));
        });
    });
}

auto SimNode::runOnBackend(const KeyRef& key, std::function<void(Answer)> done) -> void
{
    const auto [body, acceptedAt] = opened_[key.key_];
    const auto answer = world_.executed(key.key_, body, acceptedAt);
    const auto isLost = world_.mishap(0.03);
    const auto time = world_.between(milliseconds(5), milliseconds(world_.mishap(0.1) ? 4000 : 100));
    world_.inNode(index_, time, [done = std::move(done), answer, isLost] {
        done(isLost ? Answer { Outcome::Unknown, 504, ledger_reason::executionLost, {}, {} } : answer);
    });
}

auto SimNode::takeNaiveCall(const CallRequest& call, const std::function<void(Message)>& reply) -> void
{
    const auto& key = call.context_.idempotencyKey_;
    auto& known = naive_[key];
    if (known.finished_) {
        reply(CallReply { call.callId_, known.answer_, {}, {}, {}, 0, false, {} });
        return;
    }
    known.waiting_.push_back(reply);
    if (known.waiting_.size() > 1) {
        return;
    }
    opened_[key] = { stableHash(call.http_.body_), world_.calls_[call.attempt_.number_].acceptedAt_ };
    runOnBackend({ "shop", "", key }, [this, key](const Answer& answer) {
        auto& finished = naive_[key];
        finished.finished_ = true;
        finished.answer_ = answer;
        for (const auto& waiting : std::exchange(finished.waiting_, {})) {
            waiting(CallReply { 0, answer, {}, {}, {}, 0, false, {} });
        }
    });
}

auto SimNode::recordOf(const std::string& key) const -> OnceCall::Record
{
    const auto shard = shardOfKey(key, world_.topology_);
    if (!world_.plan_.naive_) {
        return map_->find("shop", shard);
    }
    MemberList members;
    members.members_ = view_;
    for (const auto& [id, member] : members.members_) {
        members.byService_[member.service_].push_back(&member);
    }
    const auto ranked = rankCandidates("shop", shard, members);
    if (ranked.empty()) {
        return std::nullopt;
    }
    return ShardRecord { "shop", shard, 1, ranked.front()->ref_, {}, 0 };
}

auto SimNode::accept(int callId) -> void
{
    auto& call = world_.calls_[static_cast<std::size_t>(callId)];
    call.attempt_ = { member_.ref_, static_cast<std::uint64_t>(callId) };
    call.acceptedAt_ = world_.now();
    const ShardRef shard { "shop", shardOfKey(call.key_, world_.topology_), 0 };
    const auto [at, added] = calls_.try_emplace(callId, shard, call.key_,
        stableHash(std::to_string(call.body_)), call.attempt_, now(), now() + call.deadline_);
    perform(callId, at->second.start(recordOf(call.key_), now()));
}

auto SimNode::perform(int callId, OnceCall::Actions&& actions) -> void
{
    const auto& call = world_.calls_[static_cast<std::size_t>(callId)];
    const auto withCall = [this, callId](auto&& step) {
        if (const auto at = calls_.find(callId); at != calls_.end()) {
            perform(callId, step(at->second, recordOf(world_.calls_[static_cast<std::size_t>(callId)].key_)));
        }
    };
    for (const auto& action : actions) {
        if (const auto* send = std::get_if<SendOnceCall>(&action)) {
            CallRequest message;
            message.callId_ = static_cast<std::uint64_t>(callId);
            message.target_ = send->owner_;
            message.attempt_ = call.attempt_;
            message.context_.idempotencyKey_ = call.key_;
            message.context_.deadline_ = send->deadline_;
            message.shard_ = send->shard_;
            message.acceptedAt_ = call.acceptedAt_ + clockOffset_;
            message.http_.body_ = std::to_string(call.body_);
            world_.request(index_, { 0, send->owner_, message, call.deadline_ },
                [this, withCall, ticket = send->ticket_](const Message* reply) {
                    withCall([&](OnceCall& once, const OnceCall::Record& record) {
                        const auto* answered = reply ? std::get_if<CallReply>(reply) : nullptr;
                        return answered
                            ? once.onReply(ticket, answered->answer_, answered->notRunUntil_, record, now())
                            : once.onFailure(ticket, record, now());
                    });
                });
        } else if (const auto* fence = std::get_if<SendFence>(&action)) {
            world_.request(index_, { 0, fence->to_, fence->message_, fence->timeout_ },
                [this, withCall, ticket = fence->ticket_](const Message* reply) {
                    withCall([&](OnceCall& once, const OnceCall::Record& record) {
                        const auto* answered = reply ? std::get_if<FenceReply>(reply) : nullptr;
                        return answered ? once.onFenceReply(ticket, *answered, record, now())
                                        : once.onFailure(ticket, record, now());
                    });
                });
        } else {
            calls_.erase(callId);
            world_.told(callId, std::get<TellCaller>(action).answer_);
            return;
        }
    }
}

} // namespace wagtailhead::schedule
