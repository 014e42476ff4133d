/// Which bytes the HTTP client passes on as an answer.
#include "http_test_support.h"

#include <criterion/criterion.h>
#include <sys/socket.h>

using namespace wagtailhead;
using namespace wagtailhead::testing;

namespace {

constexpr std::size_t uploadBytes = std::size_t { 16 } << 20;
constexpr std::size_t shortBytes = 100;

enum class End : std::uint8_t {
    Close,
    Reset,
    KeepOpen,
};

struct Answer {
    const char* name_;
    std::string bytes_;
    const char* body_ = nullptr; ///< Null if it is no answer.
    End end_ = End::Close;
    int status_ = 200;
};

/// Sends the bytes at once or one by one.
auto sendInParts(RawConnection& peer, const std::string& bytes, bool byteByByte) -> void
{
    if (!byteByByte) {
        peer.send(bytes);
        return;
    }
    for (const char byte : bytes) {
        peer.send({ byte });
    }
}

auto call(HttpClient& client, const Address& address, HttpRequest request) -> HttpResult
{
    std::promise<HttpResult> promise;
    auto future = promise.get_future();
    client.send(address, std::move(request), patience, [&](HttpResult result) {
        promise.set_value(std::move(result));
    });
    cr_assert(future.wait_for(patience * 2) == std::future_status::ready, "no callback");
    return future.get();
}

auto expectResult(const Answer& answer, const HttpResult& result) -> void
{
    const auto* response = std::get_if<HttpResponse>(&result);
    if (answer.body_ == nullptr) {
        const auto* failure = std::get_if<HttpFailure>(&result);
        cr_expect(failure != nullptr && *failure == HttpFailure::Lost, "%s: status %d, body %s", answer.name_,
            response != nullptr ? response->status_ : -1, response != nullptr ? response->body_.c_str() : "");
        return;
    }
    cr_expect(response != nullptr && response->status_ == answer.status_ && response->body_ == answer.body_,
        "%s: status %d", answer.name_, response != nullptr ? response->status_ : -1);
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

/// Returns what the client makes of one request to a server with this script.
auto resultOf(const ScriptedServer::Script& script, HttpRequest request) -> HttpResult
{
    RunningContext running;
    ScriptedServer server(script);
    const auto client = HttpClient::create(running.context_, {});
    auto result = call(*client, server.address(), std::move(request));
    cr_expect_eq(server.connections_, 1, "sent again");
    return result;
}

/// Plays each answer whole and byte by byte, to a request that the server reads whole.
template <std::size_t Count> auto play(const Answer (&answers)[Count]) -> void
{
    for (const auto& answer : answers) {
        for (const bool byteByByte : { false, true }) {
            const auto script = [&](RawConnection& peer) {
                peer.receive();
                sendInParts(peer, answer.bytes_, byteByByte);
                if (answer.end_ == End::Reset) {
                    peer.resetOnClose();
                    peer.close();
                } else if (answer.end_ == End::KeepOpen) {
                    peer.receive(); // Ends when the client closes.
                }
            };
            expectResult(answer, resultOf(script, { "POST", "/p", {}, "body" }));
        }
    }
}

} // namespace

/// Guards against an answer with status 000 or a broken head that a caller, the store's client or an
/// operator's command takes for one, and against "not sent" for the request.
Test(http_client_answers, what_is_no_answer)
{
    const Answer answers[] = {
        { "status 000", withStatusLine("HTTP/1.1 000 None") },
        { "status of two digits", withStatusLine("HTTP/1.1 20 OK") },
        { "status of four digits", withStatusLine("HTTP/1.1 0200 OK") },
        { "status 099", withStatusLine("HTTP/1.1 099 None") },
        { "status beyond the classes", withStatusLine("HTTP/1.1 600 None") },
        { "signed status", withStatusLine("HTTP/1.1 +20 None") },
        { "no status", withStatusLine("HTTP/1.1 OK") },
        { "no version", withStatusLine("HTTP 200 OK") },
        { "another version", withStatusLine("HTTP/2.0 200 OK") },
        { "another protocol that nobody asked for", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\nok" },
        { "blank before the colon", withFields("Content-Length : 2\r\n") },
        { "blank before the first name", withFields(" Content-Length: 2\r\n") },
        { "blank in a name", withFields("A B: c\r\nContent-Length: 2\r\n") },
        { "blank before the colon of chunks", withFields("Transfer-Encoding : chunked\r\n", chunks) },
        { "blank in a name of an interim answer",
            "HTTP/1.1 103 Hints\r\nA B: c\r\n\r\n" + withFields("Content-Length: 2\r\n") },
        { "control byte in a name", withFields("A\x01: c\r\nContent-Length: 2\r\n") },
        { "line feed in a name", withFields("A\nB: c\r\nContent-Length: 2\r\n") },
        { "line feed before a name", withFields("\nContent-Length: 2\r\n") },
        { "carriage return before a name", withFields("\rContent-Length: 2\r\n") },
        { "control byte in a value", withFields("A: \x01\r\nContent-Length: 2\r\n") },
        { "no name", withFields(": c\r\nContent-Length: 2\r\n") },
        { "no colon", withFields("Abc\r\nContent-Length: 2\r\n") },
        { "no length in its field", withFields("Content-Length: \r\n") },
        { "length with a sign", withFields("Content-Length: +2\r\n") },
        { "length with letters", withFields("Content-Length: 2x\r\n") },
        { "length beyond all numbers", withFields("Content-Length: 99999999999999999999999\r\n") },
        { "two lengths", withFields("Content-Length: 2\r\nContent-Length: 1\r\n") },
        { "unknown coding", withFields("Transfer-Encoding: zip\r\n") },
        { "coding that libcurl decodes", withFields("Transfer-Encoding: gzip\r\n") },
        { "chunks twice",
            withFields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks) },
        { "chunk longer than its size", withFields("Transfer-Encoding: chunked\r\n", "2\r\nokok0\r\n\r\n") },
        { "part of its length", withFields("Content-Length: 3\r\n") },
        { "chunks without the last", withFields("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n") },
        { "half a head", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" },
        { "an interim answer alone", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "no length, reset", withFields("A: b\r\n"), nullptr, End::Reset },
        { "part of its length, reset", withFields("Content-Length: 3\r\n"), nullptr, End::Reset },
    };
    play(answers);
}

/// Guards against checks that refuse what the standard allows.
Test(http_client_answers, what_is_an_answer)
{
    const Answer answers[] = {
        { "no reason", withStatusLine("HTTP/1.1 200 "), "ok" },
        { "no reason and no blank", withStatusLine("HTTP/1.1 200"), "ok" },
        { "the older version", withStatusLine("HTTP/1.0 200 OK"), "ok" },
        { "each byte of a name", withFields("!#$%&'*+-.^_`|~09AZaz: c\r\nContent-Length:2\r\n"), "ok" },
        { "blanks and empty values", withFields("A: \t b c \t \r\nB:\r\nContent-Length:  2 \r\n"), "ok" },
        { "folded value", withFields("A: b\r\n c\r\nContent-Length: 2\r\n"), "ok" },
        { "line feeds alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "ok" },
        { "no length, closed in order", withFields("A: b\r\n"), "ok" },
        { "chunks", withFields("transfer-encoding: Chunked\r\n", "2;x=y\r\nok\r\n0\r\nT: t\r\n\r\n"), "ok",
            End::KeepOpen },
        { "its length", withFields("Content-Length: 2\r\n"), "ok", End::KeepOpen },
        { "interim answers",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
                + withFields("Content-Length: 2\r\n"),
            "ok", End::KeepOpen },
        { "no content", "HTTP/1.1 204 None\r\n\r\n", "", End::KeepOpen, 204 },
        { "not modified", "HTTP/1.1 304 None\r\nContent-Length: 2\r\n\r\n", "", End::KeepOpen, 304 },
        { "a failure", "HTTP/1.1 599 None\r\nContent-Length: 2\r\n\r\nok", "ok", End::KeepOpen, 599 },
    };
    play(answers);
}

/// Guards against part of an answer taken for a whole one after the write of the request has failed.
Test(http_client_answers, an_early_answer_without_a_length_is_whole_only_by_an_orderly_close)
{
    const Answer answers[] = {
        { "no length, reset", withFields("A: b\r\n"), nullptr, End::Reset },
        { "no length, a refusal, reset", "HTTP/1.1 503 Busy\r\n\r\nok", nullptr, End::Reset },
        { "part of its length, reset", withFields("Content-Length: 3\r\n"), nullptr, End::Reset },
        { "some chunks, reset", withFields("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n"), nullptr,
            End::Reset },
        { "its length, the request read on", withFields("Content-Length: 2\r\n"), "ok", End::KeepOpen },
    };
    for (const auto& answer : answers) {
        for (const auto bodyBytes : { uploadBytes, shortBytes }) {
            for (const auto pause : { milliseconds(0), milliseconds(20) }) {
                const auto script = [&](RawConnection& peer) {
                    peer.receive(false);
                    peer.send(answer.bytes_);
                    std::this_thread::sleep_for(pause);
                    if (answer.end_ == End::Reset) {
                        peer.resetOnClose();
                        peer.close();
                    } else {
                        peer.receive(); // Reads the rest. Ends when the client closes.
                    }
                };
                const auto name = std::string(answer.name_) + ", " + std::to_string(bodyBytes)
                    + " bytes sent, " + std::to_string(pause.count()) + " ms later";
                auto named = answer;
                named.name_ = name.c_str();
                expectResult(named, resultOf(script, { "POST", "/p", {}, std::string(bodyBytes, 'x') }));
            }
        }
    }
}

/// Guards against a body that is awaited, or taken from what follows, where none comes.
Test(http_client_answers, an_answer_to_head_has_no_body)
{
    const std::string heads[] = { withFields("Content-Length: 2\r\n", ""),
        withFields("Transfer-Encoding: chunked\r\n", ""), withFields("A: b\r\n", "") };
    RunningContext running;
    const auto client = HttpClient::create(running.context_, {});
    ScriptedServer server([&](RawConnection& peer) {
        for (const auto& head : heads) {
            peer.receive();
            peer.send(head);
        }
        peer.receive();
        peer.send("HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n");
    });
    for (std::size_t i = 0; i < std::size(heads); ++i) {
        expectResult({ heads[i].c_str(), "", "" }, call(*client, server.address(), { "HEAD", "/p", {}, {} }));
    }
    expectResult({ "status 000 to HEAD", "" }, call(*client, server.address(), { "HEAD", "/p", {}, {} }));
    cr_expect_eq(server.connections_, 1);
}
