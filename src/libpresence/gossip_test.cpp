#include "wagtailhead/gossip.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <condition_variable>
#include <criterion/criterion.h>
#include <mutex>
#include <thread>

using namespace wagtailhead;

namespace {

constexpr Duration generousTimeout = seconds(20);

/// An Asio context with one thread for the length of a test.
class RunningContext {
public:
    RunningContext()
        : thread_([this] {
            context_.run();
        })
    {
    }
    ~RunningContext()
    {
        stop();
    }
    RunningContext(const RunningContext&) = delete;
    auto operator=(const RunningContext&) -> RunningContext& = delete;

    auto stop() -> void
    {
        context_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    asio::io_context context_;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(context_);
    std::thread thread_;
};

auto messageOf(const std::string& id) -> GossipMessage
{
    GossipMessage message;
    message.sender_.member_.ref_ = { id, 1 };
    return message;
}

auto listenOptions() -> GossipTransportOptions
{
    GossipTransportOptions options;
    options.listen_ = { "127.0.0.1", 0 };
    return options;
}

auto openTransport(RunningContext& running, GossipTransportOptions options, GossipTransport::Handler handler)
    -> std::unique_ptr<GossipTransport>
{
    auto opened = GossipTransport::open(running.context_, std::move(options), std::move(handler));
    cr_assert(isOk(opened), "%s", errorOf(opened).text_.c_str());
    return valueOf(std::move(opened));
}

/// Sends a request and waits for its outcome.
auto ask(GossipTransport& transport, const Address& to, Duration timeout, const std::string& zone = {})
    -> std::optional<GossipMessage>
{
    std::mutex mutex;
    std::condition_variable ready;
    bool done = false;
    std::optional<GossipMessage> result;
    transport.request({ to, zone }, messageOf("asker"), timeout, [&](std::optional<GossipMessage> reply) {
        const std::lock_guard lock(mutex);
        result = std::move(reply);
        done = true;
        ready.notify_one();
    });
    std::unique_lock lock(mutex);
    cr_assert(ready.wait_for(lock, generousTimeout,
                  [&] {
                      return done;
                  }),
        "no outcome was reported");
    return result;
}

auto ignore(GossipMessage, GossipTransport::ReplyFunction) -> void { }

auto echo(GossipMessage message, GossipTransport::ReplyFunction reply) -> void
{
    reply(messageOf("echo to " + message.sender_.member_.ref_.id_));
}

} // namespace

/// Guards against replies that reach no one or the wrong request.
Test(gossip, a_request_gets_its_reply)
{
    RunningContext running;
    const auto server = openTransport(running, listenOptions(), echo);
    const auto client = openTransport(running, listenOptions(), ignore);
    for (int i = 0; i < 3; ++i) {
        const auto reply = ask(*client, server->address(), generousTimeout);
        cr_assert(reply);
        cr_assert_eq(reply->sender_.member_.ref_.id_, "echo to asker");
    }
    cr_assert_eq(client->stats().dialersOpened_, 1, "connections are not reused");
    cr_assert_eq(server->stats().requestsReceived_, 3);
}

/// Guards against requests that wait for ever for a node that is gone or does not answer.
Test(gossip, a_missing_or_mute_node_is_a_failure)
{
    RunningContext running;
    const auto mute = openTransport(running, listenOptions(), ignore);
    const auto client = openTransport(running, listenOptions(), ignore);
    auto gone = openTransport(running, listenOptions(), ignore)->address();
    cr_assert(!ask(*client, gone, milliseconds(200)));
    cr_assert(!ask(*client, mute->address(), milliseconds(200)));
    cr_assert_eq(client->stats().requestsFailed_, 2);
}

/// Guards against contexts that are lost to unanswered requests, which would make a node deaf.
Test(gossip, unanswered_requests_do_not_use_up_the_listener)
{
    RunningContext running;
    auto options = listenOptions();
    options.replyContexts_ = 2;
    std::atomic<int> received = 0;
    const auto server
        = openTransport(running, options, [&](GossipMessage message, GossipTransport::ReplyFunction reply) {
              if (++received > 5) {
                  echo(std::move(message), std::move(reply));
              }
          });
    const auto client = openTransport(running, listenOptions(), ignore);
    std::optional<GossipMessage> reply;
    for (int i = 0; i < 100 && !reply; ++i) {
        reply = ask(*client, server->address(), milliseconds(200));
    }
    cr_assert(reply);
}

/// Guards against an unbounded number of connections, and against closing ones in use.
Test(gossip, the_number_of_connections_is_bounded)
{
    RunningContext running;
    auto options = listenOptions();
    options.maxDialers_ = 2;
    const auto client = openTransport(running, options, ignore);
    for (int i = 0; i < 6; ++i) {
        const auto server = openTransport(running, listenOptions(), echo);
        cr_assert(ask(*client, server->address(), generousTimeout));
        cr_assert(client->stats().dialersOpen_ <= 3);
    }
}

/// Guards against translation of addresses without a zone, and against none for those with one.
Test(gossip, only_addresses_with_a_zone_are_translated)
{
    RunningContext running;
    const auto server = openTransport(running, listenOptions(), echo);
    auto options = listenOptions();
    options.translate_ = [&](const Address&, const std::string& zone) {
        cr_assert_eq(zone, "kurzeme-a");
        return server->address();
    };
    const auto client = openTransport(running, options, ignore);
    cr_assert(ask(*client, { "10.0.0.1", 9 }, generousTimeout, "kurzeme-a"));
    cr_assert(ask(*client, server->address(), generousTimeout));
}

/// Guards against callbacks into objects that are gone, and against a destructor that hangs.
Test(gossip, a_transport_can_be_destroyed_with_requests_in_progress)
{
    RunningContext running;
    std::mutex mutex;
    std::vector<GossipTransport::ReplyFunction> held;
    auto server
        = openTransport(running, listenOptions(), [&](GossipMessage, GossipTransport::ReplyFunction reply) {
              const std::lock_guard lock(mutex);
              held.push_back(std::move(reply));
          });
    auto client = openTransport(running, listenOptions(), ignore);
    for (int i = 0; i < 20; ++i) {
        client->request({ server->address(), {} }, messageOf("a"), seconds(60), [](auto) {});
        client->request({ { "127.0.0.1", 1 }, {} }, messageOf("b"), milliseconds(1), [](auto) {});
    }
    client.reset();
    server.reset();
    const std::lock_guard lock(mutex);
    for (const auto& reply : held) {
        reply(messageOf("late"));
    }
}
