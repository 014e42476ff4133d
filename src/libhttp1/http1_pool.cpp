#include "http1_pool.h"

#include "socket_options.h"

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <charconv>
#include <deque>
#include <numeric>
#include <unordered_map>
#include <vector>

namespace wagtailhead::http1 {

namespace {

/// Returns the idle limit that a server names (`Keep-Alive: timeout=N`), or nothing.
auto namedIdleLimit(const Response& response) -> std::optional<Duration>
{
    constexpr std::string_view key = "timeout=";
    const auto value = response.headers_.find("Keep-Alive");
    const auto at = value.find(key);
    int limit = 0;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value.substr(at + key.size());
    if (std::from_chars(digits.data(), digits.data() + digits.size(), limit).ec != std::errc {}) {
        return std::nullopt;
    }
    return seconds(limit);
}

class AsioPool;

/// One connection to the server: idle, or busy with one call.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(asio::io_context& context, AsioPool& pool)
        : socket_(context)
        , pool_(&pool)
    {
    }

    auto connect(const Address& server, Duration timeout) -> void;
    auto begin(Pool::CallId id, PoolCall call) -> void;
    auto checkTime(TimePoint now) -> void;
    auto close() -> void;
    /// Ends the call without its callback.
    auto abandon() -> void;
    auto detach() -> void
    {
        pool_ = nullptr;
    }
    /// Returns whether nothing has arrived, not even the end of the connection. Precondition: it is idle.
    auto isQuiet() -> bool;
    auto idleSince() const -> TimePoint
    {
        return idleSince_;
    }
    auto idleLimit() const -> Duration
    {
        return idleLimit_;
    }
    auto bufferedBytes() const -> std::size_t
    {
        return reader_.bodySize();
    }
    auto fail(Failure failure) -> void;

private:
    enum class RequestState : std::uint8_t {
        Written, ///< Or there is none.
        Writing,
        Failed, ///< The connection has broken, and the next read may not report it.
    };

    auto onConnected(const asio::error_code& error) -> void;
    auto sendRequest() -> void;
    auto write() -> void;
    auto waitWritable() -> void;
    /// Returns what is left to write.
    auto unwritten() const -> std::array<asio::const_buffer, 2>;
    auto endWriting(RequestState state) -> void;
    auto waitReadable() -> void;
    /// Reads what fits into one buffer. Returns false if nothing was there or the connection is closed.
    auto readSome() -> bool;
    auto take(std::string_view bytes) -> void;
    /// Returns whether the response is a copy of the one to the previous request on this connection.
    auto isLateCopy(const Response& response) const -> bool;
    auto complete(Response response, bool bytesLeft) -> void;

    asio::ip::tcp::socket socket_;
    AsioPool* pool_; ///< Null after the pool has gone.
    MessageReader reader_ { MessageReader::Kind::Responses };
    std::string output_; ///< Head of the request that is being written.
    Body body_; ///< Of that request.
    std::size_t written_ = 0; ///< Bytes of that request.
    std::optional<PoolCall> call_;
    Pool::CallId callId_ = 0;
    std::string previousId_; ///< PoolCall::id_ of the previous request.
    bool copyDropped_ = false; ///< The server is out of step; the connection is not used further.
    TimePoint callDeadline_;
    TimePoint connectDeadline_;
    TimePoint sentAt_; ///< Start of the request's transmission.
    TimePoint idleSince_;
    Duration idleLimit_ {};
    bool toHead_ = false;
    RequestState requestState_ = RequestState::Written;
    bool connected_ = false;
    bool waiting_ = false;
    bool closed_ = false;
};

class AsioPool final : public Pool {
public:
    AsioPool(asio::io_context& context, PoolOptions options)
        : context_(context)
        , options_(std::move(options))
    {
        reader_.fill(0);
    }
    ~AsioPool() override;
    AsioPool(const AsioPool&) = delete;
    auto operator=(const AsioPool&) -> AsioPool& = delete;

    auto send(PoolCall call) -> CallId override;
    auto cancel(CallId id) -> void override;
    auto tick(TimePoint now) -> void override;
    auto closeIdle() -> void override;
    auto setServer(const Address& server) -> void override;
    auto setMaxConnections(std::size_t count) -> void override
    {
        options_.maxConnections_ = count;
    }
    auto stats() const -> PoolStats override;

