#include "http1_connection.h"

#include "socket_options.h"
#include "wagtailhead/log.h"

#include <algorithm>
#include <asio/write.hpp>
#include <chrono>

namespace wagtailhead::http1 {

namespace {

/// Bytes that a caller may send ahead of what is read as requests; beyond it the socket is not read.
constexpr std::size_t maxPendingBytes = 65536;
/// A connection that is due to read a request reads so much even if the budget of bytes read ahead is used
/// up.
constexpr std::size_t leastRead = 2048;
/// No further request of a connection starts while its caller has left so much unread.
constexpr std::size_t maxUnreadBytes = 262144;
/// When a caller may come back whose request did not fit into the memory.
constexpr auto memoryRetryAfter = "2";
/// Responses that are ready are written together up to this size.
constexpr std::size_t maxJoinedBytes = 65536;
constexpr Duration boundLogInterval = seconds(1);
/// How long a closing caller may take to close its side.
constexpr Duration lingerLimit = seconds(1);
/// How long a response may stay unread; the caller's own time is over well before.
constexpr Duration writeLimit = seconds(30);

constexpr int statusBadRequest = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeadersTooLarge = 431;
constexpr int statusUnavailable = 503;

} // namespace

auto byteSeconds(std::size_t bytes, Duration time) -> double
{
    return static_cast<double>(bytes) * std::chrono::duration<double>(time).count();
}

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
    if (waiting_ || phase_ == Phase::Closed || readableBytes() == 0) {
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

auto Connection::readableBytes() const -> std::size_t
{
    if (phase_ != Phase::Open) {
        return listener_->buffer_.size(); // It is dropped.
    }
    const auto room = listener_->readAhead_->room();
    if (pending_.empty() && mayTakeRequest()) {
        return std::clamp(room, leastRead, listener_->buffer_.size());
    }
    // Read ahead, since only reading detects that the caller closes the connection. Without room the socket
    // is read again after the next response.
    return std::min(maxPendingBytes - std::min(pending_.size(), maxPendingBytes), room);
}

auto Connection::chargePending() -> void
{
    if (pending_.empty()) {
        std::string().swap(pending_);
        pendingCharge_ = {};
        return;
    }
    if (pendingCharge_.bytes() == 0) {
        pendingCharge_ = MemoryCharge(listener_->readAhead_);
    }
    // If it does not fit, it is the little that a connection reads in any case.
    pendingCharge_.tryResize(pending_.capacity());
}

auto Connection::onReadable() -> void
{
    const auto most = readableBytes();
    if (phase_ == Phase::Closed || most == 0) {
        return;
    }
    asio::error_code error;
    const auto size = socket_.read_some(asio::buffer(listener_->buffer_, most), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        waitReadable();
        return;
    }
    if (error) {
        close();
        return;
    }
    const std::string_view bytes(listener_->buffer_.data(), size);
    if (phase_ == Phase::Open) {
        if (pending_.empty()) {
            take(bytes);
        } else {
            pending_.append(bytes);
            chargePending();
        }
    }
    waitReadable();
}

auto Connection::take(std::string_view bytes) -> void
{
    while (!bytes.empty() && phase_ == Phase::Open && mayTakeRequest()) {
        if (reader_.state() == ReadState::Empty) {
            readStart_ = Clock::now();
        }
        bytes.remove_prefix(reader_.feed(bytes));
        if (reader_.state() <= ReadState::Complete && !chargeMessage()) {
            refuseUnread();
            break;
        }
        if (phase_ != Phase::Open || !pipeline_.hasRoom()) {
            break; // Making room for the request has ended this connection.
        }
        switch (reader_.state()) {
        case ReadState::Complete:
            addRequest();
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
    if (pipeline_.takesMore()) {
        pending_.append(bytes);
        chargePending();
    }
    startRequests();
}

auto Connection::chargeMessage() -> bool
{
    const auto bytes = reader_.heldBytes();
    const auto& budget = bytes > largestSmallMessage ? listener_->largeMessages_ : listener_->smallMessages_;
    if (budget != chargedBudget_) {
        charge_ = MemoryCharge(budget);
        chargedBudget_ = budget;
    }
    while (!charge_.tryResize(bytes)) {
        const auto now = Clock::now();
        if (!listener_->refuseDearest(*budget, this, byteSeconds(bytes, now - readStart_), now)) {
            return false;
        }
    }
    return true;
}

auto ListenerState::countRefused(std::size_t bytes) -> void
{
    ++stats_.refusedForMemory_;
    const auto now = Clock::now();
    if (now < nextBoundLog_) {
        return;
    }
    nextBoundLog_ = now + boundLogInterval;
    logEvent(LogLevel::Warning, "request_memory_full",
        { { "held", bytes }, { "small_messages", smallMessages_->used() },
            { "large_messages", largeMessages_->used() }, { "refused", stats_.refusedForMemory_ } });
}

auto ListenerState::refuseDearest(
    const MemoryBudget& budget, const Connection* except, double cost, TimePoint now) -> bool
{
    std::shared_ptr<Connection> dearest;
    for (const auto& connection : connections_) {
        const double other = connection.get() == except ? 0 : connection->unreadCost(budget, now);
        if (other > cost) {
            dearest = connection;
            cost = other;
        }
    }
    if (dearest) {
        dearest->refuseUnread();
    }
    return dearest != nullptr;
}

auto Connection::unreadCost(const MemoryBudget& budget, TimePoint now) const -> double
{
    if (phase_ != Phase::Open || chargedBudget_.get() != &budget) {
        return 0;
    }
    return byteSeconds(charge_.bytes(), now - readStart_);
}

auto Connection::releaseUnread() -> void
{
    reader_.reset();
    charge_ = {};
    chargedBudget_ = nullptr;
    std::string().swap(pending_);
    pendingCharge_ = {};
}

auto Connection::refuseUnread() -> void
{
    listener_->countRefused(charge_.bytes());
    releaseUnread();
    Response response;
    response.status_ = statusUnavailable;
    response.headers_.add("Retry-After", memoryRetryAfter);
    pipeline_.addFinal(std::move(response));
    writeResponses();
}

auto Connection::waitingTime(TimePoint now) const -> std::optional<Duration>
{
    if (phase_ == Phase::Open && (!pipeline_.isEmpty() || writing_)) {
        return std::nullopt;
    }
    if (reader_.state() == ReadState::Body && now - readStart_ < listener_->limits_.headerTimeout_) {
        return std::nullopt;
    }
    return now - (phase_ == Phase::Lingering ? lingerStart_ : readStart_);
}

auto Connection::takePending() -> void
{
    if (!pending_.empty() && mayTakeRequest()) {
        const auto bytes = std::exchange(pending_, {});
        pendingCharge_ = {};
        take(bytes);
    }
}

auto Connection::addRequest() -> void
{
    reader_.setCharge(std::move(charge_));
    chargedBudget_ = nullptr;
    auto request = reader_.takeRequest();
    reader_.reset();
    reader_.setLimits(listener_->limits_.read_);
    readStart_ = Clock::now();
    const bool overlaps = listener_->overlaps_ && listener_->overlaps_(request);
    MemoryCharge ahead;
    if (!pipeline_.isEmpty()) {
        ahead = MemoryCharge(listener_->readAhead_);
        ahead.tryResize(aheadRequestBytes);
    }
    pipeline_.add(std::move(request), overlaps, std::move(ahead));
}

auto Connection::startRequests() -> void
{
    // A handler may answer at once, which leads here again.
    if (std::exchange(starting_, true)) {
        return;
    }
    while (phase_ == Phase::Open && countedBytes_ < maxUnreadBytes) {
        auto started = pipeline_.takeStartable();
        if (!started) {
            break;
        }
        listener_->handler_(
            std::move(started->request_), std::make_shared<Exchange>(shared_from_this(), started->id_));
    }
    starting_ = false;
}

auto Connection::refuse(int status) -> void
{
    logEvent(
        LogLevel::Warning, "request_rejected", { { "status", status }, { "reason", reasonPhrase(status) } });
    releaseUnread();
    Response response;
    response.status_ = status;
    pipeline_.addFinal(std::move(response));
    writeResponses();
}

auto Connection::respond(RequestPipeline::Id id, Response response) -> void
{
    if (phase_ != Phase::Open) {
        return;
    }
    pipeline_.answer(id, std::move(response));
    countUnwritten();
    writeResponses();
}

auto Connection::writeResponses() -> void
{
    if (writing_ || phase_ != Phase::Open) {
        return;
    }
    // Without a response to carry the close, a request that comes next would be dropped without an answer.
    if (listener_->closing_ && pipeline_.hasTurn()) {
        pipeline_.startClosing();
    }
    output_.clear();
    while (!closeAfterWrite_ && output_.size() < maxJoinedBytes) {
        auto turn = pipeline_.takeTurn();
        if (!turn) {
            break;
        }
        turn->response_.keepAlive_ = !turn->closes_;
        closeAfterWrite_ = turn->closes_;
        if (turn->response_.body_.size() < maxJoinedBytes) {
            appendResponse(output_, turn->response_, turn->toHead_);
        } else if (appendResponseHead(output_, turn->response_, turn->toHead_)) {
            // A large body is written from where it is.
            outputBody_ = std::move(turn->response_.body_);
            break;
        }
    }
    countUnwritten();
    if (!output_.empty()) {
        writing_ = true;
        writeStart_ = Clock::now();
        write();
    }
}

auto Connection::unwritten(std::size_t written) const -> std::array<asio::const_buffer, 2>
{
    const auto head = std::min(written, output_.size());
    return { asio::buffer(output_) + head, asio::buffer(outputBody_) + (written - head) };
}

auto Connection::write() -> void
{
    asio::error_code error;
    const auto size = socket_.write_some(unwritten(0), error);
    if (!error && size == output_.size() + outputBody_.size()) {
        afterWrite();
        return;
    }
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        close();
        return;
    }
    asio::async_write(
        socket_, unwritten(size), [self = shared_from_this()](const asio::error_code& failed, std::size_t) {
            if (failed) {
                self->close();
            } else {
                self->afterWrite();
            }
        });
}

auto Connection::afterWrite() -> void
{
    if (phase_ != Phase::Open) {
        return;
    }
    // An assignment would keep the memory.
    std::string().swap(output_);
    std::string().swap(outputBody_);
    writing_ = false;
    countUnwritten();
    if (closeAfterWrite_) {
        linger();
        return;
    }
    if (reader_.state() == ReadState::Empty) {
        readStart_ = Clock::now();
    }
    takePending();
    startRequests();
    writeResponses();
    waitReadable();
}

auto Connection::countUnwritten() -> void
{
    const auto bytes = output_.size() + outputBody_.size() + pipeline_.answeredBytes();
    listener_->unwrittenBytes_ += bytes - countedBytes_;
    countedBytes_ = bytes;
}

auto Connection::linger() -> void
{
    phase_ = Phase::Lingering;
    lingerStart_ = Clock::now();
    releaseUnread();
    asio::error_code ignored; // The caller may have closed already.
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    waitReadable();
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
    releaseUnread();
    const auto handlers = pipeline_.clear();
    // A write that is still running uses output_ until its handler runs.
    if (!writing_) {
        std::string().swap(output_); // An assignment would keep the memory.
        std::string().swap(outputBody_);
    }
    listener_->unwrittenBytes_ -= std::exchange(countedBytes_, 0);
    for (const auto& handler : handlers) {
        handler();
    }
}

auto Connection::onGone(RequestPipeline::Id id, std::function<void()> handler) -> void
{
    pipeline_.onGone(id, std::move(handler));
}

auto Connection::checkTime(TimePoint now) -> void
{
    const bool overdue = (phase_ == Phase::Lingering && now - lingerStart_ > lingerLimit)
        || (writing_ && now - writeStart_ > writeLimit)
        || (writing_ && now - writeStart_ > silentPathLimit && isPathSilent(socket_));
    if (overdue) {
        close();
        return;
    }
    const auto spent = now - readStart_;
    if (isIdle()) {
        if (spent > listener_->limits_.idleTimeout_) {
            linger();
        }
    } else if (phase_ == Phase::Open && spent > listener_->limits_.headerTimeout_ && pending_.empty()) {
        if (reader_.state() == ReadState::Headers) {
            refuse(statusRequestTimeout);
        } else if (reader_.state() == ReadState::Body && spent > writeLimit) {
            if (pipeline_.isEmpty()) {
                close();
            } else {
                refuse(statusRequestTimeout);
            }
        }
    }
}

auto Connection::closeIfIdle() -> void
{
    const auto self = shared_from_this();
    if (isIdle()) {
        onReadable(); // Bytes of a request may have arrived since the last wait.
    }
    if (isIdle()) {
        linger();
    }
}

} // namespace wagtailhead::http1
