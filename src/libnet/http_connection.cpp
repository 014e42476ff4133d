#include "http_connection.h"

#include <algorithm>
#include <asio/write.hpp>

namespace wagtailhead {

namespace {

/// Bounds one write; a caller that takes no bytes for this long is given up.
constexpr auto writeLimit = seconds(30);
/// A safety net above the longest deadline of a call (60 s), for handlers that never answer.
constexpr Duration handlerLimit = seconds(600);
/// Each connection wakes up once per interval, so a short one costs processor time.
constexpr Duration maxCheckInterval = seconds(2);
constexpr int checksPerTimeout = 5;
constexpr auto drainLimit = seconds(3);
/// Covers what a caller has under way on a fast network, without serving an endless upload.
constexpr std::size_t maxDrainedBytes = std::size_t { 16 } << 20;
constexpr std::size_t drainBufferBytes = std::size_t { 16 } << 10;

} // namespace

auto CallerWatch::answer() -> bool
{
    std::function<void()> unused;
    const std::lock_guard lock(mutex_);
    if (answered_) {
        return false;
    }
    answered_ = true;
    unused.swap(callback_);
    return true;
}

auto CallerWatch::onGone(std::function<void()> callback) -> void
{
    {
        const std::lock_guard lock(mutex_);
        if (answered_) {
            return;
        }
        if (!gone_) {
            callback_ = std::move(callback);
            return;
        }
    }
    callback();
}

auto CallerWatch::callerGone() -> void
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(mutex_);
        gone_ = true;
        callback.swap(callback_);
    }
    if (callback) {
        callback();
    }
}

HttpConnection::HttpConnection(HttpSocket socket, std::shared_ptr<const HttpConnectionOptions> options)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , options_(std::move(options))
    , inspector_(options_->maxBodyBytes_, options_->maxHeaderBytes_)
    , idleSince_(Clock::now())
{
}

auto HttpConnection::start(std::shared_ptr<void> place) -> void
{
    place_ = std::move(place);
    asio::error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    scheduleCheck();
}

auto HttpConnection::cancel() -> void
{
    asio::error_code ignored;
    socket_.cancel(ignored);
}

auto HttpConnection::requestStarted(std::shared_ptr<CallerWatch> watch) -> void
{
    running_.push_back(std::move(watch));
}

auto HttpConnection::answerWritten(bool goesOn) -> void
{
    writingSince_ = {};
    idleSince_ = Clock::now();
    requestSince_ = idleSince_;
    if (!running_.empty()) {
        running_.erase(running_.begin());
    }
    if (goesOn) {
        refuseAfterAnswers();
    }
}

auto HttpConnection::inspect(asio::mutable_buffer buffer, std::size_t length) -> std::size_t
{
    const auto wasInside = inspector_.isInsideRequest();
    const auto completed = inspector_.requestsCompleted();
    const auto accepted = inspector_.inspect(static_cast<char*>(buffer.data()), length);
    refusal_ = inspector_.refusal();
    if (refusal_) {
        return accepted;
    }
    if (!inspector_.isInsideRequest()) {
        idleSince_ = Clock::now();
    } else if (!wasInside || inspector_.requestsCompleted() != completed) {
        requestSince_ = Clock::now();
    }
    if (inspector_.takeExpectsContinue() && running_.empty()) {
        sendContinue();
    }
    return accepted;
}

auto HttpConnection::sendContinue() -> void
{
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::error_code ignored;
    // No answer is under way, so the send buffer is empty and takes these few bytes whole.
    socket_.write_some(asio::buffer(interim), ignored);
}

auto HttpConnection::refuseAfterAnswers() -> void
{
    if (!refusal_ || closing_) {
        return;
    }
    // Written any earlier, the refusal would be taken for the answer to a request that is still running.
    if (running_.empty()) {
        refuse();
    } else {
        drain(); // Notices a caller that leaves meanwhile.
    }
}

auto HttpConnection::refuse() -> void
{
    refusalText_ = options_->refusalAnswer_(*refusal_);
    startClosing();
    asio::async_write(socket_, asio::buffer(refusalText_),
        [self = shared_from_this()](asio::error_code error, std::size_t) {
            if (error) {
                self->closeNow();
                return;
            }
            asio::error_code ignored;
            self->socket_.shutdown(HttpSocket::shutdown_send, ignored);
        });
    drain();
}

auto HttpConnection::startClosing() -> void
{
    closing_ = true;
    drainUntil_ = Clock::now() + drainLimit;
    if (!draining_) {
        cancel(); // Ends a read of the server library.
    }
}

auto HttpConnection::close() -> void
{
    if (closing_) {
        return;
    }
    notifyCallersGone();
    if (peerClosed_) {
        closeNow();
        return;
    }
    startClosing();
    asio::error_code ignored;
    socket_.shutdown(HttpSocket::shutdown_send, ignored);
    drain();
}

auto HttpConnection::drain() -> void
{
    if (std::exchange(draining_, true)) {
        return;
    }
    drainBuffer_.resize(drainBufferBytes);
    drainNext();
}

auto HttpConnection::drainNext() -> void
{
    socket_.async_read_some(
        asio::buffer(drainBuffer_), [self = shared_from_this()](asio::error_code error, std::size_t length) {
            self->drained_ += length;
            // The server library cancels all operations before it writes a last answer.
            const auto goesOn
                = !error || (error == asio::error::operation_aborted && self->socket_.is_open());
            if (!goesOn) {
                self->closeNow();
            } else if (self->drained_ <= maxDrainedBytes) {
                self->drainNext();
            }
        });
}

auto HttpConnection::closeNow() -> void
{
    closing_ = true;
    asio::error_code ignored;
    socket_.close(ignored);
    place_.reset();
    timer_.cancel();
    notifyCallersGone();
}

auto HttpConnection::notifyCallersGone() -> void
{
    for (const auto& watch : std::exchange(running_, {})) {
        watch->callerGone();
    }
}

auto HttpConnection::scheduleCheck() -> void
{
    const auto shortest = std::min(options_->idleTimeout_, options_->requestTimeout_);
    timer_.expires_after(std::min(maxCheckInterval, shortest / checksPerTimeout));
    timer_.async_wait([weak = weak_from_this()](asio::error_code error) {
        if (const auto self = weak.lock(); self && !error) {
            self->check();
        }
    });
}

auto HttpConnection::check() -> void
{
    if (!socket_.is_open()) {
        return;
    }
    const auto now = Clock::now();
    if (isOverdue(now)) {
        closeNow();
        return;
    }
    // While requests are running, the library may leave the next one unread.
    const auto isReading = !closing_ && !refusal_ && running_.empty();
    if (isReading && inspector_.isInsideRequest() && now > requestSince_ + options_->requestTimeout_) {
        refusal_ = HttpRefusal::TooSlow;
        refuse();
    }
    scheduleCheck();
}

auto HttpConnection::isOverdue(TimePoint now) const -> bool
{
    if (closing_) {
        return now > drainUntil_;
    }
    if (writingSince_ != TimePoint {}) {
        return now > writingSince_ + writeLimit;
    }
    if (!running_.empty()) {
        return now > idleSince_ + handlerLimit;
    }
    return !inspector_.isInsideRequest() && now > idleSince_ + options_->idleTimeout_;
}

} // namespace wagtailhead
