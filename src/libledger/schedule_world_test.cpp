#include "schedule_world.h"

#include <algorithm>
#include <cstdio>

namespace wagtailhead::schedule {

namespace {

constexpr std::size_t shopNodes = 5;
/// Shards are created about 3 s after the start.
constexpr Duration firstCall = seconds(4);
constexpr Duration shortTime = seconds(14);
constexpr Duration longTime = seconds(110); ///< Some schedules outlive every block and deadline.
/// After the last fault everything has to come back within this time, which some schedules wait for.
constexpr Duration recoveryTime = seconds(25);
constexpr Duration probeTime = seconds(6);

auto sameAnswer(const Answer& left, const Answer& right) -> bool
{
    return left.outcome_ == right.outcome_ && left.status_ == right.status_ && left.headers_ == right.headers_
        && left.body_ == right.body_;
}

auto seedOf(std::uint64_t seed) -> std::uint64_t
{
    return stableHash(std::to_string(seed));
}

} // namespace

auto run(const Plan& plan) -> Verdict
{
    return World(plan).run();
}

World::World(const Plan& plan)
    : random_(seedOf(plan.seed_))
    , plan_(plan)
    , topology_({ { "a", { "a1", "a2" } }, { "b", { "b1" } } })
    , now_(TimePoint(seconds(1000)))
{
}

auto World::now() const -> TimePoint
{
    return now_;
}

auto World::chance(double probability) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

auto World::between(Duration low, Duration high) -> Duration
{
    return Duration(
        std::uniform_int_distribution<Duration::rep>(low.count(), std::max(low, high).count())(random_));
}

auto World::pick(std::size_t count) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

auto World::mishap(double probability) -> bool
{
    return !isCalm_ && chance(probability);
}

auto World::falseSuspicion() -> bool
{
    return suspicion_ > 0 && chance(suspicion_);
}

auto World::trace(const std::string& text) -> void
{
    if (plan_.trace_) {
        std::fprintf(
            stderr, "%9.3f %s\n", toMilliseconds(now_.time_since_epoch()) / 1000 - 1000, text.c_str());
    }
}

auto World::violation(const std::string& text) -> void
{
    trace("VIOLATION " + text);
    verdict_.violations_.push_back(text);
}

auto World::at(TimePoint time, std::function<void()> event) -> void
{
    events_.push(
        { std::max(time, now_), nextOrder_++, std::make_shared<std::function<void()>>(std::move(event)) });
}

auto World::inNode(std::size_t index, Duration delay, std::function<void()> event) -> void
{
    at(now_ + delay,
        [this, index, incarnation = nodes_[index]->member_.ref_.incarnation_, event = std::move(event)] {
            auto& node = *nodes_[index];
            if (!node.up_ || node.member_.ref_.incarnation_ != incarnation) {
                return;
            }
            if (node.frozenUntil_ > now_) {
                node.held_.push_back(event);
            } else {
                event();
            }
        });
}

auto World::isCut(std::size_t from, std::size_t to) const -> bool
{
    return cuts_.contains({ from, to });
}

auto World::latency() -> Duration
{
    if (chance(slowness_)) {
        return between(milliseconds(1), milliseconds(chance(0.2) ? 5000 : 400));
    }
    return between(microseconds(100), milliseconds(3));
}

/// Converts the times of a message to the receiver's clock. The estimate is up to 50 ms too early, or too
/// late by less than the slack that the protocol allows.
auto World::redated(const Message& message, const SimNode& from, const SimNode& to) -> Message
{
    const auto shift = to.clockOffset_ - from.clockOffset_ - between(-datingSlack / 2, milliseconds(50));
    const auto move = [shift](TimePoint& time) {
        if (time != TimePoint::max() && time != TimePoint()) {
            time += shift;
        }
    };
    auto moved = message;
    if (auto* call = std::get_if<CallRequest>(&moved)) {
        move(call->acceptedAt_);
        move(call->context_.deadline_);
    } else if (auto* reply = std::get_if<CallReply>(&moved)) {
        move(reply->notRunUntil_);
    } else if (auto* record = std::get_if<RecordStart>(&moved)) {
        move(record->acceptedAt_);
    } else if (auto* fence = std::get_if<FenceReply>(&moved)) {
        move(fence->validUntil_);
    }
    return moved;
}

/// Sends a message that may be lost, duplicated and overtaken. Returns whether it is under way.
auto World::deliver(
    std::size_t from, const NodeRef& to, const Message& message, std::function<void(Message)> reply) -> bool
{
    const auto target = static_cast<std::size_t>(std::stoul(to.id_.substr(1)));
    auto& receiver = *nodes_[target];
    const auto isCurrent = receiver.up_ && receiver.member_.ref_ == to;
    // Mostly a connection to another incarnation fails; the protocol must not depend on it.
    if (from != target
        && (isCut(from, target) || chance(loss_) || (!isCurrent && !(receiver.up_ && chance(0.5))))) {
        return false;
    }
    const auto copies = from != target && chance(duplication_) ? 2 : 1;
    const auto moved = redated(message, *nodes_[from], receiver);
    for (int copy = 0; copy < copies; ++copy) {
        const auto delay = from == target ? microseconds(10) : latency();
        inNode(target, delay, [this, from, target, moved, reply] {
            if (from == target || !isCut(from, target)) {
                nodes_[target]->receive(moved, reply);
            }
        });
    }
    return true;
}

auto World::request(std::size_t from, const LedgerRequest& request, std::function<void(const Message*)> done)
    -> void
{
    auto isDone = std::make_shared<bool>(false);
    const auto once = [isDone, done = std::move(done)](const Message* reply) {
        if (!*isDone) {
            *isDone = true;
            done(reply);
        }
    };
    const auto target = static_cast<std::size_t>(std::stoul(request.to_.id_.substr(1)));
    const auto incarnation = nodes_[from]->member_.ref_.incarnation_;
    const auto answer = [this, from, target, incarnation, once](const Message& reply) {
        if (from != target && (isCut(target, from) || chance(loss_))) {
            return;
        }
        if (nodes_[from]->member_.ref_.incarnation_ != incarnation) {
            return;
        }
        const auto moved = redated(reply, *nodes_[target], *nodes_[from]);
        const auto copies = chance(duplication_) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            inNode(from, latency(), [once, moved] {
                once(&moved);
            });
        }
    };
    const auto isUnderWay = deliver(from, request.to_, request.message_, answer);
    const auto limit = isUnderWay
        ? request.timeout_
        : between(milliseconds(1), std::min(request.timeout_, Duration(milliseconds(1500))));
    inNode(from, limit, [once] {
        once(nullptr);
    });
}

