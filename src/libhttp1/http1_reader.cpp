#include "http1_reader.h"

#include "wagtailhead/http_syntax.h"

#include <algorithm>
#include <utility>

namespace wagtailhead::http1 {

namespace {

auto readerOf(http_parser* parser) -> MessageReader*
{
    return static_cast<MessageReader*>(parser->data);
}

/// A callback's result that stops the parser.
constexpr int stopParsing = -1;
/// Bytes of framing allowed beyond the header fields: a chunk of one byte takes five more.
constexpr std::size_t framingPerBodyByte = 8;
constexpr std::size_t framingPerHeaderByte = 2;
constexpr std::size_t framingAllowance = 256;
constexpr std::size_t growthDivisor = 4;

} // namespace

MessageReader::MessageReader(Kind kind)
    : kind_(kind)
{
    reset();
}

auto MessageReader::callbacks() -> const http_parser_settings&
{
    static const auto settings = [] {
        http_parser_settings made {};
        http_parser_settings_init(&made);
        made.on_url = [](http_parser* parser, const char* at, std::size_t size) {
            readerOf(parser)->target_.append(at, size);
            return readerOf(parser)->countHeaderBytes(size);
        };
        made.on_header_field = [](http_parser* parser, const char* at, std::size_t size) {
            return readerOf(parser)->onField({ at, size });
        };
        made.on_header_value = [](http_parser* parser, const char* at, std::size_t size) {
            return readerOf(parser)->onValue({ at, size });
        };
        made.on_headers_complete = [](http_parser* parser) {
            return readerOf(parser)->onHeaders();
        };
        made.on_body = [](http_parser* parser, const char* at, std::size_t size) {
            return readerOf(parser)->onBody({ at, size });
        };
        made.on_message_complete = [](http_parser* parser) {
            return readerOf(parser)->onComplete();
        };
        return made;
    }();
    return settings;
}

auto MessageReader::reset(bool toHead) -> void
{
    http_parser_init(&parser_, kind_ == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    state_ = ReadState::Empty;
    target_.clear();
    lines_.clear();
    std::string().swap(body_); // An assignment would keep the memory.
    charge_ = {};
    headerBytes_ = 0;
    framingBytes_ = 0;
    inValue_ = inField_ = inTrailer_ = false;
    lineEnds_ = LineEnds::Unknown;
    inLineEnd_ = afterChunk_ = false;
    toHead_ = toHead;
}

auto MessageReader::feed(std::string_view bytes) -> std::size_t
{
    if (bytes.empty() || state_ >= ReadState::Complete) {
        return 0;
    }
    if (state_ == ReadState::Empty) {
        state_ = ReadState::Headers;
    }
    const auto bodyBefore = body_.size();
    uncheckedFraming_ = bytes.data();
    const auto used = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    framingBytes_ += used - (body_.size() - bodyBefore);
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    if (error == HPE_HEADER_OVERFLOW) {
        state_ = ReadState::HeadersTooLarge;
    } else if (error != HPE_OK && error != HPE_PAUSED && state_ < ReadState::Complete) {
        state_ = ReadState::Malformed;
    }
    if (state_ <= ReadState::Complete && !checkLineEnds(bytes.data() + used)) {
        state_ = ReadState::Malformed;
    }
    if (state_ < ReadState::Complete && exceedsFramingLimit()) {
        state_ = ReadState::HeadersTooLarge;
    }
    return used;
}

auto MessageReader::exceedsFramingLimit() const -> bool
{
    constexpr auto unlimited = std::numeric_limits<std::size_t>::max() / (2 * framingPerHeaderByte);
    if (limits_.headerBytes_ > unlimited) {
        return false;
    }
    return framingBytes_
        > framingAllowance + framingPerHeaderByte * limits_.headerBytes_ + framingPerBodyByte * body_.size();
}

auto MessageReader::checkLineEnds(const char* end) -> bool
{
    for (; uncheckedFraming_ != end; ++uncheckedFraming_) {
        const bool isLf = *uncheckedFraming_ == '\n';
        if (std::exchange(afterChunk_, false) && *uncheckedFraming_ != '\r') {
            return false;
        }
        if (inLineEnd_ != isLf && (inLineEnd_ || lineEnds_ == LineEnds::Crlf)) {
            return false;
        }
        if (isLf && lineEnds_ == LineEnds::Unknown) {
            lineEnds_ = inLineEnd_ ? LineEnds::Crlf : LineEnds::Lf;
        }
        inLineEnd_ = *uncheckedFraming_ == '\r';
    }
    return true;
}

auto MessageReader::finish() -> void
{
    if (state_ == ReadState::Body) {
        http_parser_execute(&parser_, &callbacks(), nullptr, 0);
    }
}

auto MessageReader::countHeaderBytes(std::size_t bytes) -> int
{
    headerBytes_ += bytes;
    if (headerBytes_ > limits_.headerBytes_) {
        state_ = ReadState::HeadersTooLarge;
        return stopParsing;
    }
    return 0;
}

auto MessageReader::refuse() -> int
{
    state_ = ReadState::Malformed;
    return stopParsing;
}

auto MessageReader::endField() -> void
{
    if (inField_) {
        if (!inValue_) {
            lines_.append(": ");
        }
        lines_.append("\r\n");
    }
    inField_ = inValue_ = false;
}

auto MessageReader::onField(std::string_view part) -> int
{
    if (inTrailer_) {
        // Trailers are not passed on.
        return std::all_of(part.begin(), part.end(), isFieldNameByte) ? 0 : refuse();
    }
    if (inValue_ || !inField_) {
        endField();
        inField_ = true;
    }
    lines_.append(part);
    return countHeaderBytes(part.size());
}

auto MessageReader::onValue(std::string_view part) -> int
{
    if (inTrailer_) {
        return 0;
    }
    if (!inValue_) {
        lines_.append(": ");
        inValue_ = true;
    }
    lines_.append(part);
    return countHeaderBytes(part.size());
}

auto MessageReader::isHeadValid() const -> bool
{
    // The parser accepts a blank in a name, and takes "Content-Length : 2" for a length.
    if (parser_.http_major != 1 || !areFieldLines(lines_)) {
        return false;
    }
    const int status = static_cast<int>(parser_.status_code);
    if (kind_ == Kind::Responses && !isFinalStatus(status) && !isInterimStatus(status)) {
        return false;
    }
    if (parser_.uses_transfer_encoding == 0) {
        return true;
    }
    constexpr auto coding = "Transfer-Encoding";
    const HeaderBlock fields(lines_);
    return fields.count(coding) == 1 && isChunkedCoding(fields.find(coding));
}

auto MessageReader::onHeaders() -> int
{
    endField();
    if (!isHeadValid()) {
        return refuse();
    }
    inTrailer_ = true;
    state_ = ReadState::Body;
    if (parser_.upgrade != 0) {
        parser_.upgrade = 0; // No other protocol is offered.
    }
    constexpr int noBody = 1;
    // The parser would read a body if a length is named, as in a 304.
    const bool bodiless = kind_ == Kind::Responses && isBodilessStatus(static_cast<int>(parser_.status_code));
    if (toHead_ || bodiless) {
        return noBody;
    }
    const bool announced = (parser_.flags & F_CONTENTLENGTH) != 0;
    if (announced && parser_.content_length > limits_.bodyBytes_) {
        state_ = ReadState::BodyTooLarge;
        return stopParsing;
    }
    return 0;
}

auto MessageReader::onBody(std::string_view part) -> int
{
    if (!checkLineEnds(part.data())) {
        return refuse();
    }
    uncheckedFraming_ = part.data() + part.size();
    afterChunk_ = (parser_.flags & F_CHUNKED) != 0 && parser_.content_length == 0;
    if (body_.size() + part.size() > limits_.bodyBytes_) {
        state_ = ReadState::BodyTooLarge;
        return stopParsing;
    }
    if (body_.capacity() - body_.size() < part.size()) {
        // Grows by less than the string itself would, as the capacity is charged; reserve() doubles it too.
        // An announced length is not provided for in advance: with huge pages the first byte of a large
        // buffer takes megabytes.
        auto wanted = body_.size() + part.size() + body_.size() / growthDivisor;
        if ((parser_.flags & F_CONTENTLENGTH) != 0) {
            wanted = std::min<std::size_t>(wanted, body_.size() + part.size() + parser_.content_length);
        }
        std::string grown;
        grown.reserve(wanted);
        grown.append(body_);
        body_.swap(grown);
    }
    body_.append(part);
    return 0;
}

auto MessageReader::onComplete() -> int
{
    if (kind_ == Kind::Responses && isInterimStatus(static_cast<int>(parser_.status_code))) {
        lines_.clear(); // The final response follows.
        inTrailer_ = false;
        state_ = ReadState::Headers;
        return 0;
    }
    state_ = ReadState::Complete;
    keepAlive_ = http_should_keep_alive(&parser_) != 0;
    http_parser_pause(&parser_, 1);
    return 0;
}

auto MessageReader::takeRequest() -> Request
{
    Request request;
    request.method_ = http_method_str(static_cast<http_method>(parser_.method));
    request.target_ = std::move(target_);
    request.headers_ = HeaderBlock(std::move(lines_));
    request.body_ = Body(std::move(body_), std::move(charge_));
    request.keepAlive_ = keepAlive_;
    return request;
}

auto MessageReader::takeResponse() -> Response
{
    Response response;
    response.status_ = static_cast<int>(parser_.status_code);
    response.headers_ = HeaderBlock(std::move(lines_));
    response.body_ = std::move(body_);
    response.keepAlive_ = keepAlive_;
    return response;
}

} // namespace wagtailhead::http1
