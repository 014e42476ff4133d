#include "ledger_service.h"

#include "body_hash.h"
#include "call_sender.h"
#include "once_sender.h"
#include "wagtailhead/log.h"
#include "wagtailhead/metrics.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

constexpr Duration tickInterval = milliseconds(50);
/// Without waiters and takeovers only the need for a takeover has to be noticed.
constexpr Duration idleTickInterval = milliseconds(200);
/// No execution outlives the longest deadline by much; what is older was given up without a report.
constexpr Duration executionLife = 2 * longestDeadline;
constexpr Duration forgetInterval = seconds(5);

auto arrivalOf(const CallRequest& call, WaiterId waiter) -> OnceArrival
{
    OnceArrival arrival;
    arrival.shard_ = call.shard_;
    arrival.key_ = call.context_.idempotencyKey_;
    arrival.bodyHash_ = bodyHashOf(call.http_);
    arrival.attempt_ = call.attempt_;
    arrival.acceptedAt_ = call.acceptedAt_;
    arrival.deadline_ = call.context_.deadline_;
    arrival.waiter_ = waiter;
    return arrival;
}

/// Copies the request id of a request into its reply.
auto setReplyId(Message& reply, const Message& request) -> void
{
    std::uint64_t id = 0;
    std::visit(
        [&](const auto& body) {
            if constexpr (requires { body.requestId_; }) {
                id = body.requestId_;
            }
        },
        request);
    std::visit(
        [&](auto& body) {
            if constexpr (requires { body.requestId_; }) {
                body.requestId_ = id;
            }
        },
        reply);
}

/// Tables that are copied between nodes go over the bulk connection, so that records do not wait.
auto channelFor(const Message& message) -> PeerChannel
{
    return std::holds_alternative<RecordStart>(message) ? PeerChannel::Normal : PeerChannel::Bulk;
}

} // namespace

LedgerService::LedgerService(LedgerServiceParts parts, std::uint64_t seed)
    : parts_(std::move(parts))
    , ledger_(parts_.self_, parts_.shards_, Clock::now(), seed)
    , timer_(parts_.context_)
{
}

LedgerService::~LedgerService() = default;

auto LedgerService::start() -> void
{
    tick();
}

