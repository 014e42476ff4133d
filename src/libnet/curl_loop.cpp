#include "curl_loop.h"

#include <algorithm>
#include <asio/post.hpp>
#include <sys/socket.h>

namespace wagtailhead {

namespace {

/// Idle easy handles that are kept for later requests.
constexpr std::size_t maxIdleTransfers = 256;

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
    , options_(options)
    , timer_(context)
{
    initCurl();
    multi_ = curl_multi_init();
    const long perHost = options_.maxConnectionsPerHost_;
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlLoop::onSocketInterest);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlLoop::onTimerChange);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_PIPELINING, long { CURLPIPE_NOTHING });
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, perHost);
    curl_multi_setopt(
        multi_, CURLMOPT_MAXCONNECTS, std::max(minIdleConnections, perHost * idleConnectionsPerHostLimit));
}

CurlLoop::~CurlLoop()
{
    if (multi_ != nullptr) {
        curl_multi_cleanup(multi_);
    }
}

auto CurlLoop::send(const Address& address, HttpRequest request, Duration timeout,
    HttpClient::Callback callback) -> HttpClient::RequestId
{
    std::unique_lock lock(mutex_);
    const auto id = ++lastId_;
    auto transfer = takeIdleTransfer();
    lock.unlock();
    transfer->id_ = id;
    transfer->callback_ = std::move(callback);
    const auto isValid = transfer->prepare(address, std::move(request), timeout);
    lock.lock();
    if (!isValid || isShutDown_) {
        auto unsent = std::move(transfer->callback_);
        lock.unlock();
        asio::post(context_, [unsent = std::move(unsent)] {
            unsent(HttpFailure::NotSent);
        });
        return id;
    }
    auto* easy = transfer->handle();
    active_.emplace(id, std::move(transfer));
    curl_multi_add_handle(multi_, easy);
    runDueTimeouts();
    auto finished = takeFinished();
    armTimer();
    lock.unlock();
    postFinished(std::move(finished));
    return id;
}

auto CurlLoop::cancel(HttpClient::RequestId id) -> void
{
    std::unique_lock lock(mutex_);
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    FinishedList finished;
    finished.push_back(finish(found->second->handle(), CURLE_ABORTED_BY_CALLBACK));
    finished.back().result_ = HttpFailure::Cancelled;
    // A request that waited for a free connection to the same host may start now.
    runDueTimeouts();
    auto others = takeFinished();
    std::move(others.begin(), others.end(), std::back_inserter(finished));
    armTimer();
    lock.unlock();
    postFinished(std::move(finished));
}

auto CurlLoop::shutdown() -> void
{
    std::unique_lock lock(mutex_);
    isShutDown_ = true;
    FinishedList finished;
    while (!active_.empty()) {
        finished.push_back(finish(active_.begin()->second->handle(), CURLE_ABORTED_BY_CALLBACK));
        finished.back().result_ = HttpFailure::Cancelled;
    }
    if (multi_ != nullptr) {
        curl_multi_cleanup(multi_);
        multi_ = nullptr;
    }
    idle_.clear();
    timer_.cancel();
    lock.unlock();
    postFinished(std::move(finished));
}

auto CurlLoop::postFinished(FinishedList finished) -> void
{
    for (auto& one : finished) {
        asio::post(context_, [one = std::move(one)]() mutable {
            one.callback_(std::move(one.result_));
        });
    }
}

auto CurlLoop::takeIdleTransfer() -> std::unique_ptr<CurlTransfer>
{
    if (idle_.empty()) {
        return std::make_unique<CurlTransfer>(
            CurlSocketFunctions { &CurlLoop::openSocket, &CurlLoop::closeSocket, this },
            options_.connectTimeout_);
    }
    auto transfer = std::move(idle_.back());
    idle_.pop_back();
    return transfer;
}

auto CurlLoop::finish(CURL* easy, CURLcode code) -> Finished
{
    auto node = active_.extract(CurlTransfer::of(easy).id_);
    auto& transfer = node.mapped();
    Finished finished { std::move(transfer->callback_), transfer->takeResult(code) };
    curl_multi_remove_handle(multi_, easy);
    if (idle_.size() < maxIdleTransfers) {
        idle_.push_back(std::move(transfer));
    }
    return finished;
}