auto World::notify(std::size_t from, const NodeRef& to, const Message& message) -> void
{
    deliver(from, to, message, [](const Message&) {});
}

auto World::storeCall(
    SimNode& node, std::function<std::function<void()>()> effect, std::function<void()> fail) -> void
{
    const auto index = node.index_;
    const auto isSlow = chance(0.02);
    const auto incarnation = node.member_.ref_.incarnation_;
    at(now_ + latency(),
        [this, index, incarnation, isSlow, effect = std::move(effect), fail = std::move(fail)] {
            const auto& caller = *nodes_[index];
            const auto isReached = !store_.outage_ && !caller.storeCut_;
            // A request may take effect although its caller has crashed or gives up waiting.
            const auto report = isReached ? effect() : std::function<void()>();
            if (!caller.up_ || caller.member_.ref_.incarnation_ != incarnation) {
                return;
            }
            const auto isLost = !report || isSlow || chance(store_.loseAnswers_);
            inNode(index, isLost ? milliseconds(200) : latency(), [report, fail, isLost] {
                if (isLost) {
                    fail();
                } else {
                    report();
                }
            });
        });
}

auto World::call(std::size_t entry, const std::string& key, std::uint64_t body, Duration deadline,
    int repeats, bool probe) -> void
{
    if (!nodes_[entry]->up_) {
        return;
    }
    const auto id = static_cast<int>(calls_.size());
    calls_.push_back({ key, body, {}, entry, {}, deadline, false, probe, repeats });
    inNode(entry, Duration::zero(), [this, entry, id] {
        nodes_[entry]->accept(id);
    });
}

