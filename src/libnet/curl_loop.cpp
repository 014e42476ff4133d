#include "curl_loop.h"

#include <algorithm>
#include <asio/bind_executor.hpp>
#include <asio/defer.hpp>
#include <asio/dispatch.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wagtailhead {

namespace {

/// libcurl's default closes idle connections as soon as few requests are running.
constexpr long minIdleConnections = 256;
constexpr long idleConnectionsPerHostLimit = 4;

/// libcurl may ask to be called again at once; more rounds go through the timer.
constexpr int maxTimeoutRounds = 4;

auto initCurl() -> void
{
    static const auto result = curl_global_init(CURL_GLOBAL_NOTHING);
    (void)result;
}

} // namespace

CurlLoop::CurlLoop(asio::io_context& context, HttpClientOptions options)
    : context_(context)
    , strand_(asio::make_strand(context))
    , options_(options)
    , timer_(context)
    , queue_(options.maxConnectionsPerHost_)
{
    initCurl();
    multi_ = curl_multi_init();
    const long perHost = options_.maxConnectionsPerHost_;
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlLoop::onSocketInterest);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlLoop::onTimerChange);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, long { CURLPIPE_NOTHING });
    curl_multi_setopt(
        multi_, CURLMOPT_MAXCONNECTS, std::max(minIdleConnections, perHost * idleConnectionsPerHostLimit));
}

CurlLoop::~CurlLoop()
{
    for (const auto& [id, active] : active_) {
        curl_multi_remove_handle(multi_, active.transfer_->handle());
    }
    if (multi_ != nullptr) {
        curl_multi_cleanup(multi_);
    }
}

auto CurlLoop::send(const Address& address, HttpRequest request, Duration timeout,
    HttpClient::Callback callback) -> HttpClient::RequestId
{
    const auto id = ++lastId_;
    QueuedRequest queued { id, address, std::move(request), Clock::now() + timeout, std::move(callback) };
    asio::dispatch(strand_, [self = shared_from_this(), queued = std::move(queued)]() mutable {
        self->start(std::move(queued));
    });
    return id;
}

auto CurlLoop::cancel(HttpClient::RequestId id) -> void
{
    asio::dispatch(strand_, [self = shared_from_this(), id] {
        self->cancelNow(id);
    });
}

auto CurlLoop::shutdown() -> void
{
    asio::dispatch(strand_, [self = shared_from_this()] {
        self->cancelAll();
    });
}

auto CurlLoop::start(QueuedRequest request) -> void
{
    if (isShutDown_ || !CurlTransfer::canSend(request.request_)) {
        report({ std::move(request.callback_), HttpFailure::NotSent });
    } else if (queue_.tryStart(request.address_)) {
        launch(std::move(request));
        settle();
    } else {
        queue_.wait(std::move(request));
        armTimer();
    }
}

auto CurlLoop::launch(QueuedRequest request) -> void
{
    // With a handle that has served a request, libcurl (7.88) would add a folded first line of the answer to
    // a field of the earlier answer, which it has freed.
    auto transfer = std::make_unique<CurlTransfer>(
        CurlSocketFunctions { &CurlLoop::openSocket, &CurlLoop::closeSocket, this },
        options_.connectTimeout_);
    transfer->id_ = request.id_;
    transfer->callback_ = std::move(request.callback_);
    transfer->prepare(request.address_, std::move(request.request_), request.deadline_ - Clock::now());
    auto* easy = transfer->handle();
    active_.emplace(request.id_, Active { std::move(transfer), std::move(request.address_) });
    curl_multi_add_handle(multi_, easy);
}

auto CurlLoop::cancelNow(HttpClient::RequestId id) -> void
{
    if (auto waiting = queue_.remove(id)) {
        report({ std::move(waiting->callback_), HttpFailure::Cancelled });
    } else if (const auto found = active_.find(id); found != active_.end()) {
        auto finished = finish(found->second.transfer_->handle(), CURLE_ABORTED_BY_CALLBACK);
        finished.result_ = HttpFailure::Cancelled;
        report(std::move(finished));
        settle();
    }
}

auto CurlLoop::cancelAll() -> void
{
    isShutDown_ = true;
    for (auto& waiting : queue_.takeExpired(TimePoint::max())) {
        report({ std::move(waiting.callback_), HttpFailure::Cancelled });
    }
    while (!active_.empty()) {
        cancelNow(active_.begin()->first);
    }
    curl_multi_cleanup(std::exchange(multi_, nullptr));
    timer_.cancel();
}

auto CurlLoop::report(Finished finished) -> void
{
    // Deferred work runs next in the same thread, without waking another one.
    asio::defer(context_, [finished = std::move(finished)]() mutable {
        finished.callback_(std::move(finished.result_));
    });
}

auto CurlLoop::finish(CURL* easy, CURLcode code) -> Finished
{
    auto node = active_.extract(CurlTransfer::of(easy).id_);
    auto& [transfer, address] = node.mapped();
    Finished finished { std::move(transfer->callback_), transfer->takeResult(code) };
    curl_multi_remove_handle(multi_, easy);
    if (auto next = queue_.finish(address)) {
        launch(std::move(*next));
    }
    return finished;
}

auto CurlLoop::reportFinished() -> void
{
    int left = 0;
    while (const auto* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg == CURLMSG_DONE) {
            report(finish(message->easy_handle, message->data.result));
        }
    }
}