auto CurlLoop::takeFinished() -> FinishedList
{
    FinishedList finished;
    int left = 0;
    while (const auto* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg == CURLMSG_DONE) {
            finished.push_back(finish(message->easy_handle, message->data.result));
        }
    }
    return finished;
}

auto CurlLoop::runDueTimeouts() -> void
{
    for (int round = 0; round < maxTimeoutRounds && curlDue_ <= Clock::now(); ++round) {
        curlDue_ = TimePoint::max();
        int running = 0;
        curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

auto CurlLoop::armTimer() -> void
{
    // A timer that fires too early only checks again, which is cheaper than to move it for each request.
    if (curlDue_ >= timerDue_) {
        return;
    }
    timerDue_ = curlDue_;
    timer_.expires_at(timerDue_);
    timer_.async_wait([self = shared_from_this()](asio::error_code error) {
        self->onTimer(error);
    });
}

auto CurlLoop::onTimer(asio::error_code error) -> void
{
    std::unique_lock lock(mutex_);
    if (error || isShutDown_) {
        return;
    }
    timerDue_ = TimePoint::max();
    runDueTimeouts();
    auto finished = takeFinished();
    armTimer();
    lock.unlock();
    for (auto& one : finished) {
        one.callback_(std::move(one.result_));
    }
}

auto CurlLoop::awaitSocket(const SocketPointer& socket) -> void
{
    using Descriptor = asio::posix::stream_descriptor;
    if (socket->wantsRead_ && !socket->awaitsRead_) {
        socket->awaitsRead_ = true;
        socket->descriptor_.async_wait(
            Descriptor::wait_read, [self = shared_from_this(), socket](asio::error_code error) {
                self->onReadable(socket, error);
            });
    }
    if (socket->wantsWrite_ && !socket->awaitsWrite_) {
        socket->awaitsWrite_ = true;
        socket->descriptor_.async_wait(
            Descriptor::wait_write, [self = shared_from_this(), socket](asio::error_code error) {
                self->onWritable(socket, error);
            });
    }
}

auto CurlLoop::onReadable(const SocketPointer& socket, asio::error_code error) -> void
{
    std::unique_lock lock(mutex_);
    socket->awaitsRead_ = false;
    if (socket->open_ && socket->wantsRead_) {
        actOnSocket(std::move(lock), socket, error ? CURL_CSELECT_ERR : CURL_CSELECT_IN);
    }
}

auto CurlLoop::onWritable(const SocketPointer& socket, asio::error_code error) -> void
{
    std::unique_lock lock(mutex_);
    socket->awaitsWrite_ = false;
    if (socket->open_ && socket->wantsWrite_) {
        actOnSocket(std::move(lock), socket, error ? CURL_CSELECT_ERR : CURL_CSELECT_OUT);
    }
}

auto CurlLoop::actOnSocket(std::unique_lock<std::mutex> lock, const SocketPointer& socket, int events) -> void
{
    int running = 0;
    curl_multi_socket_action(multi_, socket->descriptor_.native_handle(), events, &running);
    runDueTimeouts();
    auto finished = takeFinished();
    if (socket->open_) {
        awaitSocket(socket);
    }
    armTimer();
    lock.unlock();
    for (auto& one : finished) {
        one.callback_(std::move(one.result_));
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
    try {
        loop.sockets_[descriptor] = std::make_shared<Socket>(loop.context_, descriptor);
    } catch (const std::exception&) {
        ::close(descriptor);
        return CURL_SOCKET_BAD;
    }
    return descriptor;
}

auto CurlLoop::closeSocket(void* self, curl_socket_t descriptor) -> int
{
    auto& loop = *static_cast<CurlLoop*>(self);
    if (auto node = loop.sockets_.extract(descriptor)) {
        node.mapped()->open_ = false;
        asio::error_code ignored;
        node.mapped()->descriptor_.close(ignored);
    }
    return 0;
}

auto CurlLoop::onSocketInterest(CURL* easy, curl_socket_t descriptor, int what, void* self, void*) -> int
{
    auto& loop = *static_cast<CurlLoop*>(self);
    const auto found = loop.sockets_.find(descriptor);
    if (found == loop.sockets_.end()) {
        return 0;
    }
    const auto& socket = found->second;
    socket->wantsRead_ = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
    socket->wantsWrite_ = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
    if (socket->wantsWrite_) {
        CurlTransfer::of(easy).noteWaitsToWrite();
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
