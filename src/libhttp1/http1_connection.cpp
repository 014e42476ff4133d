#include "http1_connection.h"

#include "socket_options.h"
#include "wagtailhead/log.h"

#include <asio/write.hpp>

namespace wagtailhead::http1 {

namespace {

/// Bytes that a caller may send ahead of the response; beyond it the socket is not read.
constexpr std::size_t maxPendingBytes = 65536;
/// How long a closing caller may take to close its side.
constexpr Duration lingerLimit = seconds(1);
/// How long a response may stay unread; the caller's own time is over well before.
constexpr Duration writeLimit = seconds(30);

constexpr int statusBadRequest = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeadersTooLarge = 431;

} // namespace

Connection::Connection(asio::ip::tcp::socket socket, std::shared_ptr<ListenerState> listener)
    : socket_(std::move(socket))
    , listener_(std::move(listener))
{
}

auto Connection::start() -> void
{
    reader_.setLimits(listener_->limits_.read_);
    waitReadable();
}

auto Connection::waitReadable() -> void
{
    if (waiting_ || phase_ == Phase::Closed || pending_.size() >= maxPendingBytes) {
        return;
    }
    waiting_ = true;
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& error) {
            self->waiting_ = false;
            if (!error) {
                self->onReadable();
            }
        });
}

auto Connection::onReadable() -> void
{
    if (phase_ == Phase::Closed) {
        return;
    }
    asio::error_code error;
    const auto size = socket_.read_some(asio::buffer(listener_->buffer_), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        waitReadable();
        return;
    }
    if (error) {
        callerGone();
        return;
    }
    const std::string_view bytes(listener_->buffer_.data(), size);
    if (phase_ == Phase::Reading) {
        take(bytes);
    } else if (phase_ != Phase::Lingering) {
        pending_.append(bytes);
    }
    waitReadable();
}

auto Connection::take(std::string_view bytes) -> void
{
    if (reader_.state() == ReadState::Empty && !bytes.empty()) {
        phaseStart_ = Clock::now();
    }
    const auto used = reader_.feed(bytes);
    switch (reader_.state()) {
    case ReadState::Complete:
        pending_.append(bytes.substr(used));
        dispatch();
        break;
    case ReadState::Malformed:
        refuse(statusBadRequest);
        break;
    case ReadState::HeadersTooLarge:
        refuse(statusHeadersTooLarge);
        break;
    case ReadState::BodyTooLarge:
        refuse(statusBodyTooLarge);
        break;
    default:
        break;
    }
}

auto Connection::dispatch() -> void
{
    auto request = reader_.takeRequest();
    keepAlive_ = request.keepAlive_;
    toHead_ = request.method_ == "HEAD";
    phase_ = Phase::Running;
    phaseStart_ = Clock::now();
    listener_->handler_(std::move(request), std::make_shared<Exchange>(shared_from_this()));
}

auto Connection::refuse(int status) -> void
{
    logEvent(
        LogLevel::Warning, "request_rejected", { { "status", status }, { "reason", reasonPhrase(status) } });
    phase_ = Phase::Running;
    keepAlive_ = false;
    Response response;
    response.status_ = status;
    respond(std::move(response));
}

auto Connection::respond(Response response) -> void
{
    if (phase_ != Phase::Running) {
        return;
    }
    goneHandler_ = nullptr;
    keepAlive_ = keepAlive_ && response.keepAlive_ && !listener_->closing_;
    response.keepAlive_ = keepAlive_;
    output_.clear();
    appendResponse(output_, response, toHead_);
    listener_->unwrittenBytes_ += output_.size();
    phase_ = Phase::Writing;
    phaseStart_ = Clock::now();
    write();
}

auto Connection::write() -> void
{
    asio::error_code error;
    const auto size = socket_.write_some(asio::buffer(output_), error);
    if (!error && size == output_.size()) {
        afterWrite();
        return;
    }
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        close();
        return;
    }
    asio::async_write(socket_, asio::buffer(output_.data() + size, output_.size() - size),
        [self = shared_from_this()](const asio::error_code& failed, std::size_t) {
            if (failed) {
                self->close();
            } else {
                self->afterWrite();
            }
        });
}

auto Connection::afterWrite() -> void
{
    if (phase_ != Phase::Writing) {
        return;
    }
    releaseOutput();
    if (!keepAlive_) {
        linger();
        return;
    }
    phase_ = Phase::Reading;
    phaseStart_ = Clock::now();
    reader_.reset();
    reader_.setLimits(listener_->limits_.read_);
    if (!pending_.empty()) {
        const auto bytes = std::exchange(pending_, {});
        take(bytes);
    }
    waitReadable();
}

auto Connection::releaseOutput() -> void
{
    listener_->unwrittenBytes_ -= output_.size();
    output_ = {};
}

auto Connection::linger() -> void
{
    phase_ = Phase::Lingering;
    phaseStart_ = Clock::now();
    pending_.clear();
    asio::error_code ignored; // The caller may have closed already.
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    waitReadable();
}

auto Connection::callerGone() -> void
{
    auto handler = std::exchange(goneHandler_, nullptr);
    close();
    if (handler) {
        handler();
    }
}

auto Connection::close() -> void
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    const auto self = shared_from_this();
    listener_->connections_.erase(self);
    asio::error_code ignored; // Nothing is left to do with the socket.
    socket_.close(ignored);
    releaseOutput();
}

auto Connection::onGone(std::function<void()> handler) -> void
{
    if (phase_ == Phase::Running) {
        goneHandler_ = std::move(handler);
    }
}

auto Connection::checkTime(TimePoint now) -> void
{
    const auto spent = now - phaseStart_;
    const bool overdue = (phase_ == Phase::Lingering && spent > lingerLimit)
        || (phase_ == Phase::Writing && spent > writeLimit)
        || (phase_ == Phase::Writing && spent > silentPathLimit && isPathSilent(socket_));
    if (overdue) {
        close();
    } else if (phase_ == Phase::Reading && reader_.state() == ReadState::Empty) {
        if (spent > listener_->limits_.idleTimeout_) {
            linger();
        }
    } else if (phase_ == Phase::Reading && spent > listener_->limits_.headerTimeout_) {
        if (reader_.state() == ReadState::Headers) {
            refuse(statusRequestTimeout);
        } else if (spent > writeLimit) {
            close();
        }
    }
}

auto Connection::closeIfIdle() -> void
{
    const auto self = shared_from_this();
    if (phase_ == Phase::Reading) {
        onReadable(); // Bytes of a request may have arrived since the last wait.
    }
    if (phase_ == Phase::Reading && reader_.state() == ReadState::Empty) {
        linger();
    }
}

} // namespace wagtailhead::http1
