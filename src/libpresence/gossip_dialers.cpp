#include "gossip_dialers.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nng/protocol/reqrep0/req.h>
#include <nng/supplemental/util/platform.h>
#include <nng/transport/tcp/tcp.h>
#include <utility>

namespace wagtailhead {

namespace {

constexpr Duration cleanupInterval = seconds(1);

/// nng dials again this often while a request waits for its connection.
constexpr nng_duration reconnectInterval = 100;

auto toNngDuration(Duration duration) -> nng_duration
{
    const auto whole = std::chrono::duration_cast<milliseconds>(duration).count();
    return static_cast<nng_duration>(std::max<milliseconds::rep>(whole, 1));
}

auto openSocket(const Address& to, std::size_t maxMessageBytes) -> nng_socket
{
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_req0_open(&socket) != 0) {
        return NNG_SOCKET_INITIALIZER;
    }
    // Requests are not repeated by nng: the protocol decides what to do about a lost one.
    nng_socket_set_ms(socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnectInterval);
    nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnectInterval);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, maxMessageBytes);
    const auto url = "tcp://" + to.text();
    if (nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
        nng_close(socket);
        return NNG_SOCKET_INITIALIZER;
    }
    return socket;
}

} // namespace

struct GossipDialers::Request {
    enum class Phase : std::uint8_t {
        Sending,
        Receiving,
    };

    Request(GossipDialers& owner, std::shared_ptr<Dialer> dialer)
        : dialer_(std::move(dialer))
        , context_(dialer_->socket_.get())
        , aio_([&owner, this] {
            owner.advance(*this);
        })
    {
    }

    std::shared_ptr<Dialer> dialer_;
    NngContext context_;
    NngAio aio_;
    Phase phase_ = Phase::Sending;
    TimePoint deadline_;
    std::uint64_t id_ = 0;
    GossipTransport::Callback callback_;
};

GossipDialers::GossipDialers(
    asio::io_context& context, GossipTransportOptions options, std::shared_ptr<GossipCounters> counters)
    : context_(context)
    , options_(std::move(options))
    , counters_(std::move(counters))
    , cleanup_(context)
{
}

auto GossipDialers::start() -> void
{
    const std::lock_guard lock(mutex_);
    scheduleCleanup();
}

auto GossipDialers::request(const Address& to, const GossipMessage& message, Duration timeout,
    GossipTransport::Callback callback) -> void
{
    const auto bytes = encodeGossip(message);
    const auto request = admit(to, timeout, callback);
    if (!request) {
        ++counters_->requestsFailed_;
        asio::post(context_, [callback = std::move(callback)] {
            callback(std::nullopt);
        });
        return;
    }
    auto body = makeNngMessage(bytes);
    if (!request->context_.isOpen() || !body) {
        asio::post(context_, [weak = weak_from_this(), id = request->id_] {
            if (const auto self = weak.lock()) {
                self->finish(id, false);
            }
        });
        return;
    }
    ++counters_->requestsSent_;
    counters_->bytesSent_ += bytes.size();
    nng_aio_set_timeout(request->aio_.get(), toNngDuration(timeout));
    nng_aio_set_msg(request->aio_.get(), body.release());
    nng_ctx_send(request->context_.get(), request->aio_.get());
}

/// Returns a request on a connection, entered in the table, or null if there can be none.
auto GossipDialers::admit(const Address& to, Duration timeout, const GossipTransport::Callback& callback)
    -> std::shared_ptr<Request>
{
    const std::lock_guard lock(mutex_);
    auto dialer = closed_ ? nullptr : dialerFor(to);
    if (!dialer) {
        return nullptr;
    }
    auto request = std::make_shared<Request>(*this, std::move(dialer));
    request->id_ = nextId_++;
    request->deadline_ = Clock::now() + timeout;
    request->callback_ = callback;
    requests_.emplace(request->id_, request);
    return request;
}

/// Returns a usable connection, opening one if needed. The lock is held.
auto GossipDialers::dialerFor(const Address& to) -> std::shared_ptr<Dialer>
{
    const auto now = Clock::now();
    auto& dialer = dialers_[to];
    if (!dialer || dialer->broken_) {
        const auto socket = openSocket(to, options_.maxMessageBytes_);
        if (nng_socket_id(socket) <= 0) {
            dialers_.erase(to);
            return nullptr;
        }
        dialer = std::shared_ptr<Dialer>(new Dialer { NngSocket(socket), now, 0, false });
        ++counters_->dialersOpened_;
    }
    dialer->lastUsed_ = now;
    ++dialer->inUse_;
    return dialer;
}