auto LedgerService::tick() -> void
{
    const auto now = Clock::now();
    const auto members = parts_.members_.snapshot();
    if (const auto* self = members->find(parts_.self_.id_)) {
        apply(
            ledger_.tick({ members, *self, ownShardNames(), parts_.config_.current()->lost_.byNode() }, now));
    }
    forgetOldExecutions(now);
    timer_.expires_after(isIdle() ? idleTickInterval : tickInterval);
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

auto LedgerService::isIdle() const -> bool
{
    if (ledger_.takeoversInFlight() > 0) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    return waiters_.empty();
}

auto LedgerService::ownShardNames() const -> std::vector<std::string>
{
    const auto config = parts_.config_.current();
    if (!config->isComplete() || !config->classes_->hasOnce(parts_.service_)) {
        return {};
    }
    return allShards(topologyOf(*config->links_));
}

// Calls of the executor

auto LedgerService::keyOf(const CallRequest& call) -> KeyRef
{
    return { call.shard_.service_, call.shard_.shard_, call.context_.idempotencyKey_ };
}

auto LedgerService::begin(const CallRequest& call, std::optional<Answer> refusal, Events events) -> void
{
    const auto key = keyOf(call);
    const auto now = Clock::now();
    const auto arrival = arrivalOf(call, nextId_++);
    {
        const std::lock_guard lock(mutex_);
        waiters_[arrival.waiter_] = events;
    }
    auto [result, effects] = refusal
        ? ledger_.refuse(arrival, { refusal->status_, refusal->reason_ }, now, WallClock::now())
        : ledger_.begin(arrival, now, WallClock::now());
    if (std::holds_alternative<StartRecording>(result) || std::holds_alternative<Join>(result)) {
        // If the key is not running yet, it runs for the newest waiter, whose deadline is the latest.
        setExecution(key, events, now);
        apply(std::move(effects));
        const auto* start = std::get_if<StartRecording>(&result);
        if (start && start->ready_) {
            events.onReady_();
        }
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        waiters_.erase(arrival.waiter_);
    }
    apply(std::move(effects));
    if (const auto* replay = std::get_if<Replay>(&result)) {
        events.onAnswer_(replay->answer_, TimePoint::max());
        return;
    }
    const auto& refused = std::get<Refuse>(result);
    events.onAnswer_({ refused.outcome_, refused.status_, refused.reason_, {}, {} }, refused.notRunUntil_);
}

auto LedgerService::mayDispatch(const CallRequest& call) -> bool
{
    return ledger_.mayDispatch(keyOf(call), Clock::now());
}

auto LedgerService::refused(const CallRequest& call, const Answer& refusal) -> void
{
    apply(ledger_.abandon(keyOf(call), { refusal.status_, refusal.reason_ }, Clock::now()));
}

auto LedgerService::finished(const CallRequest& call, const Answer& answer) -> void
{
    const auto key = keyOf(call);
    apply(ledger_.finish(key, answer, Clock::now()));
    const std::lock_guard lock(mutex_);
    executions_.erase(key);
}

auto LedgerService::setExecution(const KeyRef& key, const Events& events, TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    executions_[key] = { events, now };
}

auto LedgerService::eventsOf(const KeyRef& key) -> std::optional<Events>
{
    const std::lock_guard lock(mutex_);
    const auto found = executions_.find(key);
    return found == executions_.end() ? std::nullopt : std::optional(found->second.events_);
}

auto LedgerService::forgetOldExecutions(TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    if (now < nextForget_) {
        return;
    }
    nextForget_ = now + forgetInterval;
    std::erase_if(executions_, [now](const auto& entry) {
        return now - entry.second.since_ > executionLife;
    });
}

// Effects of the ledger

auto LedgerService::apply(LedgerEffects effects) -> void
{
    for (auto& request : effects.requests_) {
        send(std::move(request));
    }
    for (auto& [to, notice] : effects.notices_) {
        sendNotice(to, std::move(notice));
    }
    for (const auto& read : effects.storeReads_) {
        parts_.store_.read(read.key_, [this, ticket = read.ticket_](const StoreReadResult& result) {
            apply(ledger_.onStoreRead(ticket, result, Clock::now()));
        });
    }
    for (const auto& write : effects.storeWrites_) {
        parts_.store_.write(write.key_, write.value_, write.expectedVersion_,
            [this, ticket = write.ticket_](const StoreWriteResult& result) {
                apply(ledger_.onStoreWrite(ticket, result, Clock::now()));
            });
    }
    for (const auto& record : effects.published_) {
        parts_.publish_(shardItem(record));
    }
    for (const auto& event : effects.events_) {
        log(event);
    }
    for (const auto& key : effects.withdrawn_) {
        if (const auto events = eventsOf(key)) {
            events->onWithdrawn_();
        }
    }
    for (auto& reply : effects.replies_) {
        answerWaiter(std::move(reply));
    }
    for (auto& [token, reply] : effects.fenceReplies_) {
        answerFence(token, std::move(reply));
    }
    for (const auto& key : effects.ready_) {
        if (const auto events = eventsOf(key)) {
            events->onReady_();
        }
    }
}

auto LedgerService::answerWaiter(WaiterReply reply) -> void
{
    std::optional<Events> events;
    {
        const std::lock_guard lock(mutex_);
        auto node = waiters_.extract(reply.waiter_);
        if (!node.empty()) {
            events = std::move(node.mapped());
        }
    }
    if (events) {
        events->onAnswer_(std::move(reply.answer_), reply.notRunUntil_);
    }
}

auto LedgerService::answerFence(FenceToken token, FenceReply reply) -> void
{
    std::function<void(FenceReply)> function;
    {
        const std::lock_guard lock(mutex_);
        auto node = fences_.extract(token);
        if (!node.empty()) {
            function = std::move(node.mapped());
        }
    }
    if (function) {
        function(std::move(reply));
    }
}

auto LedgerService::send(LedgerRequest request) -> void
{
    auto onDone = [this, ticket = request.ticket_](const std::variant<Message, PeerFailure>& result) {
        const auto now = Clock::now();
        const auto* reply = std::get_if<Message>(&result);
        apply(reply ? ledger_.onReply(ticket, *reply, now) : ledger_.onFailure(ticket, now));
    };
    const auto members = parts_.members_.snapshot();
    const auto* member = members->find(request.to_.id_);
    if (!member || member->ref_ != request.to_) {
        asio::post(parts_.context_, [onDone] {
            onDone(PeerFailure::NotSent);
        });
        return;
    }
    const auto channel = channelFor(request.message_);
    parts_.transport_.request(
        peerTargetOf(*member), channel, std::move(request.message_), request.timeout_, std::move(onDone));
}

auto LedgerService::sendNotice(const NodeRef& to, RecordOutcome notice) -> void
{
    const auto members = parts_.members_.snapshot();
    const auto* member = members->find(to.id_);
    if (member && member->ref_ == to) {
        parts_.transport_.notify(peerTargetOf(*member), PeerChannel::Normal, std::move(notice));
    }
}

auto LedgerService::log(const TakeoverEvent& event) -> void
{
    counter("wagtailhead_takeovers_total", "Shard takeovers by event.", { { "event", event.text_ } })
        .Increment();
    logEvent(LogLevel::Info, "takeover_" + event.text_,
        { { "service", event.service_ }, { "shard", event.shard_ }, { "epoch", event.epoch_ },
            { "reason", event.reason_ } });
}

// Messages of other nodes

auto LedgerService::onMessage(const Message& message, const PeerTransport::ReplyFunction& reply) -> void
{
    const auto token = nextId_++;
    if (std::holds_alternative<Fence>(message)) {
        const std::lock_guard lock(mutex_);
        fences_[token] = [reply, message](FenceReply late) {
            Message answer(std::move(late));
            setReplyId(answer, message);
            reply(std::move(answer));
        };
    }
    auto [answer, effects] = ledger_.onMessage(message, token, Clock::now());
    if (answer) {
        const std::lock_guard lock(mutex_);
        fences_.erase(token);
    }
    if (answer) {
        setReplyId(*answer, message);
        reply(std::move(*answer));
    }
    apply(std::move(effects));
}

auto LedgerService::fenceHere(const Fence& fence, std::function<void(FenceReply)> reply) -> void
{
    onMessage(fence, [reply = std::move(reply)](Message answer) {
        reply(std::get<FenceReply>(std::move(answer)));
    });
}

auto LedgerService::onMapItem(const VersionedItem& item) -> void
{
    const auto record = parseShardRecord(item.value_);
    if (!isOk(record)) {
        logEvent(LogLevel::Error, "shard_record_invalid",
            { { "key", item.key_ }, { "error", errorOf(record).text_ } });
        return;
    }
    apply(ledger_.onMapRecord(valueOf(record), Clock::now()));
}

// Observation

auto LedgerService::activeShards() const -> std::size_t
{
    const auto shards = ledger_.owner().shards();
    return static_cast<std::size_t>(
        std::count_if(shards.begin(), shards.end(), [](const OwnedShardInfo& shard) {
            return shard.active_;
        }));
}

auto LedgerService::allShardsOwned() const -> bool
{
    const auto names = ownShardNames();
    const auto members = parts_.members_.snapshot();
    return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
        // A region or zone without a backend server of the service cannot have an owner.
        return parts_.shards_.find(parts_.service_, name)
            || rankCandidates(parts_.service_, name, *members).empty();
    });
}

auto LedgerService::dump() const -> nlohmann::json
{
    auto shards = nlohmann::json::array();
    for (const auto& shard : ledger_.owner().shards()) {
        shards.push_back({ { "shard", shard.record_.shard_ }, { "epoch", shard.record_.epoch_ },
            { "active", shard.active_ }, { "entries", shard.entries_ }, { "running", shard.running_ } });
    }
    std::size_t waiters = 0;
    {
        const std::lock_guard lock(mutex_);
        waiters = waiters_.size();
    }
    return { { "owned", shards }, { "ownerBytes", ledger_.owner().bytes() },
        { "witnessed", ledger_.witness().tables().size() }, { "witnessBytes", ledger_.witness().bytes() },
        { "waiters", waiters }, { "takeovers", ledger_.takeoversInFlight() },
        { "map", parts_.shards_.list().size() } };
}

} // namespace wagtailhead
