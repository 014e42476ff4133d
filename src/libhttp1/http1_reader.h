/// Incremental reading of HTTP/1.1 messages, one at a time.
#pragma once

#include "http1_message.h"

#include <cstdint>
#include <http_parser.h>
#include <limits>
#include <memory>
#include <string_view>

namespace wagtailhead::http1 {

/// Bounds on one message, in bytes. Interim responses, chunk sizes and trailers are bounded by `headerBytes_`
/// too.
struct ReadLimits {
    std::size_t headerBytes_ = std::numeric_limits<std::size_t>::max();
    std::size_t bodyBytes_ = std::numeric_limits<std::size_t>::max();
};

enum class ReadState {
    Empty, ///< No byte of a message has come.
    Headers, ///< In the start line or the header fields.
    Body,
    Complete,
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
};

/// Reads one message after the other. Not thread safe.
class MessageReader {
public:
    enum class Kind {
        Requests,
        Responses,
    };

    explicit MessageReader(Kind kind);
    MessageReader(const MessageReader&) = delete;
    auto operator=(const MessageReader&) -> MessageReader& = delete;

    /// Starts a new message. `toHead`: the response answers a HEAD request and has no body.
    auto reset(bool toHead = false) -> void;

    auto setLimits(ReadLimits limits) -> void
    {
        limits_ = limits;
    }

    /// Takes bytes and returns how many belong to the message; the rest follows it.
    auto feed(std::string_view bytes) -> std::size_t;

    /// Marks the orderly close of the connection, which completes a response without a length. Precondition:
    /// no write to the connection has failed, after which a reset reads as an orderly close.
    auto finish() -> void;

    auto state() const -> ReadState
    {
        return state_;
    }

    /// Returns the bytes of the message that are held.
    auto heldBytes() const -> std::size_t
    {
        return target_.size() + lines_.size() + body_.capacity();
    }

    /// Takes what is held for the message, to be given back when the message's body has gone. Call it before
    /// takeRequest().
    auto setCharge(MemoryCharge charge) -> void
    {
        charge_ = std::move(charge);
    }

    /// Returns the bytes of the body that are held.
    auto bodySize() const -> std::size_t
    {
        return body_.size();
    }

    /// Each moves the message out. Precondition: state() is Complete.
    auto takeRequest() -> Request;
    auto takeResponse() -> Response;

private:
    enum class LineEnds : std::uint8_t {
        Unknown, ///< No line has ended.
        Lf,
        Crlf,
    };

    static auto callbacks() -> const http_parser_settings&;
    auto onField(std::string_view part) -> int;
    auto onValue(std::string_view part) -> int;
    auto onHeaders() -> int;
    auto onBody(std::string_view part) -> int;
    auto onComplete() -> int;
    auto endField() -> void;
    /// Checks what the parser does not. Precondition: the head is complete.
    auto isHeadValid() const -> bool;
    /// Checks the ends of lines in the bytes up to `end`, which are no data of the body. The parser takes any
    /// byte behind a CR for the LF, and an LF alone for the end of a line whatever ends the others; either
    /// could end the head in the name of a field. It skips two bytes behind a chunk, whatever they are.
    auto checkLineEnds(const char* end) -> bool;
    /// Makes the message malformed. Returns a callback's result that stops the parser.
    auto refuse() -> int;
    auto countHeaderBytes(std::size_t bytes) -> int;
    auto exceedsFramingLimit() const -> bool;

    http_parser parser_ {};
    Kind kind_;
    ReadLimits limits_;
    ReadState state_ = ReadState::Empty;
    std::string target_;
    std::string lines_;
    std::string body_;
    MemoryCharge charge_;
    const char* uncheckedFraming_ = nullptr; ///< Within the bytes that are being fed.
    LineEnds lineEnds_ = LineEnds::Unknown;
    bool inLineEnd_ = false; ///< Behind a CR.
    bool afterChunk_ = false; ///< Directly behind the data of a chunk.
    std::size_t headerBytes_ = 0;
    std::size_t framingBytes_ = 0; ///< All bytes of the message other than its body.
    bool inValue_ = false;
    bool inField_ = false;
    bool inTrailer_ = false;
    bool toHead_ = false;
    bool keepAlive_ = true;
};

} // namespace wagtailhead::http1
