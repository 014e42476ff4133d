/// Malformed HTTP messages. One of them must not end the process, nor be held beyond the limits.
#include "http1_reader.h"
#include "mutator_test.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::http1;

namespace {

constexpr ReadLimits limits { 4096, 8192 };

/// Feeds a text in parts of random size and takes every message that it completes.
auto feedInParts(MessageReader& reader, MessageReader::Kind kind, std::string_view text, Mutator& random)
    -> void
{
    constexpr std::size_t longestPart = 200;
    while (!text.empty()) {
        const auto part = text.substr(0, 1 + random.below(longestPart));
        const auto used = reader.feed(part);
        cr_assert(used <= part.size());
        cr_assert(reader.bodySize() <= limits.bodyBytes_);
        if (reader.state() > ReadState::Complete) {
            return;
        }
        if (reader.state() == ReadState::Complete) {
            if (kind == MessageReader::Kind::Requests) {
                auto request = reader.takeRequest();
                request.headers_.removeHopByHop();
                request.headers_.remove("Host");
            } else {
                const auto response = reader.takeResponse();
                cr_assert(response.headers_.lines().size() <= 2 * limits.headerBytes_);
            }
            reader.reset();
            reader.setLimits(limits);
        }
        text.remove_prefix(std::max<std::size_t>(used, 1));
    }
    reader.finish();
}

} // namespace

Test(http1_fuzz, malformed_requests)
{
    Mutator mutator(
        { "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X\r\nX: y\r\n\r\n",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n3;e=1\r\nabc\r\n0\r\nT: "
            "t\r\n\r\n",
            "HEAD * HTTP/1.0\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n" },
        fuzzSeed());
    for (std::size_t i = 0; i < fuzzInputs(); ++i) {
        MessageReader reader(MessageReader::Kind::Requests);
        reader.setLimits(limits);
        feedInParts(reader, MessageReader::Kind::Requests, mutator.next(), mutator);
    }
}

Test(http1_fuzz, malformed_responses)
{
    Mutator mutator(
        { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 204 No\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nT: t\r\n\r\n",
            "HTTP/1.1 500 No\r\nConnection: close\r\n\r\nuntil the end", "HTTP/1.0 200\r\n\r\n" },
        fuzzSeed());
    for (std::size_t i = 0; i < fuzzInputs(); ++i) {
        MessageReader reader(MessageReader::Kind::Responses);
        reader.setLimits(limits);
        feedInParts(reader, MessageReader::Kind::Responses, mutator.next(), mutator);
    }
}