auto World::told(int callId, const Answer& answer) -> void
{
    auto& call = calls_[static_cast<std::size_t>(callId)];
    if (call.told_) {
        violation("caller answered twice");
    }
    call.told_ = true;
    trace("told " + call.key_ + "/" + std::to_string(call.body_) + " call " + std::to_string(callId) + " "
        + outcomeName(answer.outcome_) + " " + answer.reason_);
    const auto& runs = executions_[call.key_];
    if (answer.outcome_ == Outcome::Completed) {
        ++verdict_.completed_;
        verdict_.probesCompleted_ += call.probe_ ? 1 : 0;
        if (runs.empty() || runs.front().body_ != stableHash(std::to_string(call.body_))
            || !sameAnswer(runs.front().answer_, answer)) {
            violation(call.key_ + ": the answer is not the whole first answer to this request");
        }
        return;
    }
    if (answer.outcome_ == Outcome::NotRun) {
        ++verdict_.notRun_;
        const auto body = stableHash(std::to_string(call.body_));
        const auto isOtherBody = answer.reason_ == ledger_reason::keyReused;
        const auto hasRun = std::any_of(runs.begin(), runs.end(), [&](const Execution& run) {
            return !isOtherBody || run.body_ == body;
        });
        if (hasRun) {
            violation(call.key_ + ": told not-run after it ran");
        }
        if (isOtherBody) {
            bodyRefused_[{ call.key_, body }] = now_;
        } else {
            notRunTold_[call.key_] = now_;
        }
    } else {
        ++verdict_.unknown_;
    }
    if (call.repeatsLeft_ > 0) {
        const auto pause = between(milliseconds(5), milliseconds(chance(0.2) ? 10000 : 500));
        at(now_ + pause, [this, repeated = call] {
            World::call(pick(nodes_.size()), repeated.key_, repeated.body_, repeated.deadline_,
                repeated.repeatsLeft_ - 1, false);
        });
    }
}

auto World::executed(const std::string& key, std::uint64_t body, TimePoint acceptedAt) -> Answer
{
    auto& runs = executions_[key];
    ++verdict_.executions_;
    Answer answer { Outcome::Completed, 200, {}, { { "Run", std::to_string(verdict_.executions_) } },
        "answer " + std::to_string(verdict_.executions_) + " to " + key };
    trace("executes " + key);
    if (runs.size() == 1) {
        ++verdict_.duplicates_;
    }
    if (!runs.empty()) {
        violation(key + ": executed twice");
    }
    const auto told = notRunTold_.find(key);
    const auto refused = bodyRefused_.find({ key, body });
    if ((told != notRunTold_.end() && acceptedAt < told->second)
        || (refused != bodyRefused_.end() && acceptedAt < refused->second)) {
        violation(key + ": an attempt accepted before a not-run answer ran after it");
    }
    runs.push_back({ body, now_, answer });
    return answer;
}

auto World::buildFleet() -> void
{
    const std::vector<std::pair<std::string, std::string>> places { { "a", "a1" }, { "a", "a2" },
        { "b", "b1" } };
    const auto others = pick(3);
    for (std::size_t index = 0; index < shopNodes + others; ++index) {
        const auto& [region, zone] = places[index % places.size()];
        Member member;
        member.ref_.id_ = "n" + std::to_string(index);
        member.zone_ = zone;
        member.region_ = region;
        member.service_ = index < shopNodes ? "shop" : "other";
        nodes_.push_back(std::make_unique<SimNode>(
            *this, index, member, between(Duration::zero(), std::chrono::hours(1000))));
    }
    rankDelay_ = milliseconds(chance(0.5) ? 1500 : chance(0.5) ? 100 : 0);
    for (auto& node : nodes_) {
        node->start(nextIncarnation_++);
    }
    shards_ = { "g/0", chance(0.5) ? "z/a1/0" : "r/a/0" };
}

