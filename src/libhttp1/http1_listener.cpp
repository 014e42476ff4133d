#include "http1_listener.h"

#include "http1_connection.h"
#include "socket_options.h"
#include "wagtailhead/log.h"

#include <algorithm>
#include <asio/steady_timer.hpp>
#include <vector>

namespace wagtailhead::http1 {

namespace {

constexpr int backlog = 1024;
/// Pause after a failed accept. Without descriptors the next attempt would fail at once.
constexpr Duration acceptPause = milliseconds(50);
constexpr Duration boundLogInterval = seconds(1);
/// A connection is not closed for another one before it has had this time to send a request. New ones wait
/// meanwhile.
constexpr Duration shortestWait = seconds(1);

class AsioListener final : public Listener, public std::enable_shared_from_this<AsioListener> {
public:
    AsioListener(asio::io_context& context, ListenerLimits limits, Handler handler)
        : acceptor_(context)
        , pause_(context)
        , state_(std::make_shared<ListenerState>())
    {
        state_->limits_ = limits;
        state_->handler_ = std::move(handler);
    }

    auto listen(const Address& address) -> Result<Done>;
    auto accept() -> void;
    auto setLimits(ListenerLimits limits) -> void override
    {
        state_->limits_ = limits;
    }
    auto setOverlap(std::function<bool(const Request& request)> overlaps) -> void override
    {
        state_->overlaps_ = std::move(overlaps);
    }
    auto tick(TimePoint now) -> void override;
    auto startClosing() -> void override
    {
        state_->closing_ = true;
    }
    auto stop() -> void override;
    auto connectionCount() const -> std::size_t override
    {
        return state_->connections_.size();
    }
    auto unansweredCount() const -> std::size_t override
    {
        return static_cast<std::size_t>(std::count_if(
            state_->connections_.begin(), state_->connections_.end(), [](const auto& connection) {
                return connection->isUnanswered();
            }));
    }

    auto setBounds(const ListenerBounds& bounds) -> void override
    {
        state_->maxConnections_ = bounds.connections_;
        state_->smallMessages_ = std::make_shared<MemoryBudget>(bounds.smallMessageBytes_);
        state_->largeMessages_ = std::make_shared<MemoryBudget>(bounds.largeMessageBytes_);
        state_->readAhead_ = std::make_shared<MemoryBudget>(bounds.readAheadBytes_);
    }
    auto takeRoom(std::size_t bytes) -> std::optional<MemoryCharge> override;
    auto stats() const -> ListenerStats override
    {
        auto stats = state_->stats_;
        stats.smallMessageBytes_ = state_->smallMessages_->used();
        stats.largeMessageBytes_ = state_->largeMessages_->used();
        stats.readAheadBytes_ = state_->readAhead_->used();
        return stats;
    }

