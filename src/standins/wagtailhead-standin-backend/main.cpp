#include "backend_server.h"
#include "wagtailhead/ids.h"
#include "wagtailhead/log.h"
#include "wagtailhead/settings.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>

using namespace wagtailhead;
using namespace wagtailhead::standin;

namespace {

constexpr auto program = "wagtailhead-standin-backend";

constexpr auto usage = R"(Stand-in of a backend server, for tests.

Usage:
  wagtailhead-standin-backend [options] [--call=<rows>]... [--body-size=<rows>]...

Options:
  --listen=<address>           Address of the server (required).
  --service=<name>             Name of its service (required).
  --slots=<n>                  Executions at a time; further calls wait in order [16 if absent].
  --connections=<n>            Open connections; further ones are closed at once [1000 if absent].
  --service-time-ms=<ms>       Median service time [10 if absent].
  --spread-percent=<n>         Lognormal spread of service times [30 if absent].
  --cold-start-ms=<ms>         How long it is slower after its start [0 if absent].
  --cold-start-factor=<n>      How many times slower it is at its start [5 if absent].
  --probe-ms=<ms>              Time that an answer of /health or /load takes [0 if absent].
  --subcalls=<address>         Sub-call listener of its node; required with --call rows.
  --call=<rows>                METHOD:PATH=METHOD:SERVICE:PATH,... sends sub-calls for an operation.
  --parallel                   Sends the sub-calls of an execution at once, not one after another.
  --retries=<n>                Own repeats of a failed sub-call [0 if absent].
  --body-size=<rows>           METHOD:PATH=BYTES,... sets the least size of answers.
  --audit-file=<path>          Appends the begin and end of every execution to this file.
  --seed=<n>                   Seed of all random choices [derived from --listen if absent].
  --log-level=<level>          debug, info, warning or error [info if absent].
  -h --help                    Show this text.
  --version                    Show the version.
)";

constexpr std::int64_t maxSlots = 100'000;
constexpr std::int64_t maxRetries = 100;
constexpr std::int64_t maxColdFactor = 1'000;
constexpr std::int64_t maxSpreadPercent = 300;
constexpr auto maxTime = milliseconds(600'000);

auto number(const Settings& settings, const char* name, std::int64_t fallback, std::int64_t low,
    std::int64_t high) -> std::int64_t
{
    return require(program, settings.integer(name, fallback, low, high));
}

auto time(const Settings& settings, const char* name, milliseconds fallback) -> milliseconds
{
    return require(program, settings.duration(name, fallback, milliseconds(0), maxTime));
}

auto readServiceTimes(const Settings& settings, const Address& listen) -> ServiceTimeOptions
{
    constexpr double percent = 100.0;
    ServiceTimeOptions options;
    options.median_ = time(settings, "service-time-ms", milliseconds(10));
    options.spread_
        = static_cast<double>(number(settings, "spread-percent", 30, 0, maxSpreadPercent)) / percent;
    options.coldStart_ = time(settings, "cold-start-ms", milliseconds(0));
    options.coldFactor_ = static_cast<double>(number(settings, "cold-start-factor", 5, 1, maxColdFactor));
    const auto derived = static_cast<std::int64_t>(stableHash(listen.text()) >> 1);
    options.seed_ = static_cast<std::uint64_t>(number(settings, "seed", derived, 0, INT64_MAX));
    return options;
}

auto readOptions(const Settings& settings, const Address& listen) -> BackendOptions
{
    BackendOptions options;
    options.service_ = require(program, settings.text("service"));
    options.slots_ = static_cast<std::size_t>(number(settings, "slots", 16, 1, maxSlots));
    options.serviceTimes_ = readServiceTimes(settings, listen);
    options.probeTime_ = time(settings, "probe-ms", milliseconds(0));
    options.calls_ = require(program, parseCallTable(settings.list("call")));
    options.bodySizes_ = require(program, parseBodySizes(settings.list("body-size")));
    options.subCalls_.service_ = options.service_;
    options.subCalls_.retries_ = static_cast<int>(number(settings, "retries", 0, 0, maxRetries));
    options.subCalls_.parallel_ = settings.flag("parallel");
    if (settings.find("subcalls")) {
        options.subCalls_.address_ = require(program, parseAddress(settings.text("subcalls", "")));
    } else if (!settings.list("call").empty()) {
        exitWithUsageError(program, "setting --call needs --subcalls, the sub-call listener of the node");
    }
    return options;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto settings = Settings::fromCommandLine(usage, argc, argv);
    initLog(program, require(program, parseLogLevel(settings.text("log-level", "info"))));
    const auto listen = require(program, parseAddress(require(program, settings.text("listen"))));
    auto options = readOptions(settings, listen);
    HttpServerOptions serverOptions;
    serverOptions.listen_ = listen;
    serverOptions.maxConnections_
        = static_cast<std::size_t>(number(settings, "connections", 1'000, 1, maxSlots));

    asio::io_context context(1);
    HttpClientOptions clientOptions;
    // Sub-calls must not queue inside the stand-in: each execution may send several at once.
    clientOptions.maxConnectionsPerHost_ = static_cast<int>(maxSlots);
    const auto client = HttpClient::create(context, clientOptions);
    const auto service = options.service_;
    BackendServer backend(context, *client, std::move(options));
    if (const auto path = settings.find("audit-file")) {
        require(program, backend.writeAuditTo(*path));
    }
    const auto server = require(program,
        HttpServer::open(context, serverOptions,
            [&backend](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                backend.handle(std::move(request), responder);
            }));
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&backend](const std::error_code&, int) {
        backend.stopWhenIdle();
    });
    logEvent(LogLevel::Info, "started", { { "listen", listen.text() }, { "service", service } });
    context.run();
    logEvent(LogLevel::Info, "stopped");
    return 0;
}
