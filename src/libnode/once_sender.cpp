#include "once_sender.h"

#include "body_hash.h"
#include "call_executor.h"
#include "caller_answer.h"
#include "wagtailhead/once_call.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

namespace wagtailhead {

namespace {

constexpr Duration tickInterval = milliseconds(20);
/// Most sends of one attempt; the allowance of the tree usually ends them earlier.
constexpr int maxSends = 16;

} // namespace

auto topologyOf(const LinksConfig& links) -> Topology
{
    Topology topology;
    for (const auto& region : links.regions_) {
        topology[region.name_].insert(region.zones_.begin(), region.zones_.end());
    }
    return topology;
}

/// One `once` call under way: carries out the actions of an OnceCall.
class OnceOperation final : public CallHandle, public std::enable_shared_from_this<OnceOperation> {
public:
    OnceOperation(OnceSenderParts& parts, OutgoingCall call, CallSender::Callback callback)
        : parts_(parts)
        , call_(std::move(call))
        , callback_(std::move(callback))
        , timer_(parts.context_)
        , attempt_(parts.sender_.nextAttempt())
    {
    }

    auto start() -> void;
    auto cancel() -> void override;

private:
    using Step = std::function<OnceCall::Actions(OnceCall&, const OnceCall::Record&, TimePoint)>;
    using PeerResult = std::variant<Message, PeerFailure>;

    auto advance(const Step& step) -> void;
    auto run(const OnceAction& action) -> void;
    auto sendCall(const SendOnceCall& action) -> void;
    auto sendFence(const SendFence& action) -> void;
    auto onCallResult(std::uint64_t ticket, int lent, PeerResult result) -> void;
    auto onFenceResult(std::uint64_t ticket, PeerResult result) -> void;
    auto fail(std::uint64_t ticket) -> void;
    auto failLater(std::uint64_t ticket) -> void;
    auto armTimer() -> void;
    auto finish(Answer answer) -> void;

    OnceSenderParts& parts_;
    OutgoingCall call_;
    CallSender::Callback callback_;
    asio::steady_timer timer_;
    const AttemptId attempt_;

