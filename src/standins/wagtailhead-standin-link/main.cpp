#include "link_server.h"
#include "wagtailhead/log.h"
#include "wagtailhead/settings.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <sstream>

using namespace wagtailhead;
using namespace wagtailhead::standin;

namespace {

constexpr auto program = "wagtailhead-standin-link";

constexpr auto usage = R"(Stand-in of the network between availability zones, for tests: a TCP relay.

Usage:
  wagtailhead-standin-link [options] [--route=<row>]... [--zone=<row>]...

Options:
  --listen=<address>                Address of the control interface, GET and POST /-/pairs (required).
  --routes=<file>                   Lines 'route LISTEN TARGET FROM TO' and 'zone ZONE REGION'.
  --route=<row>                     LISTEN/TARGET/FROM/TO relays connections of zone FROM to zone TO.
  --zone=<row>                      ZONE/REGION; a zone without a region is a region of its own.
  --zone-delay-us=<us>              One-way delay between zones of a region [0 if absent].
  --region-delay-us=<us>            One-way delay between regions [0 if absent].
  --region-bytes-per-second=<n>     Bytes of all connections from one region to another, 0 for no limit
                                    [0 if absent].
  --log-level=<level>               debug, info, warning or error [info if absent].
  -h --help                         Show this text.
  --version                         Show the version.
)";

constexpr std::int64_t maxDelayUs = 60'000'000;
constexpr std::int64_t maxBytesPerSecond = 10'000'000'000;

auto readFile(const std::string& path) -> std::string
{
    std::ifstream file(path);
    if (!file) {
        exitWithUsageError(program, "setting --routes: file '" + path + "' cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns rows of flags as lines of a routes file.
auto lines(const char* kind, const std::vector<std::string>& rows) -> std::string
{
    std::string text;
    for (auto row : rows) {
        std::replace(row.begin(), row.end(), '/', ' ');
        text += std::string(kind) + ' ' + row + '\n';
    }
    return text;
}

auto readRoutes(const Settings& settings) -> LinkRoutes
{
    std::string text;
    if (const auto file = settings.find("routes")) {
        text = readFile(*file) + '\n';
    }
    text += lines("route", settings.list("route")) + lines("zone", settings.list("zone"));
    auto routes = require(program, parseLinkRoutes(text));
    if (routes.routes_.empty()) {
        exitWithUsageError(program, "at least one route is required, by --routes or --route");
    }
    return routes;
}

auto readDefaults(const Settings& settings) -> LinkDefaults
{
    const auto number = [&settings](const char* name, std::int64_t high) {
        return require(program, settings.integer(name, 0, 0, high));
    };
    return { microseconds(number("zone-delay-us", maxDelayUs)),
        microseconds(number("region-delay-us", maxDelayUs)),
        static_cast<std::uint64_t>(number("region-bytes-per-second", maxBytesPerSecond)) };
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto settings = Settings::fromCommandLine(usage, argc, argv);
    initLog(program, require(program, parseLogLevel(settings.text("log-level", "info"))));
    HttpServerOptions options;
    options.listen_ = require(program, parseAddress(require(program, settings.text("listen"))));
    const auto routes = readRoutes(settings);

    asio::io_context context(1);
    LinkServer link(context, routes, readDefaults(settings));
    require(program, link.open());
    const auto server = require(program,
        HttpServer::open(context, options,
            [&link](const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder) {
                responder->respond(link.handle(request));
            }));
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const std::error_code&, int) {
        context.stop();
    });
    logEvent(LogLevel::Info, "started",
        { { "listen", options.listen_.text() }, { "routes", routes.routes_.size() } });
    context.run();
    logEvent(LogLevel::Info, "stopped");
    return 0;
}
