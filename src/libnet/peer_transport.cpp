#include "wagtailhead/peer_transport.h"

#include "peer_connection.h"
#include "pending_requests.h"
#include "wagtailhead/log.h"

#include <asio/bind_executor.hpp>
#include <asio/ip/address_v4.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <map>
#include <set>

namespace wagtailhead {

namespace {

using asio::ip::tcp;
using ConnectionPtr = std::shared_ptr<PeerConnection>;

/// How often warm connections are opened again and unused ones are closed.
constexpr Duration maintenanceInterval = milliseconds(500);
/// A connection that is not kept warm is closed after this time without use.
constexpr Duration idleLifetime = seconds(60);
/// Pause after a failed attempt to open a warm connection.
constexpr Duration redialPause = seconds(1);

struct SlotKey {
    NodeRef peer_;
    PeerChannel channel_ = PeerChannel::Normal;

    auto operator<=>(const SlotKey&) const = default; // NOLINT(modernize-use-nullptr): false finding
};

/// The outgoing connection to one peer on one channel, with the requests that wait for it.
struct Slot {
    PeerTarget target_;
    ConnectionPtr connection_; ///< Set once TCP is established.
    bool ready_ = false; ///< The peer's Hello has confirmed its identity.
    bool dialling_ = false;
    bool warm_ = false;
    TimePoint nextDial_;
    std::vector<std::pair<std::uint64_t, Message>> waiting_; ///< Request id 0 for notifications.
};

/// Sets the request id of a message that expects a reply.
struct SetRequestId {
    std::uint64_t id_;

    auto operator()(CallRequest& message) const -> void
    {
        message.callId_ = id_;
    }
    template <typename T> auto operator()(T& message) const -> void
    {
        if constexpr (requires { message.requestId_; }) {
            message.requestId_ = id_;
        }
    }
};

/// Returns the request id that a reply answers, or nothing if the message is no reply.
auto repliedId(const Message& message) -> std::optional<std::uint64_t>
{
    if (const auto* reply = std::get_if<CallReply>(&message)) {
        return reply->callId_;
    }
    if (const auto* reply = std::get_if<FenceReply>(&message)) {
        return reply->requestId_;
    }
    if (const auto* reply = std::get_if<RecordAck>(&message)) {
        return reply->requestId_;
    }
    if (const auto* reply = std::get_if<SealReply>(&message)) {
        return reply->requestId_;
    }
    if (const auto* reply = std::get_if<InstallAck>(&message)) {
        return reply->requestId_;
    }
    if (const auto* reply = std::get_if<CommitAck>(&message)) {
        return reply->requestId_;
    }
    if (const auto* reply = std::get_if<SummaryReply>(&message)) {
        return reply->requestId_;
    }
    return std::nullopt;
}

auto endpointOf(const Address& address) -> tcp::endpoint
{
    asio::error_code ignored;
    return { asio::ip::make_address_v4(address.ip_, ignored), address.port_ };
}

/// The shared state behind a transport. Pending operations hold it by shared pointer.
class PeerHub : public std::enable_shared_from_this<PeerHub> {
public:
    PeerHub(asio::io_context& context, PeerTransportOptions options, PeerTransport::Handler handler)
        : context_(context)
        , options_(std::make_shared<const PeerTransportOptions>(std::move(options)))
        , counters_(std::make_shared<PeerCounters>())
        , handler_(std::move(handler))
        , acceptor_(asio::make_strand(context))
        , deadlineTimer_(context)
        , maintenanceTimer_(context)
    {
    }

    auto listen() -> Result<Done>;
    auto request(const PeerTarget& peer, PeerChannel channel, Message message, Duration timeout,
        PeerTransport::ReplyCallback callback) -> std::uint64_t;
    auto cancel(std::uint64_t id) -> void;
    auto notify(const PeerTarget& peer, PeerChannel channel, Message message) -> void;
    auto keepWarm(std::vector<PeerTarget> peers) -> void;
    auto isConnected(const NodeRef& peer) const -> bool;
    auto stats() const -> PeerTransportStats;
    auto stopAccepting() -> void;
    auto shutdown() -> void;

private:
    using Failures = std::vector<std::pair<PeerTransport::ReplyCallback, PeerFailure>>;