    auto buffer() -> std::array<char, 65536>&
    {
        return reader_;
    }
    auto options() const -> const PoolOptions&
    {
        return options_;
    }
    auto onClosed(const std::shared_ptr<ClientConnection>& connection, CallId id, bool lostCall) -> void;
    auto onIdle(const std::shared_ptr<ClientConnection>& connection, CallId id) -> void;
    auto onLateCopy() -> void
    {
        ++stats_.lateCopies_;
    }
    /// Ends the longest response that is being read while all of them together exceed the limit.
    auto limitBufferedBytes() -> void;

private:
    auto bufferedBytes() const -> std::size_t;
    auto takeIdle(Duration maxIdle) -> std::shared_ptr<ClientConnection>;
    auto startWaiting() -> void;
    auto closeExpired(TimePoint now) -> void;

    struct WaitingCall {
        CallId id_ = 0;
        PoolCall call_;
        TimePoint deadline_;
    };

    asio::io_context& context_;
    PoolOptions options_;
    std::array<char, 65536> reader_ {};
    std::unordered_map<CallId, std::shared_ptr<ClientConnection>> running_;
    std::vector<std::shared_ptr<ClientConnection>> idle_; ///< The last used one is at the end.
    std::deque<WaitingCall> waiting_;
    CallId lastId_ = 0;
    PoolStats stats_;
};

auto ClientConnection::connect(const Address& server, Duration timeout) -> void
{
    connectDeadline_ = Clock::now() + timeout;
    socket_.async_connect(endpointOf(server), [self = shared_from_this()](const asio::error_code& error) {
        self->onConnected(error);
    });
}

auto ClientConnection::onConnected(const asio::error_code& error) -> void
{
    if (closed_) {
        return;
    }
    if (error) {
        fail(Failure::NotSent);
        return;
    }
    connected_ = true;
    setPathOptions(socket_, pool_->options().serverPace_);
    asio::error_code ignored; // A socket that stays blocking would fail on its first read.
    socket_.non_blocking(true, ignored);
    if (call_) {
        sendRequest();
    }
}

auto ClientConnection::begin(Pool::CallId id, PoolCall call) -> void
{
    callId_ = id;
    callDeadline_ = Clock::now() + std::min<Duration>(call.timeout_, std::chrono::hours(1));
    call_ = std::move(call);
    if (connected_) {
        sendRequest();
    }
}

auto ClientConnection::isQuiet() -> bool
{
    char byte = 0;
    asio::error_code error;
    socket_.receive(asio::buffer(&byte, sizeof byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

auto ClientConnection::sendRequest() -> void
{
    sentAt_ = Clock::now();
    toHead_ = call_->request_.method_ == "HEAD";
    reader_.reset(toHead_);
    reader_.setLimits({ pool_->options().maxHeaderBytes_, pool_->options().maxResponseBytes_ });
    output_.clear();
    appendRequestHead(output_, call_->request_);
    body_ = std::move(call_->request_.body_);
    call_->request_ = {};
    written_ = 0;
    requestState_ = RequestState::Writing;
    waitReadable();
    write();
}

auto ClientConnection::write() -> void
{
    asio::error_code error;
    written_ += socket_.write_some(unwritten(), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        endWriting(RequestState::Failed);
        if (written_ == 0) {
            // What is there to read came before the request. Not at once: done_ must not run inside send().
            asio::post(socket_.get_executor(), [self = shared_from_this()] {
                self->fail(Failure::Lost);
            });
        }
    } else if (written_ == output_.size() + body_.size()) {
        endWriting(RequestState::Written);
    } else {
        waitWritable();
    }
}

auto ClientConnection::waitWritable() -> void
{
    socket_.async_wait(
        asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const asio::error_code& error) {
            if (error || self->closed_ || self->pool_ == nullptr) {
                return;
            }
            // A write that fails takes the error of the socket with it, and a read then reports a reset as an
            // orderly close. What has arrived before is read first, with the end that belongs to it.
            if (self->readSome()) {
                self->waitWritable();
            } else if (!self->closed_) {
                self->write();
            }
        });
}

auto ClientConnection::unwritten() const -> std::array<asio::const_buffer, 2>
{
    const auto head = std::min(written_, output_.size());
    return { asio::buffer(output_) + head, asio::buffer(body_.text()) + (written_ - head) };
}

auto ClientConnection::endWriting(RequestState state) -> void
{
    requestState_ = state;
    output_ = {};
    body_ = {};
}

auto ClientConnection::waitReadable() -> void
{
    if (waiting_ || closed_) {
        return;
    }
    waiting_ = true;
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& error) {
            self->waiting_ = false;
            if (error || self->closed_ || self->pool_ == nullptr) {
                return;
            }
            self->readSome();
            self->waitReadable();
        });
}

auto ClientConnection::readSome() -> bool
{
    asio::error_code error;
    const auto size = socket_.read_some(asio::buffer(pool_->buffer()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        return false;
    }
    if (error == asio::error::eof && call_ && requestState_ != RequestState::Failed) {
        reader_.finish();
        if (reader_.state() == ReadState::Complete) {
            complete(reader_.takeResponse(), true);
            return false;
        }
    }
    if (error || !call_) {
        // Bytes on an idle connection belong to no request.
        fail(Failure::Lost);
        return false;
    }
    take({ pool_->buffer().data(), size });
    return !closed_;
}

auto ClientConnection::take(std::string_view bytes) -> void
{
    auto used = reader_.feed(bytes);
    while (reader_.state() == ReadState::Complete) {
        auto response = reader_.takeResponse();
        bytes.remove_prefix(used);
        if (copyDropped_ || !response.keepAlive_ || !isLateCopy(response)) {
            complete(std::move(response), !bytes.empty());
            return;
        }
        copyDropped_ = true;
        pool_->onLateCopy();
        reader_.reset(toHead_);
        used = reader_.feed(bytes);
    }
    if (reader_.state() > ReadState::Complete) {
        fail(Failure::Malformed);
        return;
    }
    pool_->limitBufferedBytes();
}

auto ClientConnection::isLateCopy(const Response& response) const -> bool
{
    const auto& header = pool_->options().echoHeader_;
    if (header.empty() || previousId_.empty() || previousId_ == call_->id_) {
        return false;
    }
    return response.headers_.find(header) == previousId_;
}

auto ClientConnection::complete(Response response, bool bytesLeft) -> void
{
    // A response that came before the request was sent leaves the rest of the request due.
    const bool reusable
        = response.keepAlive_ && !bytesLeft && requestState_ == RequestState::Written && !copyDropped_;
    const auto named = namedIdleLimit(response);
    idleLimit_ = named ? std::max(*named - pool_->options().idleMargin_, Duration::zero())
                       : pool_->options().idleLimit_;
    const auto self = shared_from_this();
    auto done = std::move(call_->done_);
    previousId_ = std::move(call_->id_);
    call_.reset();
    if (reusable) {
        idleSince_ = Clock::now();
        waitReadable();
        pool_->onIdle(self, callId_);
    } else {
        close();
        pool_->onClosed(self, callId_, false);
    }
    done(std::move(response));
}

auto ClientConnection::fail(Failure failure) -> void
{
    if (closed_) {
        return;
    }
    const auto self = shared_from_this();
    close();
    const bool hadCall = call_.has_value();
    auto done = hadCall ? std::move(call_->done_) : nullptr;
    call_.reset();
    if (pool_ != nullptr) {
        pool_->onClosed(self, callId_, hadCall);
    }
    if (done) {
        done(failure);
    }
}

auto ClientConnection::checkTime(TimePoint now) -> void
{
    if (!connected_ && now > connectDeadline_) {
        fail(Failure::NotSent);
    } else if (call_ && now > callDeadline_) {
        fail(connected_ ? Failure::Timeout : Failure::NotSent);
    } else if (call_ && connected_ && pool_->options().serverPace_ == PeerPace::Slow
        && now - sentAt_ > silentPathLimit && isPathSilent(socket_)) {
        fail(Failure::Lost);
    }
}

auto ClientConnection::close() -> void
{
    closed_ = true;
    asio::error_code ignored; // Nothing is left to do with the socket.
    socket_.close(ignored);
}

auto ClientConnection::abandon() -> void
{
    call_.reset();
    close();
}

AsioPool::~AsioPool()
{
    for (const auto& [id, connection] : running_) {
        connection->detach();
        connection->abandon();
    }
    for (const auto& connection : idle_) {
        connection->detach();
        connection->abandon();
    }
}

auto AsioPool::takeIdle(Duration maxIdle) -> std::shared_ptr<ClientConnection>
{
    while (!idle_.empty()) {
        const auto idleTime = Clock::now() - idle_.back()->idleSince();
        if (idleTime > maxIdle || idleTime > idle_.back()->idleLimit()) {
            break; // The others have been idle for longer.
        }
        auto connection = idle_.back();
        idle_.pop_back();
        // What precedes the request would be taken for its response.
        if (connection->isQuiet()) {
            return connection;
        }
        connection->abandon();
    }
    return nullptr;
}

auto AsioPool::send(PoolCall call) -> CallId
{
    const auto id = ++lastId_;
    if (auto connection = takeIdle(call.maxIdle_)) {
        ++stats_.reused_;
        running_[id] = connection;
        connection->begin(id, std::move(call));
        return id;
    }
    if (running_.size() >= options_.maxConnections_) {
        const auto deadline = Clock::now() + std::min<Duration>(call.timeout_, std::chrono::hours(1));
        waiting_.push_back({ id, std::move(call), deadline });
        return id;
    }
    if (running_.size() + idle_.size() >= options_.maxConnections_ && !idle_.empty()) {
        idle_.front()->abandon();
        idle_.erase(idle_.begin());
    }
    auto connection = std::make_shared<ClientConnection>(context_, *this);
    ++stats_.opened_;
    running_[id] = connection;
    connection->connect(options_.server_, options_.connectTimeout_);
    connection->begin(id, std::move(call));
    return id;
}

auto AsioPool::cancel(CallId id) -> void
{
    const auto found = running_.find(id);
    if (found != running_.end()) {
        found->second->abandon();
        running_.erase(found);
        startWaiting();
        return;
    }
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
        if (it->id_ == id) {
            waiting_.erase(it);
            return;
        }
    }
}

auto AsioPool::startWaiting() -> void
{
    if (waiting_.empty() || running_.size() >= options_.maxConnections_) {
        return;
    }
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    auto connection = takeIdle(next.call_.maxIdle_);
    if (!connection) {
        connection = std::make_shared<ClientConnection>(context_, *this);
        ++stats_.opened_;
        connection->connect(options_.server_, options_.connectTimeout_);
    }
    running_[next.id_] = connection;
    connection->begin(next.id_, std::move(next.call_));
}

auto AsioPool::onClosed(const std::shared_ptr<ClientConnection>& connection, CallId id, bool lostCall) -> void
{
    stats_.lost_ += lostCall ? 1 : 0;
    const auto found = running_.find(id);
    if (found != running_.end() && found->second == connection) {
        running_.erase(found);
    }
    std::erase(idle_, connection);
    startWaiting();
}

auto AsioPool::bufferedBytes() const -> std::size_t
{
    return std::accumulate(
        running_.begin(), running_.end(), std::size_t { 0 }, [](std::size_t sum, const auto& running) {
            return sum + running.second->bufferedBytes();
        });
}

auto AsioPool::limitBufferedBytes() -> void
{
    if (bufferedBytes() <= options_.maxBufferedBytes_) {
        return;
    }
    const auto longest
        = std::max_element(running_.begin(), running_.end(), [](const auto& left, const auto& right) {
              return left.second->bufferedBytes() < right.second->bufferedBytes();
          });
    const auto connection = longest->second;
    connection->fail(Failure::Malformed);
}

auto AsioPool::onIdle(const std::shared_ptr<ClientConnection>& connection, CallId id) -> void
{
    running_.erase(id);
    idle_.push_back(connection);
    startWaiting();
}

auto AsioPool::tick(TimePoint now) -> void
{
    std::vector<std::shared_ptr<ClientConnection>> connections;
    connections.reserve(running_.size());
    for (const auto& [id, connection] : running_) {
        connections.push_back(connection);
    }
    for (const auto& connection : connections) {
        connection->checkTime(now);
    }
    std::vector<WaitingCall> expired;
    while (!waiting_.empty() && waiting_.front().deadline_ < now) {
        expired.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    for (auto& call : expired) {
        call.call_.done_(Failure::NotSent);
    }
    closeExpired(now);
}

auto AsioPool::closeExpired(TimePoint now) -> void
{
    while (!idle_.empty() && now - idle_.front()->idleSince() > idle_.front()->idleLimit()) {
        idle_.front()->abandon();
        idle_.erase(idle_.begin());
    }
}

auto AsioPool::closeIdle() -> void
{
    for (const auto& connection : idle_) {
        connection->abandon();
    }
    idle_.clear();
}

auto AsioPool::setServer(const Address& server) -> void
{
    options_.server_ = server;
    closeIdle();
}

auto AsioPool::stats() const -> PoolStats
{
    auto stats = stats_;
    stats.bufferedBytes_ = bufferedBytes();
    stats.idle_ = idle_.size();
    stats.open_ = idle_.size() + running_.size();
    return stats;
}

} // namespace

auto failureName(Failure failure) -> const char*
{
    switch (failure) {
    case Failure::NotSent:
        return "not-sent";
    case Failure::Lost:
        return "lost";
    case Failure::Malformed:
        return "malformed";
    case Failure::Timeout:
        return "timeout";
    }
    return "lost";
}

auto Pool::create(asio::io_context& context, PoolOptions options) -> std::shared_ptr<Pool>
{
    return std::make_shared<AsioPool>(context, std::move(options));
}

} // namespace wagtailhead::http1
