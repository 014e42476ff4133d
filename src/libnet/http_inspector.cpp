#include "http_inspector.h"

#include "wagtailhead/http_syntax.h"

#include <algorithm>
#include <climits>
#include <string_view>
#include <strings.h>
#include <utility>

namespace wagtailhead {

namespace {

/// Longer names and values are never compared with anything.
constexpr std::size_t maxKeptBytes = 32;

/// The server library keeps a record of about 50 bytes for each chunk, so tiny chunks would take many
/// times the memory of the body.
constexpr std::size_t maxChunks = 16384;

/// Bytes of the end of the last header line and of the empty line behind it.
constexpr std::size_t headerBlockEnd = 4;

auto isTargetByte(char letter) -> bool
{
    return isFieldValueByte(letter) && letter != ' ' && letter != '\t';
}

auto appendKept(std::string& text, const char* at, std::size_t length) -> void
{
    const auto room = maxKeptBytes - text.size();
    text.append(at, length < room ? length : room);
}

} // namespace

/// Adapts the callbacks of the C parser.
struct HttpInspectorCallbacks {
    static auto self(http_parser* parser) -> HttpInspector&
    {
        return *static_cast<HttpInspector*>(parser->data);
    }

    static auto make() -> http_parser_settings
    {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = [](http_parser* parser) -> int {
            self(parser).begun_ = true;
            return 0;
        };
        settings.on_url = [](http_parser* parser, const char* at, std::size_t length) -> int {
            return self(parser).onTarget(at, length);
        };
        settings.on_header_field = [](http_parser* parser, const char* at, std::size_t length) -> int {
            return self(parser).onHeaderName(at, length);
        };
        settings.on_header_value = [](http_parser* parser, const char* at, std::size_t length) -> int {
            return self(parser).onHeaderValue(at, length);
        };
        settings.on_headers_complete = [](http_parser* parser) -> int {
            return self(parser).onHeadersComplete();
        };
        settings.on_body = [](http_parser* parser, const char*, std::size_t length) -> int {
            return self(parser).onBody(length);
        };
        settings.on_chunk_header = [](http_parser* parser) -> int {
            return self(parser).onChunk();
        };
        settings.on_message_complete = [](http_parser* parser) -> int {
            self(parser).complete_ = true;
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }
};

HttpInspector::HttpInspector(std::size_t maxBodyBytes, std::size_t maxHeaderBytes)
    : maxBodyBytes_(maxBodyBytes)
    , maxHeaderBytes_(maxHeaderBytes)
{
    startRequest();
}

auto HttpInspector::startRequest() -> void
{
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    name_.clear();
    nameComplete_ = true;
    begun_ = false;
    headersComplete_ = false;
    complete_ = false;
    expectsContinue_ = false;
    requestBytes_ = 0;
    bodyBytes_ = 0;
    chunks_ = 0;
}

auto HttpInspector::inspect(char* data, std::size_t length) -> std::size_t
{
    static const auto settings = HttpInspectorCallbacks::make();
    std::size_t offset = 0;
    std::size_t accepted = 0;
    nameStart_ = nullptr;
    while (offset < length) {
        part_ = data + offset;
        const auto parsed = http_parser_execute(&parser_, &settings, part_, length - offset);
        offset += parsed;
        const auto error = HTTP_PARSER_ERRNO(&parser_);
        if (complete_ && (error == HPE_OK || error == HPE_PAUSED)) {
            accepted = offset;
            ++requestsCompleted_;
            startRequest();
            continue;
        }
        if (error != HPE_OK) {
            if (!refusal_) {
                refuse(error == HPE_HEADER_OVERFLOW ? HttpRefusal::HeadersTooLarge : HttpRefusal::Malformed);
            }
            return accepted;
        }
        requestBytes_ += parsed;
    }
    if (isHeaderBlockTooLarge()) {
        refuse(HttpRefusal::HeadersTooLarge);
        return accepted;
    }
    return length;
}

auto HttpInspector::refusal() const -> std::optional<HttpRefusal>
{
    return refusal_;
}

auto HttpInspector::isInsideRequest() const -> bool
{
    return begun_;
}

auto HttpInspector::requestsCompleted() const -> std::size_t
{
    return requestsCompleted_;
}

auto HttpInspector::takeExpectsContinue() -> bool
{
    return headersComplete_ && std::exchange(expectsContinue_, false);
}

auto HttpInspector::isHeaderBlockTooLarge() const -> bool
{
    return begun_ && !headersComplete_ && requestBytes_ > maxHeaderBytes_;
}

auto HttpInspector::refuse(HttpRefusal refusal) -> int
{
    refusal_ = refusal;
    return -1;
}

auto HttpInspector::onHeaderBytes(const char* end) -> int
{
    const auto headerBytes = requestBytes_ + static_cast<std::size_t>(end - part_) + headerBlockEnd;
    return headerBytes > maxHeaderBytes_ ? refuse(HttpRefusal::HeadersTooLarge) : 0;
}

auto HttpInspector::onTarget(const char* at, std::size_t length) -> int
{
    return std::all_of(at, at + length, isTargetByte) ? onHeaderBytes(at + length)
                                                      : refuse(HttpRefusal::Malformed);
}

auto HttpInspector::onHeaderName(const char* at, std::size_t length) -> int
{
    if (!std::all_of(at, at + length, isFieldNameByte)) {
        return refuse(HttpRefusal::Malformed);
    }
    if (headersComplete_) {
        return 0; // Trailers are dropped; the parser itself bounds their size.
    }
    if (nameComplete_) {
        name_.clear();
        value_.clear();
        nameComplete_ = false;
        nameStart_ = part_ + (at - part_);
    }
    appendKept(name_, at, length);
    return onHeaderBytes(at + length);
}

auto HttpInspector::onHeaderValue(const char* at, std::size_t length) -> int
{
    if (!std::all_of(at, at + length, isFieldValueByte)) {
        return refuse(HttpRefusal::Malformed);
    }
    if (headersComplete_) {
        return 0;
    }
    if (!nameComplete_) {
        nameComplete_ = true;
        if (strcasecmp(name_.c_str(), "upgrade") == 0) {
            if (nameStart_ == nullptr) {
                // The name was passed on with an earlier read and cannot be changed any more.
                return refuse(HttpRefusal::Malformed);
            }
            *nameStart_ = *ignoredUpgradeHeader;
        }
    }
    if (strcasecmp(name_.c_str(), "expect") == 0) {
        appendKept(value_, at, length);
        expectsContinue_ = strcasecmp(value_.c_str(), "100-continue") == 0;
    }
    return onHeaderBytes(at + length);
}

auto HttpInspector::onHeadersComplete() -> int
{
    headersComplete_ = true;
    if (parser_.http_major != 1 || parser_.method == HTTP_CONNECT) {
        return refuse(HttpRefusal::Malformed);
    }
    parser_.upgrade = 0;
    const auto hasLength = parser_.content_length != ULLONG_MAX;
    if (hasLength && parser_.content_length > maxBodyBytes_) {
        return refuse(HttpRefusal::BodyTooLarge);
    }
    return 0;
}

auto HttpInspector::onBody(std::size_t length) -> int
{
    bodyBytes_ += length;
    return bodyBytes_ > maxBodyBytes_ ? refuse(HttpRefusal::BodyTooLarge) : 0;
}

auto HttpInspector::onChunk() -> int
{
    ++chunks_;
    return chunks_ > maxChunks ? refuse(HttpRefusal::BodyTooLarge) : 0;
}

} // namespace wagtailhead
