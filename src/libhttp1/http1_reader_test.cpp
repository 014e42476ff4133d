#include "http1_reader.h"

#include <criterion/criterion.h>

using namespace wagtailhead::http1;

namespace {

using Kind = MessageReader::Kind;

/// Feeds `text` byte by byte and returns how many bytes were taken.
auto feedSlowly(MessageReader& reader, std::string_view text) -> std::size_t
{
    std::size_t used = 0;
    for (const char& c : text) {
        used += reader.feed({ &c, 1 });
    }
    return used;
}

struct Case {
    const char* name_;
    Kind kind_;
    const char* text_;
    ReadState state_;
};

} // namespace

Test(http1_reader, states)
{
    const Case cases[] = {
        { "request without body", Kind::Requests, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", ReadState::Complete },
        { "request in parts", Kind::Requests, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
            ReadState::Body },
        { "chunked request", Kind::Requests,
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            ReadState::Complete },
        { "two lengths", Kind::Requests,
            "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ReadState::Malformed },
        { "no request", Kind::Requests, "\x01\x02\x03\x04", ReadState::Malformed },
        { "no response", Kind::Responses, "GARBAGE\r\n\r\n", ReadState::Malformed },
        { "response cut short", Kind::Responses, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            ReadState::Body },
        { "response without a length", Kind::Responses, "HTTP/1.1 200 OK\r\n\r\nabc", ReadState::Body },
        { "interim response", Kind::Responses, "HTTP/1.1 100 Continue\r\n\r\n", ReadState::Headers },
    };
    for (const auto& one : cases) {
        MessageReader reader(one.kind_);
        feedSlowly(reader, one.text_);
        cr_expect(reader.state() == one.state_, "%s: state %d", one.name_, static_cast<int>(reader.state()));
    }
}

Test(http1_reader, leaves_the_bytes_behind_a_message)
{
    MessageReader reader(Kind::Responses);
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string both = first + "HTTP/1.1 200 OK\r\n";
    cr_assert(reader.feed(both) == first.size());
    const auto response = reader.takeResponse();
    cr_assert(response.body_ == "ok");
    cr_assert(response.keepAlive_);
}

Test(http1_reader, closing_completes_only_a_response_without_a_length)
{
    MessageReader open(Kind::Responses);
    open.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    open.finish();
    cr_assert(open.state() == ReadState::Complete);
    cr_assert(open.takeResponse().body_ == "abc");
    MessageReader cut(Kind::Responses);
    cut.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    cut.finish();
    cr_assert(cut.state() != ReadState::Complete);
}

Test(http1_reader, keeps_to_the_limits)
{
    MessageReader headers(Kind::Requests);
    headers.setLimits({ 16, 1000 });
    headers.feed("GET /a HTTP/1.1\r\nX-Long: 0123456789012345678901234567890\r\n\r\n");
    cr_assert(headers.state() == ReadState::HeadersTooLarge);
    MessageReader body(Kind::Requests);
    body.setLimits({ 1000, 4 });
    body.feed("POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\n012345678");
    cr_assert(body.state() == ReadState::BodyTooLarge);
}

// A backend server that sends bytes that are no response, without end, must neither fill the memory of the
// node nor keep it reading.
Test(http1_reader, a_response_without_end_is_given_up_early)
{
    struct EndlessCase {
        const char* name_;
        const char* start_;
        const char* repeated_;
    };
    const EndlessCase cases[] = {
        { "reason phrase", "HTTP/1.1 200 ", "OK" },
        { "header name", "HTTP/1.1 200 OK\r\n", "x" },
        { "header value", "HTTP/1.1 200 OK\r\nX: ", "y" },
        { "header value of spaces", "HTTP/1.1 200 OK\r\nX: ", " " },
        { "header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
        { "line ends before the status line", "", "\r\n" },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "interim responses with headers", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" },
        { "length digits", "HTTP/1.1 200 OK\r\nContent-Length: ", "0" },
        { "chunk size digits", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
        { "chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "e" },
        { "small chunks with long extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1;eeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeeee\r\na\r\n" },
        { "trailer line", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "t" },
        { "trailer lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: t\r\n" },
        { "body until the close", "HTTP/1.1 200 OK\r\n\r\n", "body" },
        { "chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n" },
    };
    constexpr std::size_t headerLimit = 4096;
    constexpr std::size_t bodyLimit = 8192;
    // Framing of a body within its limit takes some bytes besides.
    constexpr std::size_t readAtMost = 4 * (headerLimit + bodyLimit);
    for (const auto& one : cases) {
        MessageReader reader(Kind::Responses);
        reader.setLimits({ headerLimit, bodyLimit });
        std::size_t used = reader.feed(one.start_);
        while (reader.state() < ReadState::Complete && used < 10 * readAtMost) {
            used += reader.feed(one.repeated_);
        }
        cr_expect(reader.state() > ReadState::Complete && used <= readAtMost, "%s: state %d after %zu bytes",
            one.name_, static_cast<int>(reader.state()), used);
    }
}

// A length beyond the limit is known from the head; reading the body first would only cost memory.
Test(http1_reader, an_announced_length_beyond_the_limit_is_refused_at_the_head)
{
    MessageReader reader(Kind::Responses);
    reader.setLimits({ 1000, 1000 });
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n");
    cr_assert(reader.state() == ReadState::BodyTooLarge);
    MessageReader head(Kind::Responses);
    head.reset(true);
    head.setLimits({ 1000, 1000 });
    head.feed("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n");
    cr_assert(head.state() == ReadState::Complete, "a response to HEAD has no body");
}

// An operator's report: a response that broke off halfway reached the caller as a complete success.
Test(http1_reader, a_response_cut_at_any_byte_is_not_complete)
{
    const std::string responses[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcdefgh",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n4;x=1\r\nefgh\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nabcdefgh\r\n0\r\nT: t\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcdefgh",
    };
    for (const auto& response : responses) {
        for (std::size_t size = 0; size <= response.size(); ++size) {
            MessageReader reader(Kind::Responses);
            reader.feed(std::string_view(response).substr(0, size));
            reader.finish();
            cr_expect((reader.state() == ReadState::Complete) == (size == response.size()),
                "%zu of %zu bytes of %s", size, response.size(), response.c_str());
        }
    }
}

// The buffer of a body doubled as it grew, and all of it is charged: a body of more than half of the bound on
// long requests was refused, though it was the only one.
Test(http1_reader, the_buffer_of_a_body_grows_by_a_part_of_it)
{
    constexpr std::size_t bodyBytes = 3000000;
    constexpr std::size_t partBytes = 65536;
    constexpr std::size_t headBytes = 100;
    const std::string length = "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    for (const auto& fields : { length, std::string("Transfer-Encoding: chunked\r\n\r\n") }) {
        MessageReader reader(MessageReader::Kind::Requests);
        reader.feed("POST /x HTTP/1.1\r\nHost: h\r\n" + fields);
        const bool chunked = fields != length;
        for (std::size_t sent = 0; sent < bodyBytes;) {
            const auto part = std::min(partBytes, bodyBytes - sent);
            sent += part;
            if (chunked) {
                reader.feed("10000\r\n" + std::string(partBytes, 'y') + "\r\n");
            } else {
                reader.feed(std::string(part, 'y'));
            }
            const auto size = reader.bodySize();
            cr_assert(reader.heldBytes() <= size + size / 4 + partBytes + headBytes, "%zu for %zu",
                reader.heldBytes(), size);
            cr_assert(chunked || reader.heldBytes() <= bodyBytes + headBytes, "%zu for an announced %zu",
                reader.heldBytes(), bodyBytes);
        }
    }
}
