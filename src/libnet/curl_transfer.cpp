#include "curl_transfer.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace wagtailhead {

namespace {

/// Answers larger than this grow their buffer while they arrive.
constexpr curl_off_t maxReservedBytes = curl_off_t { 4 } << 20;

/// Connections idle for longer are closed instead of reused. Below the idle limit of our own server
/// (60 s), so that a request does not meet a connection that is just being closed.
constexpr long maxIdleSeconds = 30;

auto isOneOf(const std::string& name, std::initializer_list<const char*> names) -> bool
{
    return std::any_of(names.begin(), names.end(), [&](const char* other) {
        return strcasecmp(name.c_str(), other) == 0;
    });
}

auto isPrintable(const std::string& text, unsigned char lowest) -> bool
{
    return std::all_of(text.begin(), text.end(), [&](char letter) {
        const auto value = static_cast<unsigned char>(letter);
        return value == '\t' ? lowest <= ' ' : value >= lowest && value != 0x7f;
    });
}

auto toMillisecondsAtLeastOne(Duration duration) -> long
{
    // libcurl takes 0 as "no limit".
    return std::max<long>(1, std::chrono::ceil<milliseconds>(duration).count());
}

auto trim(std::string_view text) -> std::string_view
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t\r\n"), text.size()));
    return text.substr(0, text.find_last_not_of(" \t\r\n") + 1);
}

} // namespace

CurlTransfer::CurlTransfer(const CurlSocketFunctions& sockets, Duration connectTimeout)
    : sockets_(sockets)
    , easy_(curl_easy_init())
{
    setFixedOptions(connectTimeout);
}

auto CurlTransfer::setFixedOptions(Duration connectTimeout) -> void
{
    auto* easy = easy_.get();
    curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, ""); // Ignores the proxy variables of the environment.
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, long { CURL_HTTP_VERSION_1_1 });
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, maxIdleSeconds);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, toMillisecondsAtLeastOne(connectTimeout));
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &CurlTransfer::onOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, sockets_.close_);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, sockets_.client_);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &CurlTransfer::onConnected);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &CurlTransfer::onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlTransfer::onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
}

auto CurlTransfer::canSend(const HttpRequest& request) -> bool
{
    const auto headerIsValid = [](const auto& header) {
        return !header.first.empty() && isPrintable(header.first, '!')
            && header.first.find(':') == std::string::npos && isPrintable(header.second, ' ');
    };
    return !request.method_.empty() && isPrintable(request.method_, '!') && !request.target_.empty()
        && isPrintable(request.target_, '!')
        && std::all_of(request.headers_.begin(), request.headers_.end(), headerIsValid);
}

auto CurlTransfer::prepare(const Address& address, HttpRequest request, Duration timeout) -> void
{
    request_ = std::move(request);
    auto* easy = easy_.get();
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + address.text() + "/").c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request_.target_.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, toMillisecondsAtLeastOne(timeout));
    setMethod();
    setHeaders();
}

auto CurlTransfer::of(CURL* easy) -> CurlTransfer&
{
    char* self = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &self);
    return *reinterpret_cast<CurlTransfer*>(self);
}

auto CurlTransfer::setMethod() -> void
{
    auto* easy = easy_.get();
    const auto& method = request_.method_;
    const auto isHead = method == "HEAD";
    const auto sendsBody
        = !isHead && (!request_.body_.empty() || method == "POST" || method == "PUT" || method == "PATCH");
    curl_easy_setopt(easy, CURLOPT_NOBODY, isHead ? 1L : 0L);
    if (sendsBody) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request_.body_.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request_.body_.size()));
    } else if (!isHead) {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, isHead ? nullptr : method.c_str());
}

auto CurlTransfer::setHeaders() -> void
{
    headerList_.reset();
    for (const auto& [name, value] : request_.headers_) {
        if (!isOneOf(name, { "content-length", "transfer-encoding", "connection", "expect" })) {
            // libcurl takes "Name:" as an order to leave the header out and "Name;" as an empty value.
            auto line = name;
            appendHeader(value.empty() ? line.append(";") : line.append(": ").append(value));
        }
    }
    // libcurl adds these on its own unless told otherwise.
    appendHeader("Expect:");
    for (const auto* name : { "Accept", "Content-Type" }) {
        if (!findHeader(request_.headers_, name)) {
            appendHeader(std::string(name) + ":");
        }
    }
    curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER, headerList_.get());
}

auto CurlTransfer::appendHeader(const std::string& line) -> void
{
    auto* list = curl_slist_append(headerList_.get(), line.c_str());
    if (list != headerList_.get()) {
        headerList_.reset(list);
    }
}

auto CurlTransfer::noteWaitsToWrite() -> void
{
    waitedToWrite_ = connected_;
}

auto CurlTransfer::mayHaveSent() const -> bool
{
    long headerBytes = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_REQUEST_SIZE, &headerBytes);
    // The count misses header bytes of which libcurl could not send any at its first try.
    return connected_ && (headerBytes > 0 || waitedToWrite_);
}

auto CurlTransfer::onOpenSocket(void* self, curlsocktype purpose, curl_sockaddr* address) -> curl_socket_t
{
    const auto& transfer = *static_cast<CurlTransfer*>(self);
    // libcurl would repeat a request on a new connection when a reused one broke.
    return transfer.mayHaveSent() ? CURL_SOCKET_BAD
                                  : transfer.sockets_.open_(transfer.sockets_.client_, purpose, address);
}

auto CurlTransfer::onConnected(void* self, char*, char*, int, int) -> int
{
    auto& transfer = *static_cast<CurlTransfer*>(self);
    // A second call means that libcurl is about to repeat the request on another idle connection.
    if (transfer.mayHaveSent()) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.connected_ = true;
    return CURL_PREREQFUNC_OK;
}

auto CurlTransfer::onHeader(char* data, std::size_t, std::size_t length, void* self) -> std::size_t
{
    auto& transfer = *static_cast<CurlTransfer*>(self);
    const std::string_view line(data, length);
    if (transfer.bodyStarted_) {
        return length; // A trailer.
    }
    if (line.starts_with("HTTP/")) {
        transfer.response_.headers_.clear(); // The headers so far belong to an interim answer (1xx).
        return length;
    }
    if (const auto colon = line.find(':'); colon != std::string_view::npos) {
        transfer.response_.headers_.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
    }
    return length;
}

auto CurlTransfer::onBody(char* data, std::size_t, std::size_t length, void* self) -> std::size_t
{
    auto& transfer = *static_cast<CurlTransfer*>(self);
    auto& body = transfer.response_.body_;
    if (!transfer.bodyStarted_) {
        transfer.bodyStarted_ = true;
        curl_off_t total = 0;
        curl_easy_getinfo(transfer.easy_.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &total);
        if (total > 0) {
            body.reserve(static_cast<std::size_t>(std::min(total, maxReservedBytes)));
        }
    }
    body.append(data, length);
    return length;
}

auto CurlTransfer::takeResult(CURLcode code) -> HttpResult
{
    auto response = std::move(response_);
    const auto sent = mayHaveSent();
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
        response.status_ = static_cast<int>(status);
        return response;
    }
    if (!sent) {
        return HttpFailure::NotSent;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? HttpFailure::Timeout : HttpFailure::Lost;
}

} // namespace wagtailhead
