#include "curl_transfer.h"

#include "wagtailhead/http_syntax.h"

#include <algorithm>
#include <charconv>
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
    constexpr auto blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
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
    constexpr std::size_t failTransfer = 0;
    return static_cast<CurlTransfer*>(self)->takeLine({ data, length }) ? length : failTransfer;
}

auto CurlTransfer::takeLine(std::string_view line) -> bool
{
    const bool inCrlf = line.ends_with("\r\n");
    if (headPart_ == HeadPart::StatusLine) {
        linesEndInCrlf_ = inCrlf;
    }
    // An LF alone could end the head in the name of a field.
    if (!line.ends_with('\n') || inCrlf != linesEndInCrlf_) {
        return false;
    }
    line.remove_suffix(inCrlf ? 2 : 1);
    switch (headPart_) {
    case HeadPart::StatusLine:
        return takeStatusLine(line);
    case HeadPart::Field:
        return line.empty() ? endHead() : takeField(line);
    case HeadPart::Trailer:
        break;
    }
    // Trailers are not passed on.
    return line.empty() || isFieldName(line.substr(0, line.find(':')));
}

auto CurlTransfer::takeStatusLine(std::string_view line) -> bool
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t statusStart = version.size() + 2;
    constexpr std::size_t statusDigits = 3;
    response_.headers_.clear(); // The fields so far belong to an interim answer.
    headPart_ = HeadPart::Field;
    if (!line.starts_with(version) || line.size() < statusStart + statusDigits
        || line[statusStart - 1] != ' ') {
        return false;
    }
    const auto status = line.substr(statusStart, line.find(' ', statusStart) - statusStart);
    const auto* end = status.data() + status.size();
    const bool isNumber = std::from_chars(status.data(), end, response_.status_).ptr == end;
    return isNumber && status.size() == statusDigits
        && (isFinalStatus(response_.status_) || isInterimStatus(response_.status_));
}

auto CurlTransfer::takeField(std::string_view line) -> bool
{
    auto& headers = response_.headers_;
    if (line.front() == ' ' || line.front() == '\t') {
        if (headers.empty()) {
            return false;
        }
        headers.back().second.append(" ").append(trim(line));
        return isFieldValue(headers.back().second);
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto name = line.substr(0, colon);
    const auto value = trim(line.substr(colon + 1));
    headers.emplace_back(name, value);
    return isFieldName(name) && isFieldValue(value);
}

auto CurlTransfer::endHead() -> bool
{
    headPart_ = isInterimStatus(response_.status_) ? HeadPart::StatusLine : HeadPart::Trailer;
    return headPart_ == HeadPart::StatusLine || hasValidFraming();
}

auto CurlTransfer::hasValidFraming() const -> bool
{
    // libcurl takes the number at the start of a length, the last of several lengths, and decodes some
    // codings.
    std::size_t lengths = 0;
    std::size_t codings = 0;
    for (const auto& [name, value] : response_.headers_) {
        const bool isLength = isOneOf(name, { "Content-Length" });
        const bool isCoding = isOneOf(name, { "Transfer-Encoding" });
        lengths += isLength ? 1 : 0;
        codings += isCoding ? 1 : 0;
        if ((isLength && !isBodyLength(value)) || (isCoding && !isChunkedCoding(value))) {
            return false;
        }
    }
    return lengths <= 1 && codings <= 1;
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
    if (code == CURLE_OK && headPart_ == HeadPart::Trailer) {
        return response;
    }
    if (!sent) {
        return HttpFailure::NotSent;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? HttpFailure::Timeout : HttpFailure::Lost;
}

} // namespace wagtailhead