/// Runs in a thread of nng after each step of a request. Only the request's number goes on from here:
/// this thread must never be the last owner, because the end of an operation waits for this callback.
auto GossipDialers::advance(Request& request) -> void
{
    const bool ok = request.aio_.result() == 0;
    if (ok && request.phase_ == Request::Phase::Sending) {
        request.phase_ = Request::Phase::Receiving;
        nng_aio_set_timeout(request.aio_.get(), toNngDuration(request.deadline_ - Clock::now()));
        nng_ctx_recv(request.context_.get(), request.aio_.get());
        return;
    }
    asio::post(context_, [weak = weak_from_this(), id = request.id_, ok] {
        if (const auto self = weak.lock()) {
            self->finish(id, ok);
        }
    });
}

/// Runs in a thread of the Asio context when a request has ended.
auto GossipDialers::finish(std::uint64_t id, bool received) -> void
{
    std::shared_ptr<Request> request;
    {
        const std::lock_guard lock(mutex_);
        const auto taken = requests_.extract(id);
        if (closed_ || taken.empty()) {
            return;
        }
        request = taken.mapped();
    }
    std::optional<GossipMessage> reply;
    if (received) {
        const auto message = request->aio_.takeMessage();
        const auto bytes = bodyOf(message);
        counters_->bytesReceived_ += bytes.size();
        auto decoded = decodeGossip(bytes);
        if (isOk(decoded)) {
            reply = valueOf(std::move(decoded));
        } else {
            ++counters_->messagesMalformed_;
        }
    }
    std::vector<std::shared_ptr<Dialer>> closing;
    {
        const std::lock_guard lock(mutex_);
        auto& dialer = *request->dialer_;
        --dialer.inUse_;
        dialer.broken_ = dialer.broken_ || !reply;
        closing = closeIdle(Clock::now());
    }
    if (!reply) {
        ++counters_->requestsFailed_;
    }
    request->callback_(std::move(reply));
}

/// Takes connections out of the cache that are idle, broken or too many. The lock is held; the caller
/// lets them go without it, because closing takes a while.
auto GossipDialers::closeIdle(TimePoint now) -> std::vector<std::shared_ptr<Dialer>>
{
    std::vector<std::shared_ptr<Dialer>> closing;
    std::erase_if(dialers_, [&](const auto& item) {
        const auto& dialer = item.second;
        const bool useless = dialer->broken_ || now - dialer->lastUsed_ >= options_.dialerIdle_;
        if (dialer->inUse_ > 0 || !useless) {
            return false;
        }
        closing.push_back(dialer);
        return true;
    });
    while (dialers_.size() > options_.maxDialers_) {
        const auto oldest
            = std::min_element(dialers_.begin(), dialers_.end(), [](const auto& a, const auto& b) {
                  return std::pair(a.second->inUse_, a.second->lastUsed_)
                      < std::pair(b.second->inUse_, b.second->lastUsed_);
              });
        if (oldest->second->inUse_ > 0) {
            break;
        }
        closing.push_back(oldest->second);
        dialers_.erase(oldest);
    }
    return closing;
}

auto GossipDialers::scheduleCleanup() -> void
{
    cleanup_.expires_after(cleanupInterval);
    cleanup_.async_wait([weak = weak_from_this()](const auto& error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        std::vector<std::shared_ptr<Dialer>> closing;
        const std::lock_guard lock(self->mutex_);
        if (!self->closed_) {
            closing = self->closeIdle(Clock::now());
            self->scheduleCleanup();
        }
    });
}

auto GossipDialers::close() -> void
{
    std::map<std::uint64_t, std::shared_ptr<Request>> requests;
    std::map<Address, std::shared_ptr<Dialer>> dialers;
    {
        const std::lock_guard lock(mutex_);
        closed_ = true;
        cleanup_.cancel();
        requests.swap(requests_);
        dialers.swap(dialers_);
    }
    for (const auto& [id, request] : requests) {
        request->aio_.stop();
    }
}

auto GossipDialers::openCount() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return dialers_.size();
}

} // namespace wagtailhead