    auto accept() -> void;
    auto slotOf(const PeerTarget& peer, PeerChannel channel) -> Slot&;
    auto dial(const SlotKey& key, Slot& slot) -> void;
    auto onDialled(const SlotKey& key, const std::shared_ptr<tcp::socket>& socket,
        const asio::error_code& error) -> void;
    auto onMessage(const ConnectionPtr& connection, Message message, const SlotKey* key) -> void;
    auto onReady(const SlotKey& key, const ConnectionPtr& connection) -> void;
    auto onClosed(const ConnectionPtr& connection, CloseReason reason, const SlotKey* key) -> void;
    auto onReply(const ConnectionPtr& connection, std::uint64_t id, Message message) -> void;
    auto sendNow(const ConnectionPtr& connection, std::uint64_t id, const Message& message) -> void;
    auto failWaiting(Slot& slot) -> Failures;
    auto report(Failures failures) -> void;
    auto armDeadlineTimer() -> void;
    auto onDeadline() -> void;
    auto maintain() -> void;

    asio::io_context& context_;
    std::shared_ptr<const PeerTransportOptions> options_;
    std::shared_ptr<PeerCounters> counters_;
    PeerTransport::Handler handler_;

    mutable std::mutex mutex_; // Guards everything below; never held while a callback runs.
    tcp::acceptor acceptor_;
    asio::steady_timer deadlineTimer_;
    asio::steady_timer maintenanceTimer_;
    std::map<SlotKey, Slot> slots_;
    std::set<ConnectionPtr> accepted_;
    PendingRequests pending_;
    std::optional<TimePoint> armedFor_;
    std::uint64_t nextId_ = 1;
    bool stopped_ = false;
};

auto PeerHub::listen() -> Result<Done>
{
    asio::error_code error;
    const auto endpoint = endpointOf(options_->listen_);
    acceptor_.open(tcp::v4(), error);
    if (!error) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error { ErrorCode::Unavailable,
            "cannot listen on peer address " + options_->listen_.text() + ": " + error.message() };
    }
    accept();
    maintain();
    return Done {};
}

auto PeerHub::accept() -> void
{
    acceptor_.async_accept(
        context_, [self = shared_from_this()](const asio::error_code& error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || !self->acceptor_.is_open()) {
                return;
            }
            if (!error) {
                auto connection
                    = std::make_shared<PeerConnection>(std::move(socket), self->options_, self->counters_);
                {
                    const std::lock_guard lock(self->mutex_);
                    if (self->stopped_) {
                        return;
                    }
                    self->accepted_.insert(connection);
                }
                connection->start(
                    [self](const ConnectionPtr& from, Message message) {
                        self->onMessage(from, std::move(message), nullptr);
                    },
                    [self](const ConnectionPtr& closed, CloseReason reason) {
                        self->onClosed(closed, reason, nullptr);
                    });
            }
            self->accept();
        });
}

auto PeerHub::slotOf(const PeerTarget& peer, PeerChannel channel) -> Slot&
{
    auto& slot = slots_[{ peer.ref_, channel }];
    slot.target_ = peer;
    return slot;
}

auto PeerHub::request(const PeerTarget& peer, PeerChannel channel, Message message, Duration timeout,
    PeerTransport::ReplyCallback callback) -> std::uint64_t
{
    ConnectionPtr connection;
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(mutex_);
        id = nextId_++;
        std::visit(SetRequestId { id }, message);
        auto& slot = slotOf(peer, channel);
        connection = slot.ready_ ? slot.connection_ : nullptr;
        pending_.insert(id,
            { std::move(callback), connection, std::holds_alternative<CallRequest>(message),
                Clock::now() + timeout });
        armDeadlineTimer();
        if (connection) {
            connection->addInFlight(1);
        } else {
            slot.waiting_.emplace_back(id, std::move(message));
            dial({ peer.ref_, channel }, slot);
            return id;
        }
    }
    sendNow(connection, id, message);
    return id;
}