/// Plans calls for new keys: several attempts of each through any nodes, some at the same time.
auto World::planCalls(TimePoint from, Duration span, std::size_t keys) -> void
{
    while (keys > 0) {
        const auto number = nextKey_++;
        const auto key = (number % 3 == 0 ? "a1:" : number % 3 == 1 ? "a:" : "") + std::to_string(number);
        if (std::find(shards_.begin(), shards_.end(), shardOfKey(key, topology_)) == shards_.end()) {
            continue;
        }
        --keys;
        auto time = from + between(Duration::zero(), span);
        const auto attempts = 1 + pick(4);
        for (std::size_t attempt = 0; attempt < attempts; ++attempt) {
            const std::uint64_t body = chance(0.05) ? 2 : 1;
            const auto deadline
                = chance(0.1) ? between(seconds(3), seconds(60)) : between(milliseconds(200), seconds(3));
            const auto repeats = static_cast<int>(pick(4));
            at(time, [this, key, body, deadline, repeats] {
                call(pick(nodes_.size()), key, body, deadline, repeats, false);
            });
            time += between(Duration::zero(), chance(0.6) ? Duration(milliseconds(30)) : span);
        }
    }
}

auto World::planIncidents() -> void
{
    loss_ = chance(0.4) ? 0.02 : 0;
    duplication_ = chance(0.4) ? 0.05 : 0;
    slowness_ = chance(0.4) ? 0.1 : 0;
    suspicion_ = chance(0.3) ? 0.001 : 0;
    forgetsWrites_ = chance(0.3);
    forgetfulness_ = forgetsWrites_ ? 0.5 : 0;
    const auto incidents = 1 + pick(4);
    for (std::size_t incident = 0; incident < incidents; ++incident) {
        at(now_ + between(milliseconds(3500), firstCall + faultTime_ - seconds(3)), [this] {
            beginIncident();
        });
    }
    planCalls(now_ + firstCall, faultTime_, 3);
    at(now_ + firstCall + faultTime_, [this] {
        endAllFaults();
    });
}

/// Lets faults hit the members of one shard at about the same time, while its keys are being called.
auto World::beginIncident() -> void
{
    const auto members = membersOf(shards_[pick(shards_.size())]);
    const auto faults = 1 + pick(3);
    for (std::size_t fault = 0; fault < faults; ++fault) {
        const auto index
            = members.empty() || chance(0.2) ? pick(nodes_.size()) : members[pick(members.size())];
        const auto delay = chance(0.5) ? Duration::zero() : between(Duration::zero(), seconds(4));
        at(now_ + delay, [this, index, members] {
            disturb(index, members);
        });
    }
    planCalls(now_, seconds(6), 4);
}

/// Returns the nodes of the newest epoch of a shard, the owner first.
auto World::membersOf(const std::string& shard) const -> std::vector<std::size_t>
{
    std::vector<std::size_t> members;
    std::uint64_t newest = 0;
    for (const auto& node : nodes_) {
        const auto record = node->map_->find("shop", shard);
        if (record && record->epoch_ > newest) {
            newest = record->epoch_;
            members = { std::stoul(record->owner_.id_.substr(1)) };
            for (const auto& witness : record->witnesses_) {
                members.push_back(std::stoul(witness.id_.substr(1)));
            }
        }
    }
    return members;
}

auto World::disturb(std::size_t index, const std::vector<std::size_t>& members) -> void
{
    if (isCalm_) {
        return;
    }
    auto& node = *nodes_[index];
    switch (pick(9)) {
    case 0:
    case 1:
    case 2:
        if (!forgetsWrites_) {
            cutNetwork(index, members);
        }
        break;
    case 3:
    case 4:
        freeze(node);
        break;
    case 5:
        crash(node);
        break;
    case 6:
        leave(node);
        break;
    case 7:
        node.member_.backendUp_ = !node.member_.backendUp_;
        trace(node.member_.ref_.id_ + (node.member_.backendUp_ ? " backend up" : " backend down"));
        break;
    default:
        disturbStore();
        break;
    }
}

