#include "gossip_listener.h"

#include <asio/post.hpp>
#include <atomic>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/transport/tcp/tcp.h>
#include <utility>

namespace wagtailhead {

class GossipListener::PendingReply {
public:
    PendingReply(std::weak_ptr<GossipListener> owner, Slot& slot)
        : owner_(std::move(owner))
        , slot_(slot)
    {
    }
    PendingReply(const PendingReply&) = delete;
    auto operator=(const PendingReply&) -> PendingReply& = delete;
    ~PendingReply()
    {
        const auto owner = owner_.lock();
        if (owner && !answered_) {
            owner->receive(slot_);
        }
    }

    auto answer(const GossipMessage& message) -> void
    {
        const auto owner = owner_.lock();
        if (owner && !answered_.exchange(true)) {
            owner->answer(slot_, message);
        }
    }

private:
    std::weak_ptr<GossipListener> owner_;
    Slot& slot_; ///< Valid while the owner lives.
    std::atomic<bool> answered_ = false;
};

GossipListener::GossipListener(
    asio::io_context& context, GossipTransport::Handler handler, std::shared_ptr<GossipCounters> counters)
    : context_(context)
    , handler_(std::move(handler))
    , counters_(std::move(counters))
{
}

auto GossipListener::open(const GossipTransportOptions& options) -> Result<Done>
{
    const auto failure = [&](int code) {
        return Error { code == NNG_EADDRINUSE ? ErrorCode::Conflict : ErrorCode::Unavailable,
            "cannot listen for gossip on " + options.listen_.text() + ": " + nng_strerror(code) };
    };
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (const int code = nng_rep0_open(&socket); code != 0) {
        return failure(code);
    }
    socket_ = std::make_unique<NngSocket>(socket);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, options.maxMessageBytes_);
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    const auto url = "tcp://" + options.listen_.text();
    if (const int code = nng_listener_create(&listener, socket, url.c_str()); code != 0) {
        return failure(code);
    }
    // Finds peers that vanished without closing their connections.
    nng_listener_set_bool(listener, NNG_OPT_TCP_KEEPALIVE, true);
    if (const int code = nng_listener_start(listener, 0); code != 0) {
        return failure(code);
    }
    int port = options.listen_.port_;
    if (port == 0) {
        nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    }
    address_ = { options.listen_.ip_, static_cast<std::uint16_t>(port) };
    for (int i = 0; i < options.replyContexts_; ++i) {
        slots_.push_back(std::make_unique<Slot>(*this, socket));
        receive(*slots_.back());
    }
    return Done {};
}

auto GossipListener::receive(Slot& slot) -> void
{
    const std::lock_guard lock(mutex_);
    if (closed_) {
        return;
    }
    slot.phase_ = Slot::Phase::Receiving;
    nng_ctx_recv(slot.context_.get(), slot.aio_.get());
}

/// Runs in a thread of nng when a slot has received a request or sent its reply.
auto GossipListener::advance(Slot& slot) -> void
{
    const bool ok = slot.aio_.result() == 0;
    if (!ok && slot.phase_ == Slot::Phase::Replying) {
        slot.aio_.takeMessage();
    }
    if (slot.phase_ == Slot::Phase::Receiving && ok) {
        slot.phase_ = Slot::Phase::Handling;
        asio::post(context_, [weak = weak_from_this(), &slot] {
            if (const auto self = weak.lock()) {
                self->handle(slot);
            }
        });
        return;
    }
    receive(slot);
}

/// Runs in a thread of the Asio context.
auto GossipListener::handle(Slot& slot) -> void
{
    NngMessage message;
    {
        const std::lock_guard lock(mutex_);
        if (closed_) {
            return;
        }
        message = slot.aio_.takeMessage();
    }
    if (!message) {
        receive(slot);
        return;
    }
    const auto bytes = bodyOf(message);
    ++counters_->requestsReceived_;
    counters_->bytesReceived_ += bytes.size();
    auto decoded = decodeGossip(bytes);
    if (!isOk(decoded)) {
        ++counters_->messagesMalformed_;
        receive(slot);
        return;
    }
    auto pending = std::make_shared<PendingReply>(weak_from_this(), slot);
    handler_(valueOf(std::move(decoded)), [pending](const GossipMessage& reply) {
        pending->answer(reply);
    });
}

auto GossipListener::answer(Slot& slot, const GossipMessage& message) -> void
{
    const auto bytes = encodeGossip(message);
    auto body = makeNngMessage(bytes);
    if (!body) {
        receive(slot);
        return;
    }
    const std::lock_guard lock(mutex_);
    if (closed_) {
        return;
    }
    counters_->bytesSent_ += bytes.size();
    slot.phase_ = Slot::Phase::Replying;
    nng_aio_set_msg(slot.aio_.get(), body.release());
    nng_ctx_send(slot.context_.get(), slot.aio_.get());
}

auto GossipListener::close() -> void
{
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
    }
    for (const auto& slot : slots_) {
        slot->aio_.stop();
    }
    slots_.clear();
    socket_.reset();
}

} // namespace wagtailhead