auto CurlLoop::settle() -> void
{
    reportFinished();
    for (int round = 0; round < maxTimeoutRounds && curlDue_ <= Clock::now(); ++round) {
        curlDue_ = TimePoint::max();
        int running = 0;
        curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
        reportFinished();
    }
    for (auto& expired : queue_.takeExpired(Clock::now())) {
        report({ std::move(expired.callback_), HttpFailure::NotSent });
    }
    armTimer();
}

auto CurlLoop::armTimer() -> void
{
    // A timer that fires too early only checks again, which is cheaper than to move it for each request.
    const auto due = std::min(curlDue_, queue_.nextDeadline());
    if (due >= timerDue_ || isShutDown_) {
        return;
    }
    timerDue_ = due;
    timer_.expires_at(timerDue_);
    timer_.async_wait(asio::bind_executor(strand_, [self = shared_from_this()](asio::error_code error) {
        if (!error) {
            self->timerDue_ = TimePoint::max();
            self->settle();
        }
    }));
}

auto CurlLoop::awaitSocket(const SocketPointer& socket) -> void
{
    using Descriptor = asio::posix::stream_descriptor;
    if (socket->wantsRead_ && !socket->awaitsRead_) {
        socket->awaitsRead_ = true;
        socket->watched_.async_wait(Descriptor::wait_read,
            asio::bind_executor(strand_, [self = shared_from_this(), socket](asio::error_code error) {
                self->onReadable(socket, error);
            }));
    }
    if (socket->wantsWrite_ && !socket->awaitsWrite_) {
        socket->awaitsWrite_ = true;
        socket->watched_.async_wait(Descriptor::wait_write,
            asio::bind_executor(strand_, [self = shared_from_this(), socket](asio::error_code error) {
                self->onWritable(socket, error);
            }));
    }
}

auto CurlLoop::onReadable(const SocketPointer& socket, asio::error_code error) -> void
{
    socket->awaitsRead_ = false;
    if (socket->open_ && socket->wantsRead_) {
        act(socket, error ? CURL_CSELECT_ERR : CURL_CSELECT_IN);
    }
}

auto CurlLoop::onWritable(const SocketPointer& socket, asio::error_code error) -> void
{
    socket->awaitsWrite_ = false;
    if (socket->open_ && socket->wantsWrite_) {
        act(socket, error ? CURL_CSELECT_ERR : CURL_CSELECT_OUT);
    }
}

auto CurlLoop::act(const SocketPointer& socket, int events) -> void
{
    int running = 0;
    curl_multi_socket_action(multi_, socket->descriptor_, events, &running);
    settle();
    if (socket->open_) {
        awaitSocket(socket);
    }
}

auto CurlLoop::watchSocket(curl_socket_t descriptor) -> SocketPointer
{
    const auto duplicate = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
    if (duplicate < 0) {
        return nullptr;
    }
    try {
        auto socket = std::make_shared<Socket>(context_, descriptor, duplicate);
        sockets_[descriptor] = socket;
        return socket;
    } catch (const std::exception&) {
        ::close(duplicate);
        return nullptr;
    }
}

auto CurlLoop::forgetSocket(curl_socket_t descriptor) -> void
{
    if (auto node = sockets_.extract(descriptor)) {
        node.mapped()->open_ = false;
        asio::error_code ignored;
        node.mapped()->watched_.close(ignored);
    }
}

auto CurlLoop::openSocket(void* self, curlsocktype, curl_sockaddr* address) -> curl_socket_t
{
    auto& loop = *static_cast<CurlLoop*>(self);
    const auto descriptor
        = ::socket(address->family, address->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK, address->protocol);
    if (descriptor < 0) {
        return CURL_SOCKET_BAD;
    }
    loop.forgetSocket(descriptor);
    if (!loop.watchSocket(descriptor)) {
        ::close(descriptor);
        return CURL_SOCKET_BAD;
    }
    return descriptor;
}

auto CurlLoop::closeSocket(void* self, curl_socket_t descriptor) -> int
{
    static_cast<CurlLoop*>(self)->forgetSocket(descriptor);
    return ::close(descriptor);
}

auto CurlLoop::onSocketInterest(CURL* easy, curl_socket_t descriptor, int what, void* self, void*) -> int
{
    auto& loop = *static_cast<CurlLoop*>(self);
    const auto found = loop.sockets_.find(descriptor);
    const auto socket = found != loop.sockets_.end() ? found->second
        : what != CURL_POLL_REMOVE                   ? loop.watchSocket(descriptor)
                                                     : nullptr;
    if (!socket) {
        return 0;
    }
    socket->wantsRead_ = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
    socket->wantsWrite_ = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
    socket->established_ = socket->established_ || socket->wantsRead_;
    if (socket->wantsWrite_) {
        CurlTransfer::of(easy).noteWaitsToWrite();
    }
    if (what == CURL_POLL_REMOVE && !socket->established_) {
        // libcurl (7.88) is about to close a socket that is still connecting, and does not call closeSocket.
        loop.forgetSocket(descriptor);
        return 0;
    }
    loop.awaitSocket(socket);
    return 0;
}

auto CurlLoop::onTimerChange(CURLM*, long timeoutMs, void* self) -> int
{
    auto& loop = *static_cast<CurlLoop*>(self);
    loop.curlDue_ = timeoutMs < 0 ? TimePoint::max() : Clock::now() + milliseconds(timeoutMs);
    return 0;
}

} // namespace wagtailhead
