#include "echo.h"
#include "round_trips.h"
#include "wagtailhead/http.h"
#include "wagtailhead/settings.h"

#include <asio/executor_work_guard.hpp>
#include <cstdio>
#include <functional>
#include <thread>

using namespace wagtailhead;

namespace {

constexpr const char* usage
    = R"(Measures HTTP calls through HttpClient to HttpServer against plain TCP round trips.

Usage:
  http_bench [options]
  http_bench --help
  http_bench --version

Options:
  --requests=N      Measured round trips of each kind, 100 to 1000000 (default 20000).
  --concurrency=N   Round trips in flight, 1 to 256 (default 1).
  --body-bytes=N    Size of request and answer bodies, 0 to 1048576 (default 256).
  --threads=N       Threads of each side, 1 to 8 (default 1).
  --help            Print this text.
  --version         Print the version.
)";

constexpr const char* program = "http_bench";
constexpr std::size_t warmUpPerWorker = 200;
constexpr auto callTimeout = seconds(10);

/// An Asio context with threads that run it until the object is destroyed.
class RunningContext {
public:
    explicit RunningContext(std::int64_t threads)
        : work_(context_.get_executor())
    {
        for (std::int64_t i = 0; i < threads; ++i) {
            threads_.emplace_back([this] {
                context_.run();
            });
        }
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
        for (auto& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    asio::io_context context_;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;
};

auto measureHttp(HttpClient& client, const Address& server, const RoundTripPlan& plan, std::size_t bodyBytes)
    -> RoundTripResult
{
    RoundTripRecorder recorder(plan);
    const HttpRequest request { "POST", "/echo", { { "Content-Type", "text/plain" } },
        std::string(bodyBytes, 'x') };
    std::function<void(std::size_t)> runWorker = [&](std::size_t index) {
        if (!recorder.begin(index)) {
            return;
        }
        client.send(server, request, callTimeout, [&, index](HttpResult result) {
            const auto* response = std::get_if<HttpResponse>(&result);
            recorder.end(index, response != nullptr && response->body_.size() == bodyBytes);
            runWorker(index);
        });
    };
    for (std::size_t index = 0; index < plan.workers_; ++index) {
        runWorker(index);
    }
    return recorder.wait();
}

auto print(const char* name, const RoundTripResult& result) -> void
{
    if (result.latencies_.empty()) {
        std::printf("%-5s no round trip succeeded\n", name);
        return;
    }
    const auto elapsed = std::chrono::duration<double>(result.elapsed_).count();
    std::printf("%-5s p50 %.3f ms  p99 %.3f ms  max %.3f ms  %zu ok  %zu failed  %.0f/s\n", name,
        toMilliseconds(result.quantile(0.50)), toMilliseconds(result.quantile(0.99)),
        toMilliseconds(result.quantile(1.0)), result.latencies_.size(), result.failures_,
        static_cast<double>(result.latencies_.size()) / elapsed);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto settings = Settings::fromCommandLine(usage, argc, argv);
    const auto number = [&](const char* name, std::int64_t fallback, std::int64_t low, std::int64_t high) {
        return static_cast<std::size_t>(require(program, settings.integer(name, fallback, low, high)));
    };
    const auto requests = number("requests", 20000, 100, 1000000);
    const auto concurrency = number("concurrency", 1, 1, 256);
    const auto bodyBytes = number("body-bytes", 256, 0, 1048576);
    const auto threads = static_cast<std::int64_t>(number("threads", 1, 1, 8));
    const RoundTripPlan plan { requests, warmUpPerWorker, concurrency };

    RunningContext serverSide(threads);
    RunningContext clientSide(threads);
    HttpServerOptions options;
    options.listen_ = { "127.0.0.1", 0 };
    const auto server = require(
        program, HttpServer::open(serverSide.context_, options, [](HttpRequest request, auto responder) {
            responder->respond({ 200, {}, std::move(request.body_) });
        }));
    HttpClientOptions clientOptions;
    clientOptions.maxConnectionsPerHost_ = static_cast<int>(concurrency);
    const auto client = HttpClient::create(clientSide.context_, clientOptions);

    const auto echo = measureEcho(serverSide.context_, clientSide.context_, plan, bodyBytes + 1);
    const auto http = measureHttp(*client, server->address(), plan, bodyBytes);
    print("echo", echo);
    print("http", http);
    clientSide.stop();
    serverSide.stop();
    return echo.failures_ + http.failures_ == 0 ? 0 : 1;
}
