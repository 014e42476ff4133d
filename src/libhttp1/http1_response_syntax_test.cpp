/// Which bytes count as a response.
#include "http1_reader.h"

#include <criterion/criterion.h>

using namespace wagtailhead::http1;

namespace {

using Kind = MessageReader::Kind;

/// Reads a whole stream that is closed in order, `partBytes` at a time. Returns the final state.
auto read(MessageReader& reader, std::string_view stream, std::size_t partBytes) -> ReadState
{
    while (!stream.empty() && reader.state() < ReadState::Complete) {
        reader.feed(stream.substr(0, partBytes));
        stream.remove_prefix(std::min(partBytes, stream.size()));
    }
    reader.finish();
    return reader.state();
}

struct Stream {
    const char* name_;
    std::string bytes_;
    const char* body_ = "ok"; ///< Null if the stream is no response.
};

auto expectAlikeInParts(const Stream& stream) -> void
{
    for (const std::size_t partBytes : { std::size_t { 1 }, std::size_t { 7 }, stream.bytes_.size() }) {
        MessageReader reader(Kind::Responses);
        const auto state = read(reader, stream.bytes_, partBytes);
        cr_expect((state == ReadState::Complete) == (stream.body_ != nullptr), "%s, %zu at a time: state %d",
            stream.name_, partBytes, static_cast<int>(state));
        if (stream.body_ != nullptr && state == ReadState::Complete) {
            const auto response = reader.takeResponse();
            cr_expect(response.body_ == stream.body_, "%s: %s", stream.name_, response.body_.c_str());
        }
    }
}

auto withStatusLine(const std::string& line) -> std::string
{
    return line + "\r\nContent-Length: 2\r\n\r\nok";
}

auto withFields(const std::string& fields, const std::string& body = "ok") -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

const std::string chunks = "2\r\nok\r\n0\r\n\r\n";

} // namespace

// A backend server in trouble sent status 000 and lines whose names held a blank, and callers got them as
// answers: with the line passed on, or with a body that was cut elsewhere than the server had meant.
Test(http1_response_syntax, what_is_no_response)
{
    const Stream streams[] = {
        { "status 000", withStatusLine("HTTP/1.1 000 None"), nullptr },
        { "status 000 and then another response",
            withStatusLine("HTTP/1.1 000 None") + withStatusLine("HTTP/1.1 200 OK"), nullptr },
        { "status of two digits", withStatusLine("HTTP/1.1 20 OK"), nullptr },
        { "status 099", withStatusLine("HTTP/1.1 099 None"), nullptr },
        { "status beyond the classes", withStatusLine("HTTP/1.1 600 None"), nullptr },
        { "status of four digits", withStatusLine("HTTP/1.1 2000 None"), nullptr },
        { "signed status", withStatusLine("HTTP/1.1 +20 None"), nullptr },
        { "no status", withStatusLine("HTTP/1.1 OK"), nullptr },
        { "another protocol that nobody asked for",
            "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK"), nullptr },
        { "another version", withStatusLine("HTTP/2.0 200 OK"), nullptr },
        { "control byte behind the status line", withStatusLine("HTTP/1.1 200 OK\rX"), nullptr },
        { "blank before the colon", withFields("Content-Length : 2\r\n"), nullptr },
        { "blank before the first name", withFields(" Content-Length: 2\r\n"), nullptr },
        { "blank in a name", withFields("Content Length: 2\r\n"), nullptr },
        { "blank before the colon of chunks", withFields("Transfer-Encoding : chunked\r\n", chunks),
            nullptr },
        { "blank in a name of an interim response",
            "HTTP/1.1 103 Hints\r\nA B: c\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK"), nullptr },
        { "blank in a name of a trailer",
            withFields("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\nA B: c\r\n\r\n"), nullptr },
        { "no name", withFields(": 2\r\n"), nullptr },
        { "no colon", withFields("Content-Length\r\n"), nullptr },
        { "control byte at the start of a value", withFields("A: \x01z\r\nContent-Length: 2\r\n"), nullptr },
        { "line end at the start of a value", withFields("A: \rBContent-Length: 2\r\n"), nullptr },
        { "control byte in the last line", withFields("Content-Length: 2\r\n\rX"), nullptr },
        { "no length in its field", withFields("Content-Length: \r\n"), nullptr },
        { "length with a sign", withFields("Content-Length: +2\r\n"), nullptr },
        { "length with letters", withFields("Content-Length: 2x\r\n"), nullptr },
        { "two lengths", withFields("Content-Length: 2\r\nContent-Length: 1\r\n"), nullptr },
        { "unknown coding", withFields("Transfer-Encoding: gzip\r\n"), nullptr },
        { "unknown coding below chunks", withFields("Transfer-Encoding: gzip, chunked\r\n", chunks),
            nullptr },
        { "unknown coding above chunks", withFields("Transfer-Encoding: chunked, gzip\r\n", chunks),
            nullptr },
        { "chunks twice", withFields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks),
            nullptr },
        { "no coding in its field", withFields("Transfer-Encoding: \r\n"), nullptr },
        { "chunk longer than its size", withFields("Transfer-Encoding: chunked\r\n", "2\r\nokok0\r\n\r\n"),
            nullptr },
        { "control byte behind a chunk's size",
            withFields("Transfer-Encoding: chunked\r\n", "2;\rXok\r\n0\r\n\r\n"), nullptr },
        { "chunk size with a sign", withFields("Transfer-Encoding: chunked\r\n", "+2\r\nok\r\n0\r\n\r\n"),
            nullptr },
    };
    for (const auto& stream : streams) {
        expectAlikeInParts(stream);
    }
}