auto PeerHub::sendNow(const ConnectionPtr& connection, std::uint64_t id, const Message& message) -> void
{
    if (connection->send(message) || id == 0) {
        return;
    }
    Failures failures;
    {
        const std::lock_guard lock(mutex_);
        if (auto request = pending_.take(id)) {
            failures.emplace_back(std::move(request->callback_), PeerFailure::NotSent);
        }
    }
    report(std::move(failures));
}

auto PeerHub::cancel(std::uint64_t id) -> void
{
    std::optional<PendingRequest> request;
    {
        const std::lock_guard lock(mutex_);
        request = pending_.take(id);
    }
    if (request && request->isCall_ && request->connection_) {
        request->connection_->send(CancelCall { id });
    }
}

auto PeerHub::notify(const PeerTarget& peer, PeerChannel channel, Message message) -> void
{
    ConnectionPtr connection;
    {
        const std::lock_guard lock(mutex_);
        auto& slot = slotOf(peer, channel);
        connection = slot.ready_ ? slot.connection_ : nullptr;
        if (!connection) {
            slot.waiting_.emplace_back(0, std::move(message));
            dial({ peer.ref_, channel }, slot);
            return;
        }
    }
    connection->send(message);
}

auto PeerHub::dial(const SlotKey& key, Slot& slot) -> void
{
    if (slot.dialling_ || slot.connection_ || stopped_) {
        return;
    }
    slot.dialling_ = true;
    const auto address = translateAddress(slot.target_.address_, slot.target_.zone_, options_->translations_);
    auto socket = std::make_shared<tcp::socket>(context_);
    auto timer = std::make_shared<asio::steady_timer>(context_, options_->connectTimeout_);
    const auto strand = asio::make_strand(context_);
    timer->async_wait(asio::bind_executor(strand, [socket](const asio::error_code& error) {
        if (!error) {
            asio::error_code ignored;
            socket->close(ignored);
        }
    }));
    auto onConnect = [self = shared_from_this(), key, socket, timer](asio::error_code error) {
        timer->cancel();
        if (!error && !socket->is_open()) {
            error = asio::error::timed_out;
        }
        self->onDialled(key, socket, error);
    };
    socket->async_connect(endpointOf(address), asio::bind_executor(strand, std::move(onConnect)));
}

auto PeerHub::onDialled(
    const SlotKey& key, const std::shared_ptr<tcp::socket>& socket, const asio::error_code& error) -> void
{
    ConnectionPtr connection;
    Failures failures;
    {
        const std::lock_guard lock(mutex_);
        const auto found = slots_.find(key);
        if (found == slots_.end() || stopped_) {
            return;
        }
        auto& slot = found->second;
        slot.dialling_ = false;
        if (error) {
            slot.nextDial_ = Clock::now() + redialPause;
            failures = failWaiting(slot);
        } else {
            connection = std::make_shared<PeerConnection>(std::move(*socket), options_, counters_);
            slot.connection_ = connection;
        }
    }
    report(std::move(failures));
    if (connection) {
        connection->start(
            [self = shared_from_this(), key](const ConnectionPtr& from, Message message) {
                self->onMessage(from, std::move(message), &key);
            },
            [self = shared_from_this(), key](const ConnectionPtr& closed, CloseReason reason) {
                self->onClosed(closed, reason, &key);
            });
    }
}

auto PeerHub::onMessage(const ConnectionPtr& connection, Message message, const SlotKey* key) -> void
{
    if (std::holds_alternative<Hello>(message)) {
        if (key) {
            onReady(*key, connection);
        }
        return;
    }
    if (const auto id = repliedId(message)) {
        onReply(connection, *id, std::move(message));
        return;
    }
    handler_(
        connection->remote(), std::move(message), [weak = std::weak_ptr(connection)](const Message& reply) {
            if (const auto open = weak.lock()) {
                open->send(reply);
            }
        });
}

