#include "backend_monitor.h"

#include "http_test_support.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::testing;

/// Guards against a backend server that counts as up, or as draining, by an answer that is none.
Test(backend_monitor, a_broken_answer_says_nothing)
{
    const std::string draining = R"({"status":"draining"})";
    const std::string length = "Content-Length: " + std::to_string(draining.size()) + "\r\n\r\n";
    const std::string broken[] = {
        "HTTP/1.1 000 None\r\n" + length + draining, "HTTP/1.1 600 None\r\n" + length + draining,
        "HTTP/1.1 200 OK\r\nA B: c\r\n" + length + draining,
        "HTTP/1.1 200 OK\r\n\nA: b\r\n" + length + draining,
        "HTTP/1.1 200 OK\r\n\r\n" + draining, // Reset before its end can be told.
    };
    RunningContext running;
    std::atomic<std::size_t> asked = 0;
    ScriptedServer server([&](RawConnection& peer) {
        peer.receive();
        const auto number = asked++;
        peer.send(
            number < std::size(broken) ? broken[number] : "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        peer.resetOnClose();
        peer.close();
    });
    std::promise<std::pair<BackendState, std::size_t>> first;
    const auto http = HttpClient::create(running.context_, {});
    BackendMonitor monitor(running.context_, *http, server.address(), [&](const BackendState& state) {
        first.set_value({ state, asked });
    });
    monitor.start();
    auto future = first.get_future();
    cr_assert(future.wait_for(patience) == std::future_status::ready, "no answer counted");
    const auto [state, answers] = future.get();
    cr_expect(state.up_ && !state.draining_);
    cr_expect_eq(answers, std::size(broken) + 1);
    running.stop();
}