// Guards against checks that refuse what the standard allows.
Test(http1_response_syntax, what_is_a_response)
{
    const Stream streams[] = {
        { "no reason", withStatusLine("HTTP/1.1 200 ") },
        { "no reason and no blank", withStatusLine("HTTP/1.1 200") },
        { "reason of several words", withStatusLine("HTTP/1.1 200 All is \xc3\xb6k") },
        { "the last status", withStatusLine("HTTP/1.1 599 Unassigned") },
        { "the older version", withStatusLine("HTTP/1.0 200 OK") },
        { "no blank before a value", withFields("Content-Length:2\r\n") },
        { "blanks and tabs around a value", withFields("A: \t b c \t \r\nContent-Length:  2 \r\n") },
        { "empty value", withFields("A:\r\nB: \r\nContent-Length: 2\r\n") },
        { "value with colons and high bytes", withFields("A: b:c \xff\r\nContent-Length: 2\r\n") },
        { "folded value", withFields("A: b\r\n c\r\nContent-Length: 2\r\n") },
        { "line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok" },
        { "chunks",
            withFields("transfer-encoding: Chunked\r\n", "1;x=\"y\"\r\no\r\n01\r\nk\r\n0\r\nT: t\r\n\r\n") },
        { "chunk data with line ends",
            withFields("Transfer-Encoding: chunked\r\n", "4\r\n\ro\r\r\r\n0\r\n\r\n"), "\ro\r\r" },
        { "body with line ends", withFields("Content-Length: 2\r\n", "\r\r"), "\r\r" },
        { "no length, closed in order", withFields("A: b\r\n") },
        { "no length and line ends", withFields("A: b\r\n", "\r"), "\r" },
        { "interim responses",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
                + withFields("Content-Length: 2\r\n") },
        { "no content", "HTTP/1.1 204 None\r\n\r\n", "" },
        { "not modified, with the length of the representation",
            "HTTP/1.1 304 None\r\nContent-Length: 2\r\n\r\n", "" },
    };
    for (const auto& stream : streams) {
        expectAlikeInParts(stream);
    }
}

// Guards against a list of allowed bytes that differs from the standard's in either direction.
Test(http1_response_syntax, each_byte_of_a_name)
{
    const std::string allowed
        = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    for (int value = 0; value <= 0xff; ++value) {
        const auto byte = static_cast<char>(value);
        if (byte == ':') {
            continue; // Ends the name.
        }
        const bool legal = allowed.find(byte) != std::string::npos;
        for (std::size_t place = 0; place < 4; ++place) {
            std::string name = "Abcd";
            name[place] = byte;
            const auto label = "byte " + std::to_string(value) + " at " + std::to_string(place);
            expectAlikeInParts(
                { label.c_str(), withFields(name + ": v\r\nContent-Length: 2\r\n"), legal ? "ok" : nullptr });
        }
    }
}

// Guards against a body being taken for one where none follows.
Test(http1_response_syntax, responses_to_head_have_no_body)
{
    for (const auto* fields : { "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
        MessageReader reader(Kind::Responses);
        reader.reset(true);
        reader.feed("HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n");
        cr_expect(reader.state() == ReadState::Complete, "%s", fields);
    }
    MessageReader reader(Kind::Responses);
    reader.reset(true);
    reader.feed("HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n");
    cr_expect(reader.state() == ReadState::Malformed);
}

// A request with such a line was read with another length than servers read it.
Test(http1_response_syntax, requests_are_held_to_the_same_names)
{
    for (const auto* fields :
        { "Content-Length : 2\r\n", " Content-Length: 2\r\n", "Content Length: 2\r\n" }) {
        MessageReader reader(Kind::Requests);
        reader.feed("POST /a HTTP/1.1\r\n" + std::string(fields) + "Host: h\r\n\r\nok");
        cr_expect(reader.state() == ReadState::Malformed, "%s", fields);
    }
}