auto PeerHub::onReady(const SlotKey& key, const ConnectionPtr& connection) -> void
{
    if (connection->remote() != key.peer_) {
        // The address now belongs to another VM or incarnation.
        logEvent(LogLevel::Info, "peer_identity_mismatch",
            { { "expected", key.peer_.id_ }, { "found", connection->remote().id_ } });
        connection->close(CloseReason::Lost);
        return;
    }
    std::vector<std::pair<std::uint64_t, Message>> waiting;
    {
        const std::lock_guard lock(mutex_);
        const auto found = slots_.find(key);
        if (found == slots_.end() || found->second.connection_ != connection) {
            return;
        }
        found->second.ready_ = true;
        waiting.swap(found->second.waiting_);
        for (auto& [id, message] : waiting) {
            if (auto* request = pending_.find(id)) {
                request->connection_ = connection;
                connection->addInFlight(1);
            }
        }
    }
    for (const auto& [id, message] : waiting) {
        bool wanted = id == 0;
        if (!wanted) {
            const std::lock_guard lock(mutex_);
            wanted = pending_.find(id) != nullptr;
        }
        if (wanted) {
            sendNow(connection, id, message);
        }
    }
}

auto PeerHub::onReply(const ConnectionPtr& connection, std::uint64_t id, Message message) -> void
{
    std::optional<PendingRequest> request;
    {
        const std::lock_guard lock(mutex_);
        const auto* known = pending_.find(id);
        // A reply counts only on the connection that carried its request.
        if (known && known->connection_ == connection) {
            request = pending_.take(id);
        }
    }
    if (request) {
        request->callback_(std::move(message));
    }
}

auto PeerHub::failWaiting(Slot& slot) -> Failures
{
    Failures failures;
    for (auto& [id, message] : slot.waiting_) {
        if (auto request = pending_.take(id)) {
            failures.emplace_back(std::move(request->callback_), PeerFailure::NotSent);
        }
    }
    slot.waiting_.clear();
    return failures;
}

auto PeerHub::onClosed(const ConnectionPtr& connection, CloseReason reason, const SlotKey* key) -> void
{
    Failures failures;
    {
        const std::lock_guard lock(mutex_);
        accepted_.erase(connection);
        for (auto& request : pending_.takeAllOf(connection)) {
            failures.emplace_back(std::move(request.callback_), PeerFailure::Lost);
        }
        if (key) {
            const auto found = slots_.find(*key);
            if (found != slots_.end() && found->second.connection_ == connection) {
                found->second.connection_.reset();
                found->second.ready_ = false;
                found->second.nextDial_ = Clock::now();
                auto unsent = failWaiting(found->second);
                std::move(unsent.begin(), unsent.end(), std::back_inserter(failures));
            }
        }
    }
    if (reason == CloseReason::Silent) {
        logEvent(LogLevel::Warning, "peer_connection_silent",
            { { "peer", connection->remote().id_ }, { "calls", failures.size() } });
    }
    report(std::move(failures));
}

auto PeerHub::report(Failures failures) -> void
{
    if (failures.empty()) {
        return;
    }
    asio::post(context_, [failures = std::move(failures)] {
        for (const auto& [callback, failure] : failures) {
            callback(failure);
        }
    });
}

auto PeerHub::armDeadlineTimer() -> void
{
    const auto next = pending_.nextDeadline();
    if (!next || (armedFor_ && *armedFor_ <= *next)) {
        return;
    }
    armedFor_ = next;
    deadlineTimer_.expires_at(*next);
    deadlineTimer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
        if (!error) {
            self->onDeadline();
        }
    });
}

auto PeerHub::onDeadline() -> void
{
    Failures failures;
    {
        const std::lock_guard lock(mutex_);
        armedFor_.reset();
        for (auto& request : pending_.takeExpired(Clock::now())) {
            const auto failure = request.connection_ ? PeerFailure::Timeout : PeerFailure::NotSent;
            failures.emplace_back(std::move(request.callback_), failure);
        }
        if (!stopped_) {
            armDeadlineTimer();
        }
    }
    for (const auto& [callback, failure] : failures) {
        callback(failure);
    }
}

auto PeerHub::keepWarm(std::vector<PeerTarget> peers) -> void
{
    const std::lock_guard lock(mutex_);
    for (auto& [key, slot] : slots_) {
        slot.warm_ = false;
    }
    for (const auto& peer : peers) {
        auto& slot = slotOf(peer, PeerChannel::Normal);
        slot.warm_ = true;
        if (Clock::now() >= slot.nextDial_) {
            dial({ peer.ref_, PeerChannel::Normal }, slot);
        }
    }
}

