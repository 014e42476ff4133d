#include "wagtailhead/peer_transport.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <criterion/criterion.h>
#include <future>
#include <thread>

using namespace wagtailhead;

namespace {

constexpr auto waitLimit = seconds(20);

using Reply = std::variant<Message, PeerFailure>;

/// Runs an Asio context in two threads for the life of the object.
class Loop {
public:
    Loop()
        : guard_(asio::make_work_guard(context_))
    {
        for (auto& thread : threads_) {
            thread = std::thread([this] {
                context_.run();
            });
        }
    }
    ~Loop()
    {
        context_.stop();
        for (auto& thread : threads_) {
            thread.join();
        }
    }
    auto context() -> asio::io_context&
    {
        return context_;
    }

private:
    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::array<std::thread, 2> threads_;
};

auto freePort() -> std::uint16_t
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address_v4("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

auto openTransport(Loop& loop, const NodeRef& self, std::uint16_t port, PeerTransport::Handler handler)
    -> std::unique_ptr<PeerTransport>
{
    PeerTransportOptions options;
    options.self_ = self;
    options.zone_ = "riga-a";
    options.listen_ = { "127.0.0.1", port };
    auto opened = PeerTransport::open(loop.context(), std::move(options), std::move(handler));
    cr_assert(isOk(opened));
    return valueOf(std::move(opened));
}

auto ignoreMessages(const NodeRef&, const Message&, const PeerTransport::ReplyFunction&) -> void { }

auto requestAndWait(PeerTransport& transport, const PeerTarget& peer, Message message, Duration timeout)
    -> Reply
{
    auto promise = std::make_shared<std::promise<Reply>>();
    auto future = promise->get_future();
    transport.request(peer, PeerChannel::Normal, std::move(message), timeout, [promise](Reply reply) {
        promise->set_value(std::move(reply));
    });
    cr_assert(future.wait_for(waitLimit) == std::future_status::ready);
    return future.get();
}

auto failureOf(const Reply& reply) -> PeerFailure
{
    cr_assert(std::holds_alternative<PeerFailure>(reply));
    return std::get<PeerFailure>(reply);
}

/// Accepts one connection, answers Hello, reads, and then does what `ending` says.
class RawPeer {
public:
    enum class Ending {
        Silent,
        CloseAfterRequest,
    };

    RawPeer(NodeRef ref, Ending ending)
        : ref_(std::move(ref))
        , acceptor_(context_, { asio::ip::make_address_v4("127.0.0.1"), 0 })
        , thread_([this, ending] {
            run(ending);
        })
    {
    }
    ~RawPeer()
    {
        release_.set_value();
        thread_.join();
    }
    auto target() -> PeerTarget
    {
        return { ref_, "riga-a", { "127.0.0.1", acceptor_.local_endpoint().port() } };
    }

private:
    auto run(Ending ending) -> void
    {
        auto socket = acceptor_.accept();
        const auto payload = encodeMessage(Hello { protocolVersion, ref_, "riga-a" }, Clock::now());
        std::string frame(12, '\0');
        frame[3] = static_cast<char>(payload.size() + 8);
        frame += payload;
        asio::write(socket, asio::buffer(frame));
        std::array<char, 4096> input {};
        std::size_t received = 0;
        // The peer's Hello is shorter than 100 bytes; more means that the request has arrived.
        while (received < 100) {
            received += socket.read_some(asio::buffer(input));
        }
        if (ending == Ending::CloseAfterRequest) {
            socket.close();
        }
        release_.get_future().wait();
    }

    asio::io_context context_;
    NodeRef ref_;
    asio::ip::tcp::acceptor acceptor_;
    std::promise<void> release_;
    std::thread thread_;
};

auto largeCall() -> Message
{
    CallRequest call;
    call.http_.body_.assign(200, 'x');
    return call;
}

} // namespace

/// Guards against replies being given to the wrong request when they arrive out of order.
Test(peer_transport, crossed_replies_reach_their_own_requests)
{
    Loop loop;
    const NodeRef server { "server", 1 };
    const auto port = freePort();
    std::mutex mutex;
    std::vector<std::pair<CallRequest, PeerTransport::ReplyFunction>> held;
    auto serving = openTransport(loop, server, port, [&](const NodeRef&, Message message, auto reply) {
        const std::lock_guard lock(mutex);
        held.emplace_back(std::get<CallRequest>(message), reply);
        if (held.size() == 100) {
            for (auto at = held.rbegin(); at != held.rend(); ++at) {
                CallReply answer;
                answer.callId_ = at->first.callId_;
                answer.answer_.body_ = at->first.http_.body_;
                at->second(answer);
            }
        }
    });
    auto client = openTransport(loop, { "client", 1 }, freePort(), ignoreMessages);
    std::atomic<int> right { 0 };
    std::promise<void> done;
    std::atomic<int> ended { 0 };
    for (int i = 0; i < 100; ++i) {
        CallRequest call;
        call.http_.body_ = std::to_string(i);
        client->request({ server, "riga-a", { "127.0.0.1", port } }, PeerChannel::Normal, call, waitLimit,
            [&, i](Reply reply) {
                const auto* message = std::get_if<Message>(&reply);
                if (message && std::get<CallReply>(*message).answer_.body_ == std::to_string(i)) {
                    ++right;
                }
                if (++ended == 100) {
                    done.set_value();
                }
            });
    }
    cr_assert(done.get_future().wait_for(waitLimit) == std::future_status::ready);
    cr_assert_eq(right.load(), 100);
}

/// Guards against a request that never left being reported as possibly executed.
Test(peer_transport, refused_connection_is_not_sent)
{
    Loop loop;
    auto client = openTransport(loop, { "client", 1 }, freePort(), ignoreMessages);
    const auto reply = requestAndWait(
        *client, { { "nobody", 1 }, "riga-a", { "127.0.0.1", freePort() } }, largeCall(), waitLimit);
    cr_assert(failureOf(reply) == PeerFailure::NotSent);
}

/// Guards against a request reaching the successor of a replaced VM at the same address.
Test(peer_transport, other_incarnation_at_the_address_gets_nothing)
{
    Loop loop;
    std::atomic<int> received { 0 };
    const auto port = freePort();
    auto serving
        = openTransport(loop, { "server", 2 }, port, [&](const NodeRef&, const Message&, const auto&) {
              ++received;
          });
    auto client = openTransport(loop, { "client", 1 }, freePort(), ignoreMessages);
    const auto reply = requestAndWait(
        *client, { { "server", 1 }, "riga-a", { "127.0.0.1", port } }, largeCall(), waitLimit);
    cr_assert(failureOf(reply) == PeerFailure::NotSent);
    cr_assert_eq(received.load(), 0);
}

/// Guards against a request whose peer may have seen it being reported as not sent.
Test(peer_transport, connection_closed_after_the_request_is_lost)
{
    Loop loop;
    RawPeer peer({ "raw", 1 }, RawPeer::Ending::CloseAfterRequest);
    auto client = openTransport(loop, { "client", 1 }, freePort(), ignoreMessages);
    const auto reply = requestAndWait(*client, peer.target(), largeCall(), waitLimit);
    cr_assert(failureOf(reply) == PeerFailure::Lost);
}

/// Guards against a request waiting for its whole deadline on a connection that has gone silent.
Test(peer_transport, silent_connection_is_found_before_the_request_times_out)
{
    Loop loop;
    RawPeer peer({ "raw", 1 }, RawPeer::Ending::Silent);
    auto client = openTransport(loop, { "client", 1 }, freePort(), ignoreMessages);
    const auto reply = requestAndWait(*client, peer.target(), largeCall(), waitLimit);
    cr_assert(failureOf(reply) == PeerFailure::Lost);
    cr_assert_eq(client->stats().connectionsSilent_, 1U);
}

/// Guards against a cancelled call going on at the peer, or calling back after all.
Test(peer_transport, cancel_reaches_the_peer_and_silences_the_callback)
{
    Loop loop;
    const NodeRef server { "server", 1 };
    const auto port = freePort();
    std::promise<void> arrived;
    std::promise<std::uint64_t> cancelled;
    auto serving
        = openTransport(loop, server, port, [&](const NodeRef&, const Message& message, const auto&) {
              if (std::holds_alternative<CallRequest>(message)) {
                  arrived.set_value();
              } else if (const auto* cancel = std::get_if<CancelCall>(&message)) {
                  cancelled.set_value(cancel->callId_);
              }
          });
    auto client = openTransport(loop, { "client", 1 }, freePort(), ignoreMessages);
    std::atomic<int> callbacks { 0 };
    const auto id = client->request({ server, "riga-a", { "127.0.0.1", port } }, PeerChannel::Normal,
        largeCall(), waitLimit, [&](const Reply&) {
            ++callbacks;
        });
    cr_assert(arrived.get_future().wait_for(waitLimit) == std::future_status::ready);
    client->cancel(id);
    auto seen = cancelled.get_future();
    cr_assert(seen.wait_for(waitLimit) == std::future_status::ready);
    cr_assert_eq(seen.get(), id);
    cr_assert_eq(callbacks.load(), 0);
}

/// Guards against a request without a reply never ending.
Test(peer_transport, request_without_reply_times_out)
{
    Loop loop;
    const NodeRef server { "server", 1 };
    const auto port = freePort();
    auto serving = openTransport(loop, server, port, ignoreMessages);
    auto client = openTransport(loop, { "client", 1 }, freePort(), ignoreMessages);
    const auto reply = requestAndWait(
        *client, { server, "riga-a", { "127.0.0.1", port } }, largeCall(), milliseconds(200));
    cr_assert(failureOf(reply) == PeerFailure::Timeout);
}
