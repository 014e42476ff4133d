#include "peer_connection.h"

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <cstring>

namespace wagtailhead {

namespace {

/// An idle connection is pinged this often, so that its loss is noticed before it is needed without
/// spending the control budget of a node with many connections.
constexpr Duration idlePingInterval = seconds(5);

/// The accepting side closes a connection that has been quiet for this long; the dialling side pings
/// an idle connection several times in it.
constexpr Duration acceptedSilenceLimit = seconds(30);

auto putBigEndian(std::string& out, std::uint64_t value, std::size_t bytes) -> void
{
    for (std::size_t i = bytes; i-- > 0;) {
        out += static_cast<char>((value >> (8 * i)) & 0xff);
    }
}

auto getBigEndian(const char* data, std::size_t bytes) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
        value = value << 8 | static_cast<unsigned char>(data[i]);
    }
    return value;
}

auto clockMicroseconds(TimePoint now) -> std::int64_t
{
    return std::chrono::duration_cast<microseconds>(now.time_since_epoch()).count();
}

} // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket socket,
    std::shared_ptr<const PeerTransportOptions> options, std::shared_ptr<PeerCounters> counters)
    : socket_(std::move(socket))
    , strand_(asio::make_strand(socket_.get_executor()))
    , livenessTimer_(strand_)
    , options_(std::move(options))
    , counters_(std::move(counters))
    , lastReceived_(Clock::now())
    , lastCheck_(lastReceived_)
    , lastUsed_(Clock::now().time_since_epoch().count())
{
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    ++counters_->connectionsOpen_;
}

PeerConnection::~PeerConnection()
{
    --counters_->connectionsOpen_;
}

auto PeerConnection::start(MessageCallback onMessage, CloseCallback onClose) -> void
{
    onMessage_ = std::move(onMessage);
    onClose_ = std::move(onClose);
    pingSentAt_ = Clock::now();
    enqueue(Hello { protocolVersion, options_->self_, options_->zone_ });
    asio::post(strand_, [self = shared_from_this()] {
        self->read();
        self->checkLiveness();
    });
}

auto PeerConnection::send(const Message& message) -> bool
{
    lastUsed_ = Clock::now().time_since_epoch().count();
    return enqueue(message);
}

auto PeerConnection::enqueue(const Message& message) -> bool
{
    const auto now = Clock::now();
    const auto payload = encodeMessage(message, now);
    std::string frame;
    frame.reserve(headerBytes + payload.size());
    putBigEndian(frame, payload.size() + clockBytes, lengthBytes);
    putBigEndian(frame, static_cast<std::uint64_t>(clockMicroseconds(now)), clockBytes);
    frame += payload;

    bool schedule = false;
    {
        const std::lock_guard lock(queueMutex_);
        if (closed_ || queuedBytes_ + frame.size() > options_->maxPendingBytes_) {
            return false;
        }
        ++counters_->messagesSent_;
        queuedBytes_ += frame.size();
        queue_.push_back(std::move(frame));
        schedule = !std::exchange(flushScheduled_, true);
    }
    if (schedule) {
        // Runs at once if this thread is on the strand already, hence without the lock.
        asio::dispatch(strand_, [self = shared_from_this()] {
            self->flush();
        });
    }
    return true;
}

auto PeerConnection::flush() -> void
{
    std::vector<asio::const_buffer> buffers;
    {
        const std::lock_guard lock(queueMutex_);
        if (queue_.empty() || closed_) {
            flushScheduled_ = false;
            return;
        }
        writing_.swap(queue_);
        queue_.clear();
    }
    buffers.reserve(writing_.size());
    for (const auto& frame : writing_) {
        buffers.emplace_back(frame.data(), frame.size());
    }
    asio::async_write(socket_, buffers,
        asio::bind_executor(
            strand_, [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
                self->counters_->bytesSent_ += bytes;
                if (error) {
                    self->finish(CloseReason::Lost);
                    return;
                }
                {
                    const std::lock_guard lock(self->queueMutex_);
                    self->queuedBytes_ -= bytes;
                }
                self->writing_.clear();
                self->flush();
            }));
}

auto PeerConnection::read() -> void
{
    const auto used = input_.size();
    input_.resize(used + readBufferBytes);
    socket_.async_read_some(asio::buffer(input_.data() + used, readBufferBytes),
        asio::bind_executor(
            strand_, [self = shared_from_this(), used](const asio::error_code& error, std::size_t bytes) {
                self->input_.resize(used + (error ? 0 : bytes));
                if (error) {
                    self->finish(CloseReason::Lost);
                    return;
                }
                self->onRead(bytes);
            }));
}