auto PeerHub::maintain() -> void
{
    const auto now = Clock::now();
    std::vector<ConnectionPtr> unused;
    {
        const std::lock_guard lock(mutex_);
        if (stopped_) {
            return;
        }
        for (auto at = slots_.begin(); at != slots_.end();) {
            auto& slot = at->second;
            if (slot.warm_ && now >= slot.nextDial_) {
                dial(at->first, slot);
            }
            if (!slot.warm_ && slot.ready_ && now - slot.connection_->lastUsed() > idleLifetime) {
                unused.push_back(slot.connection_);
            }
            const bool empty = !slot.warm_ && !slot.connection_ && !slot.dialling_ && slot.waiting_.empty();
            at = empty ? slots_.erase(at) : std::next(at);
        }
        maintenanceTimer_.expires_after(maintenanceInterval);
        maintenanceTimer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
            if (!error) {
                self->maintain();
            }
        });
    }
    for (const auto& connection : unused) {
        connection->close(CloseReason::Local);
    }
}

auto PeerHub::isConnected(const NodeRef& peer) const -> bool
{
    const std::lock_guard lock(mutex_);
    const auto found = slots_.find({ peer, PeerChannel::Normal });
    return found != slots_.end() && found->second.ready_;
}

auto PeerHub::stats() const -> PeerTransportStats
{
    return { counters_->connectionsOpen_, counters_->connectionsLost_, counters_->connectionsSilent_,
        counters_->messagesSent_, counters_->messagesReceived_, counters_->bytesSent_,
        counters_->bytesReceived_ };
}

auto PeerHub::stopAccepting() -> void
{
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        asio::error_code ignored;
        self->acceptor_.close(ignored);
    });
}

auto PeerHub::shutdown() -> void
{
    std::vector<ConnectionPtr> open;
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        asio::error_code ignored;
        acceptor_.close(ignored);
        deadlineTimer_.cancel();
        maintenanceTimer_.cancel();
        open.assign(accepted_.begin(), accepted_.end());
        for (auto& [key, slot] : slots_) {
            if (slot.connection_) {
                open.push_back(slot.connection_);
            }
        }
    }
    for (const auto& connection : open) {
        connection->close(CloseReason::Local);
    }
}

/// Ties the life of the hub to the object that the user holds.
class PeerTransportHandle final : public PeerTransport {
public:
    explicit PeerTransportHandle(std::shared_ptr<PeerHub> hub)
        : hub_(std::move(hub))
    {
    }
    ~PeerTransportHandle() override
    {
        hub_->shutdown();
    }
    auto request(const PeerTarget& peer, PeerChannel channel, Message message, Duration timeout,
        ReplyCallback callback) -> std::uint64_t override
    {
        return hub_->request(peer, channel, std::move(message), timeout, std::move(callback));
    }
    auto cancel(std::uint64_t requestId) -> void override
    {
        hub_->cancel(requestId);
    }
    auto notify(const PeerTarget& peer, PeerChannel channel, Message message) -> void override
    {
        hub_->notify(peer, channel, std::move(message));
    }
    auto keepWarm(std::vector<PeerTarget> peers) -> void override
    {
        hub_->keepWarm(std::move(peers));
    }
    auto isConnected(const NodeRef& peer) const -> bool override
    {
        return hub_->isConnected(peer);
    }
    auto stats() const -> PeerTransportStats override
    {
        return hub_->stats();
    }
    auto stopAccepting() -> void override
    {
        hub_->stopAccepting();
    }

private:
    std::shared_ptr<PeerHub> hub_;
};

} // namespace

auto PeerTransport::open(asio::io_context& context, PeerTransportOptions options, Handler handler)
    -> Result<std::unique_ptr<PeerTransport>>
{
    auto hub = std::make_shared<PeerHub>(context, std::move(options), std::move(handler));
    auto listening = hub->listen();
    if (!isOk(listening)) {
        return errorOf(listening);
    }
    return std::unique_ptr<PeerTransport>(std::make_unique<PeerTransportHandle>(std::move(hub)));
}

} // namespace wagtailhead
