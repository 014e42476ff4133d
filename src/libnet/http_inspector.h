/// Checks the requests of one HTTP connection before the server library sees them.
#pragma once

#include <cstddef>
#include <http_parser.h>
#include <optional>
#include <string>

namespace wagtailhead {

/// Why the server refuses a request by itself.
enum class HttpRefusal : unsigned char {
    Malformed,
    BodyTooLarge,
    HeadersTooLarge,
    TooSlow,
};

/// Parses the byte stream of one connection with the same parser as the server library. The library closes
/// a connection silently when a request is malformed or too large; finding this first allows an answer.
/// Not thread safe.
class HttpInspector {
public:
    HttpInspector(std::size_t maxBodyBytes, std::size_t maxHeaderBytes);

    /// Parses the next bytes of the stream and returns how many of them may be passed on. This is less than
    /// `length` only if a request is refused: complete requests before it are passed on, it is not.
    /// An Upgrade header is renamed in place, so that the library treats the request as a plain one.
    /// Precondition: nothing has been refused.
    auto inspect(char* data, std::size_t length) -> std::size_t;

    /// Returns why the stream was refused, if it was.
    auto refusal() const -> std::optional<HttpRefusal>;

    /// Returns whether a request has begun and is not complete.
    auto isInsideRequest() const -> bool;

    /// Returns how many requests were complete so far.
    auto requestsCompleted() const -> std::size_t;

    /// Returns once per request whether its sender waits for "100 Continue" before it sends the body.
    auto takeExpectsContinue() -> bool;

private:
    friend struct HttpInspectorCallbacks;

    auto startRequest() -> void;
    auto onHeaderBytes(const char* end) -> int;
    auto onTarget(const char* at, std::size_t length) -> int;
    auto onHeaderName(const char* at, std::size_t length) -> int;
    auto onHeaderValue(const char* at, std::size_t length) -> int;
    auto onHeadersComplete() -> int;
    auto onBody(std::size_t length) -> int;
    auto onChunk() -> int;
    auto refuse(HttpRefusal refusal) -> int;
    auto isHeaderBlockTooLarge() const -> bool;

    const std::size_t maxBodyBytes_;
    const std::size_t maxHeaderBytes_;
    http_parser parser_ {};
    std::optional<HttpRefusal> refusal_;

    char* part_ = nullptr; ///< The bytes that the parser works on.
    char* nameStart_ = nullptr; ///< Start of the current header name if it lies in `part_`.
    std::string name_; ///< Current header name, cut to the length that matters.
    std::string value_; ///< Current header value if it is one that matters, cut likewise.
    bool nameComplete_ = true;
    bool begun_ = false;
    bool headersComplete_ = false;
    bool complete_ = false;
    bool expectsContinue_ = false;
    std::size_t requestBytes_ = 0; ///< Bytes of the request before `part_`.
    std::size_t bodyBytes_ = 0;
    std::size_t chunks_ = 0;
    std::size_t requestsCompleted_ = 0;
};

/// The name that an Upgrade header is given in place.
constexpr const char* ignoredUpgradeHeader = "~pgrade";

} // namespace wagtailhead