    auto unwrittenBytes() const -> std::size_t override
    {
        return state_->unwrittenBytes_;
    }

private:
    auto add(asio::ip::tcp::socket socket) -> void;
    auto acceptAfterPause() -> void;
    auto isFull() const -> bool
    {
        return state_->maxConnections_ > 0 && state_->connections_.size() >= state_->maxConnections_;
    }
    /// Returns the connection that has waited longest for a request, or null if none has waited for long.
    auto longestWaiting(TimePoint now) const -> std::shared_ptr<Connection>;
    /// Closes that connection if there are too many.
    auto makeRoom() -> void;
    auto acceptBacklog() -> void;
    auto snapshot() const -> std::vector<std::shared_ptr<Connection>>
    {
        return { state_->connections_.begin(), state_->connections_.end() };
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    std::shared_ptr<ListenerState> state_;
};

auto AsioListener::takeRoom(std::size_t bytes) -> std::optional<MemoryCharge>
{
    const auto now = Clock::now();
    const auto& budget = state_->largeMessages_;
    MemoryCharge charge(budget);
    while (!charge.tryResize(bytes)) {
        if (!state_->refuseDearest(*budget, nullptr, byteSeconds(bytes, seconds(1)), now)) {
            state_->countRefused(bytes);
            return std::nullopt;
        }
    }
    return charge;
}

auto AsioListener::listen(const Address& address) -> Result<Done>
{
    asio::error_code error;
    const auto endpoint = endpointOf(address);
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(backlog, error);
    }
    if (error) {
        return Error { ErrorCode::Unavailable,
            "cannot listen on " + address.text() + ": " + error.message() };
    }
    return Done {};
}

auto AsioListener::longestWaiting(TimePoint now) const -> std::shared_ptr<Connection>
{
    std::shared_ptr<Connection> longest;
    Duration time = shortestWait;
    for (const auto& connection : state_->connections_) {
        const auto waiting = connection->waitingTime(now);
        if (waiting && *waiting > time) {
            longest = connection;
            time = *waiting;
        }
    }
    return longest;
}

auto AsioListener::makeRoom() -> void
{
    if (!isFull()) {
        return;
    }
    const auto now = Clock::now();
    const auto longest = longestWaiting(now);
    if (now >= state_->nextBoundLog_) {
        state_->nextBoundLog_ = now + boundLogInterval;
        logEvent(LogLevel::Warning, "connections_full",
            { { "connections", state_->connections_.size() }, { "closed", state_->stats_.closedForRoom_ } });
    }
    if (longest) {
        ++state_->stats_.closedForRoom_;
        longest->closeWaiting();
    }
    // If all of them have become busy meanwhile, the bound is exceeded by this one connection.
}

auto AsioListener::accept() -> void
{
    // Connections that cannot be served yet wait in the backlog of the socket.
    if (isFull() && !longestWaiting(Clock::now())) {
        acceptAfterPause();
        return;
    }
    acceptor_.async_accept(
        [self = shared_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                logEvent(LogLevel::Warning, "accept_failed", { { "error", error.message() } });
                self->acceptAfterPause();
                return;
            }
            self->makeRoom();
            self->add(std::move(socket));
            self->accept();
        });
}

auto AsioListener::add(asio::ip::tcp::socket socket) -> void
{
    setPathOptions(socket, PeerPace::Slow);
    asio::error_code ignored; // A socket that stays blocking would fail on its first read.
    socket.non_blocking(true, ignored);
    auto connection = std::make_shared<Connection>(std::move(socket), state_);
    state_->connections_.insert(connection);
    connection->start();
}

auto AsioListener::acceptAfterPause() -> void
{
    pause_.expires_after(acceptPause);
    pause_.async_wait([self = shared_from_this()](const asio::error_code& error) {
        if (!error && self->acceptor_.is_open()) {
            self->accept();
        }
    });
}

auto AsioListener::acceptBacklog() -> void
{
    asio::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (!error) {
            add(std::move(socket));
        }
    }
}

auto AsioListener::tick(TimePoint now) -> void
{
    for (const auto& connection : snapshot()) {
        connection->checkTime(now);
    }
}

auto AsioListener::stop() -> void
{
    state_->closing_ = true;
    // Closing the listening socket resets connections that wait in its backlog.
    acceptBacklog();
    asio::error_code ignored; // The socket is gone either way.
    acceptor_.close(ignored);
    pause_.cancel();
    for (const auto& connection : snapshot()) {
        connection->closeIfIdle();
    }
}

} // namespace

Exchange::Exchange(std::shared_ptr<Connection> connection, std::uint64_t request)
    : connection_(std::move(connection))
    , request_(request)
{
}

auto Exchange::respond(Response response) -> void
{
    connection_->respond(request_, std::move(response));
}

auto Exchange::onGone(std::function<void()> handler) -> void
{
    connection_->onGone(request_, std::move(handler));
}

auto Listener::open(asio::io_context& context, const Address& address, ListenerLimits limits, Handler handler)
    -> Result<std::shared_ptr<Listener>>
{
    auto listener = std::make_shared<AsioListener>(context, limits, std::move(handler));
    auto listening = listener->listen(address);
    if (!isOk(listening)) {
        return errorOf(listening);
    }
    listener->accept();
    return std::shared_ptr<Listener>(listener);
}

} // namespace wagtailhead::http1