/// Cuts a zone, a node or a pair of members off, sometimes in one direction only, sometimes from the store.
auto World::cutNetwork(std::size_t centre, const std::vector<std::size_t>& members) -> void
{
    std::set<std::size_t> inside;
    const auto kind = pick(3);
    for (const auto& node : nodes_) {
        const auto isInside
            = kind == 0 ? node->member_.zone_ == nodes_[centre]->member_.zone_ : node->index_ == centre;
        if (isInside) {
            inside.insert(node->index_);
        }
    }
    const auto isStoreCut = kind != 2 && chance(0.5);
    const auto isOneWay = chance(0.2);
    const auto other = members.empty() ? pick(nodes_.size()) : members[pick(members.size())];
    std::set<std::pair<std::size_t, std::size_t>> added;
    for (const auto from : inside) {
        nodes_[from]->storeCut_ = nodes_[from]->storeCut_ || isStoreCut;
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            if (!inside.contains(to) && (kind != 2 || to == other)) {
                added.emplace(from, to);
                if (!isOneWay) {
                    added.emplace(to, from);
                }
            }
        }
    }
    trace("cut of kind " + std::to_string(kind) + " around " + nodes_[centre]->member_.ref_.id_);
    cuts_.insert(added.begin(), added.end());
    at(now_ + between(milliseconds(200), seconds(chance(0.3) ? 30 : 6)), [this, added, inside] {
        for (const auto& cut : added) {
            cuts_.erase(cut);
        }
        for (const auto index : inside) {
            nodes_[index]->storeCut_ = false;
        }
    });
}

auto World::leave(SimNode& node) -> void
{
    if (!node.up_) {
        return;
    }
    node.member_.state_ = MemberState::Leaving;
    trace(node.member_.ref_.id_ + " leaves");
    at(now_ + between(seconds(2), seconds(8)), [this, &node, ref = node.member_.ref_] {
        if (node.member_.ref_ == ref) {
            crash(node);
        }
    });
}

auto World::freeze(SimNode& node) -> void
{
    const auto time = between(milliseconds(100), seconds(chance(0.2) ? 80 : 6));
    node.frozenUntil_ = std::max(node.frozenUntil_, now_ + time);
    trace(node.member_.ref_.id_ + " freezes for " + std::to_string(toMilliseconds(time)) + " ms");
    at(node.frozenUntil_, [this, index = node.index_] {
        thaw(index);
    });
}

/// Lets a node go on. What came in the meantime is handled in any order.
auto World::thaw(std::size_t index) -> void
{
    auto& node = *nodes_[index];
    if (node.frozenUntil_ > now_) {
        return;
    }
    trace(node.member_.ref_.id_ + " goes on");
    auto held = std::exchange(node.held_, {});
    std::shuffle(held.begin(), held.end(), random_);
    for (auto& event : held) {
        inNode(index, Duration::zero(), std::move(event));
    }
}

auto World::crash(SimNode& node) -> void
{
    if (!node.up_) {
        return;
    }
    trace(node.member_.ref_.id_ + " crashes");
    node.up_ = false;
    node.frozenUntil_ = {};
    at(now_ + between(milliseconds(100), seconds(8)), [this, &node] {
        trace(node.member_.ref_.id_ + " starts again");
        node.start(nextIncarnation_++);
    });
}

auto World::disturbStore() -> void
{
    const auto end = now_ + between(milliseconds(200), seconds(8));
    switch (pick(forgetsWrites_ ? 4 : 3)) {
    case 0:
        store_.outage_ = true;
        at(end, [this] {
            store_.outage_ = false;
        });
        break;
    case 1:
        store_.staleReads_ = true;
        at(end, [this] {
            store_.staleReads_ = false;
        });
        break;
    case 2:
        store_.loseAnswers_ = 0.5;
        at(end, [this] {
            store_.loseAnswers_ = 0;
        });
        break;
    default:
        trace("store rolls back");
        store_.rollBack(
            store_.version() - std::min(store_.version(), std::uint64_t { 1 } + pick(4)), chance(0.5));
        break;
    }
}