auto PeerConnection::onRead(std::size_t bytes) -> void
{
    counters_->bytesReceived_ += bytes;
    lastReceived_ = Clock::now();
    pingOutstanding_ = false;
    if (!takeFrames()) {
        finish(CloseReason::Lost);
        return;
    }
    read();
}

auto PeerConnection::takeFrames() -> bool
{
    while (input_.size() - inputStart_ >= headerBytes) {
        const char* header = input_.data() + inputStart_;
        const auto length = getBigEndian(header, lengthBytes);
        if (length < clockBytes || length > maxFrameBytes) {
            return false;
        }
        if (input_.size() - inputStart_ < lengthBytes + length) {
            break;
        }
        const auto clock
            = microseconds(static_cast<std::int64_t>(getBigEndian(header + lengthBytes, clockBytes)));
        if (!handleFrame({ header + headerBytes, length - clockBytes }, clock)) {
            return false;
        }
        inputStart_ += lengthBytes + length;
    }
    input_.erase(0, inputStart_);
    inputStart_ = 0;
    return true;
}

auto PeerConnection::handleFrame(std::string_view payload, microseconds senderClock) -> bool
{
    ++counters_->messagesReceived_;
    const auto now = Clock::now();
    auto sentAt = offset_.observe(senderClock, now);
    if (shortestRoundTrip_ != Duration::max()) {
        // The offset contains the shortest transit time; without it a message would look too new.
        sentAt -= shortestRoundTrip_ / 2;
    }
    auto decoded = decodeMessage(payload, sentAt);
    if (!isOk(decoded)) {
        return false;
    }
    auto message = valueOf(std::move(decoded));
    if (const auto* hello = std::get_if<Hello>(&message)) {
        if (helloSeen_ || hello->version_ != protocolVersion) {
            return false;
        }
        helloSeen_ = true;
        remote_ = hello->sender_;
        // Gives the peer a round trip time before the first request reaches it.
        enqueue(Pong { 0 });
    } else if (!helloSeen_) {
        return false;
    } else if (const auto* ping = std::get_if<Ping>(&message)) {
        enqueue(Pong { ping->number_ });
        return true;
    } else if (const auto* pong = std::get_if<Pong>(&message)) {
        if (pong->number_ == pingNumber_) {
            shortestRoundTrip_ = std::min(shortestRoundTrip_, now - pingSentAt_);
        }
        return true;
    }
    lastUsed_ = Clock::now().time_since_epoch().count();
    onMessage_(shared_from_this(), std::move(message));
    return true;
}

auto PeerConnection::checkLiveness() -> void
{
    const auto now = Clock::now();
    if (now - std::exchange(lastCheck_, now) > options_->silenceLimit_) {
        // This process itself was paused: what arrived meanwhile has not been read yet.
        lastReceived_ = now;
        pingOutstanding_ = false;
    }
    const auto quiet = now - lastReceived_;
    const bool busy = inFlight_ > 0;
    if (pingOutstanding_ && now - pingSentAt_ > options_->silenceLimit_) {
        finish(CloseReason::Silent);
        return;
    }
    if (quiet > acceptedSilenceLimit) {
        finish(CloseReason::Silent);
        return;
    }
    if (!pingOutstanding_ && quiet >= (busy ? options_->pingInterval_ : idlePingInterval)) {
        pingOutstanding_ = true;
        pingSentAt_ = now;
        enqueue(Ping { ++pingNumber_ });
    }
    livenessTimer_.expires_after(options_->pingInterval_ / 2);
    livenessTimer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
        if (!error) {
            self->checkLiveness();
        }
    });
}

auto PeerConnection::close(CloseReason reason) -> void
{
    asio::post(strand_, [self = shared_from_this(), reason] {
        self->finish(reason);
    });
}

auto PeerConnection::finish(CloseReason reason) -> void
{
    {
        const std::lock_guard lock(queueMutex_);
        if (closed_) {
            return;
        }
        closed_ = true;
        queue_.clear();
    }
    livenessTimer_.cancel();
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    if (reason == CloseReason::Silent) {
        ++counters_->connectionsSilent_;
    } else if (reason == CloseReason::Lost) {
        ++counters_->connectionsLost_;
    }
    onClose_(shared_from_this(), reason);
}

auto PeerConnection::remote() const -> const NodeRef&
{
    return remote_;
}

auto PeerConnection::addInFlight(int change) -> void
{
    inFlight_ += change;
}

auto PeerConnection::lastUsed() const -> TimePoint
{
    return TimePoint(Duration(lastUsed_.load()));
}

} // namespace wagtailhead