    std::mutex mutex_; // Guards the fields below.
    std::unique_ptr<OnceCall> once_;
    ShardRef shard_;
    bool done_ = false;
    int sends_ = 0;
    SheddingLevel subtreeLevel_;
    std::string subtreeService_;
};

auto OnceOperation::start() -> void
{
    asio::post(parts_.context_, [self = shared_from_this()] {
        const auto config = self->parts_.config_.current();
        if (!config->isComplete()) {
            self->finish(notRun("no-configuration"));
            return;
        }
        const auto& key = self->call_.context_.idempotencyKey_;
        {
            const std::lock_guard lock(self->mutex_);
            self->shard_ = { self->call_.service_, shardOfKey(key, topologyOf(*config->links_)), 0 };
            self->once_ = std::make_unique<OnceCall>(self->shard_, key, bodyHashOf(self->call_.http_),
                self->attempt_, self->call_.acceptedAt_, self->call_.context_.deadline_);
        }
        self->advance([](OnceCall& once, const OnceCall::Record& record, TimePoint now) {
            return once.start(record, now);
        });
        self->armTimer();
    });
}

auto OnceOperation::advance(const Step& step) -> void
{
    OnceCall::Actions actions;
    {
        const std::lock_guard lock(mutex_);
        if (done_) {
            return;
        }
        actions = step(*once_, parts_.shards_.find(shard_.service_, shard_.shard_), Clock::now());
    }
    for (const auto& action : actions) {
        run(action);
    }
}

auto OnceOperation::run(const OnceAction& action) -> void
{
    if (const auto* call = std::get_if<SendOnceCall>(&action)) {
        sendCall(*call);
    } else if (const auto* fence = std::get_if<SendFence>(&action)) {
        sendFence(*fence);
    } else if (const auto* tell = std::get_if<TellCaller>(&action)) {
        finish(tell->answer_);
    }
}

auto OnceOperation::sendCall(const SendOnceCall& action) -> void
{
    const auto members = parts_.members_.snapshot();
    const auto* owner = members->find(action.owner_.id_);
    if (!owner || owner->ref_ != action.owner_) {
        failLater(action.ticket_);
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        // A retransmission starts no second execution, but it counts as an extra attempt of the tree.
        const bool allowed = sends_ == 0 || (sends_ < maxSends && call_.allowance_->charge());
        ++sends_;
        if (!allowed) {
            failLater(action.ticket_);
            return;
        }
    }
    CallRequest request;
    request.target_ = owner->ref_;
    request.attempt_ = attempt_;
    request.context_ = call_.context_;
    request.context_.deadline_ = action.deadline_;
    const int lent = call_.allowance_->lend();
    request.context_.retryAllowance_ = lent;
    request.once_ = true;
    request.shard_ = action.shard_;
    request.acceptedAt_ = call_.acceptedAt_;
    request.service_ = call_.service_;
    request.http_ = call_.http_;
    auto onDone = [self = shared_from_this(), ticket = action.ticket_, lent](PeerResult result) {
        self->onCallResult(ticket, lent, std::move(result));
    };
    if (owner->ref_ == parts_.self_) {
        request.callId_ = parts_.executor_.nextLocalId();
        parts_.executor_.execute(parts_.self_, std::move(request), [onDone](CallReply reply) {
            onDone(Message(std::move(reply)));
        });
        return;
    }
    const auto timeout = std::max(call_.context_.deadline_ - Clock::now(), Duration::zero());
    parts_.transport_.request(peerTargetOf(*owner), channelOf(call_.context_.priority_), std::move(request),
        timeout, std::move(onDone));
}

auto OnceOperation::sendFence(const SendFence& action) -> void
{
    auto onDone = [self = shared_from_this(), ticket = action.ticket_](PeerResult result) {
        self->onFenceResult(ticket, std::move(result));
    };
    if (action.to_ == parts_.self_) {
        parts_.fenceHere_(action.message_, [onDone](FenceReply reply) {
            onDone(Message(std::move(reply)));
        });
        return;
    }
    const auto members = parts_.members_.snapshot();
    const auto* member = members->find(action.to_.id_);
    if (!member || member->ref_ != action.to_) {
        failLater(action.ticket_);
        return;
    }
    parts_.transport_.request(
        peerTargetOf(*member), PeerChannel::Normal, action.message_, action.timeout_, std::move(onDone));
}

auto OnceOperation::onCallResult(std::uint64_t ticket, int lent, PeerResult result) -> void
{
    auto* message = std::get_if<Message>(&result);
    const auto* reply = message ? std::get_if<CallReply>(message) : nullptr;
    if (!reply) {
        fail(ticket);
        return;
    }
    call_.allowance_->takeBack(lent, reply->unusedRetries_);
    {
        const std::lock_guard lock(mutex_);
        subtreeLevel_ = reply->subtreeLevel_;
        subtreeService_ = reply->subtreeService_;
    }
    advance([&](OnceCall& once, const OnceCall::Record& record, TimePoint now) {
        return once.onReply(ticket, reply->answer_, reply->notRunUntil_, record, now);
    });
}

auto OnceOperation::onFenceResult(std::uint64_t ticket, PeerResult result) -> void
{
    auto* message = std::get_if<Message>(&result);
    const auto* reply = message ? std::get_if<FenceReply>(message) : nullptr;
    if (!reply) {
        fail(ticket);
        return;
    }
    advance([&](OnceCall& once, const OnceCall::Record& record, TimePoint now) {
        return once.onFenceReply(ticket, *reply, record, now);
    });
}

auto OnceOperation::fail(std::uint64_t ticket) -> void
{
    advance([ticket](OnceCall& once, const OnceCall::Record& record, TimePoint now) {
        return once.onFailure(ticket, record, now);
    });
}

auto OnceOperation::failLater(std::uint64_t ticket) -> void
{
    asio::post(parts_.context_, [self = shared_from_this(), ticket] {
        self->fail(ticket);
    });
}

auto OnceOperation::armTimer() -> void
{
    const std::lock_guard lock(mutex_);
    if (done_) {
        return;
    }
    timer_.expires_after(tickInterval);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
        if (error) {
            return;
        }
        self->advance([](OnceCall& once, const OnceCall::Record& record, TimePoint now) {
            return once.tick(record, now);
        });
        self->armTimer();
    });
}

auto OnceOperation::finish(Answer answer) -> void
{
    CallResult result;
    {
        const std::lock_guard lock(mutex_);
        if (std::exchange(done_, true)) {
            return;
        }
        timer_.cancel();
        result = { std::move(answer), subtreeLevel_, subtreeService_ };
    }
    callback_(std::move(result));
}

auto OnceOperation::cancel() -> void
{
    // The operation itself goes on at its owner: its answer is kept for a repeat of the key.
    const std::lock_guard lock(mutex_);
    done_ = true;
    timer_.cancel();
}

OnceSender::OnceSender(OnceSenderParts parts)
    : parts_(std::move(parts))
{
}

auto OnceSender::send(OutgoingCall call, CallSender::Callback callback) -> std::shared_ptr<CallHandle>
{
    auto operation = std::make_shared<OnceOperation>(parts_, std::move(call), std::move(callback));
    operation->start();
    return operation;
}

} // namespace wagtailhead