auto World::endAllFaults() -> void
{
    trace("faults end");
    isCalm_ = true;
    cuts_.clear();
    loss_ = duplication_ = slowness_ = suspicion_ = 0;
    store_.outage_ = store_.staleReads_ = false;
    store_.loseAnswers_ = 0;
    for (const auto& node : nodes_) {
        node->storeCut_ = false;
        if (node->frozenUntil_ > now_) {
            node->frozenUntil_ = now_;
            thaw(node->index_);
        }
        node->member_.backendUp_ = true;
        if (node->member_.state_ == MemberState::Leaving) {
            crash(*node);
        }
    }
}

auto World::written() -> void
{
    if (!isCalm_ && chance(forgetfulness_)) {
        at(now_ + between(Duration::zero(), milliseconds(chance(0.5) ? 30 : 1500)), [this] {
            if (!isCalm_ && store_.version() > 0) {
                trace("store forgets its last write");
                store_.rollBack(store_.version() - 1, chance(0.5));
            }
        });
    }
}

/// One node learns changes of the store by watching it.
auto World::watchStore() -> void
{
    at(now_ + milliseconds(300), [this] {
        watchStore();
    });
    auto& agent = *nodes_[pick(nodes_.size())];
    if (store_.outage_ || agent.storeCut_ || !agent.up_ || agent.frozenUntil_ > now_) {
        return;
    }
    for (const auto& value : store_.all()) {
        const auto record = parseShardRecord(value);
        agent.absorb(agent.ledger_->onMapRecord(valueOf(record), agent.now()));
    }
}

auto World::probe() -> void
{
    for (const auto& shard : shards_) {
        for (int number = 1000;; ++number) {
            const auto key = (shard[0] == 'z' ? "a1:" : shard[0] == 'r' ? "a:" : "") + std::to_string(number);
            if (shardOfKey(key, topology_) == shard) {
                ++verdict_.probes_;
                call(pick(nodes_.size()), key, 1, seconds(5), 0, true);
                break;
            }
        }
    }
}

auto World::run() -> Verdict
{
    faultTime_ = chance(0.08) ? longTime : shortTime;
    const auto isProbed = chance(0.25);
    const auto end = now_ + firstCall + faultTime_ + (isProbed ? recoveryTime + probeTime : seconds(1));
    buildFleet();
    planIncidents();
    if (!plan_.naive_) {
        watchStore();
    }
    if (isProbed) {
        at(end - probeTime, [this] {
            probe();
        });
    }
    while (!events_.empty() && events_.top().time_ < end) {
        const auto event = events_.top();
        events_.pop();
        now_ = event.time_;
        (*event.action_)();
    }
    checkEnd(end);
    return verdict_;
}

/// Returns whether the newest epoch of a shard has lost every member whose seal would do.
auto World::isLost(const std::string& shard) const -> bool
{
    ShardRecord newest;
    for (const auto& node : nodes_) {
        const auto record = node->map_->find("shop", shard);
        if (record && record->epoch_ > newest.epoch_) {
            newest = *record;
        }
    }
    const auto isUp = [this](const NodeRef& member) {
        return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
            return node->up_ && node->member_.ref_ == member;
        });
    };
    return newest.epoch_ != 0 && !isUp(newest.owner_)
        && std::none_of(newest.witnesses_.begin(), newest.witnesses_.end(), isUp);
}

auto World::checkEnd(TimePoint end) -> void
{
    for (const auto& call : calls_) {
        const auto& entry = *nodes_[call.entry_];
        const auto isOver = call.acceptedAt_ + call.deadline_ + seconds(1) < end;
        if (!call.told_ && isOver && entry.up_ && call.attempt_.entry_ == entry.member_.ref_) {
            violation(call.key_ + ": a caller was never answered");
        }
    }
    if (plan_.naive_) {
        return;
    }
    for (const auto& shard : shards_) {
        if (verdict_.probes_ == 0) {
            break;
        }
        verdict_.lostShards_ += isLost(shard) ? 1 : 0;
    }
    if (verdict_.probesCompleted_ + verdict_.lostShards_ < verdict_.probes_) {
        violation("a shard that has members left did not come back");
    }
}

} // namespace wagtailhead::schedule
