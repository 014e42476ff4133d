#include "store_server.h"
#include "wagtailhead/log.h"
#include "wagtailhead/settings.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>

using namespace wagtailhead;

namespace {

constexpr auto program = "wagtailhead-standin-store";
constexpr auto maxInitialDelay = milliseconds(60'000);

constexpr auto usage = R"(Stand-in of the platform's object store, for tests.

Usage:
  wagtailhead-standin-store [options]

Options:
  --listen=<address>     Address of the object API and of the control paths under /-/ (required).
  --delay-ms=<ms>        Time that each API call takes [0 if absent].
  --log-level=<level>    debug, info, warning or error [info if absent].
  -h --help              Show this text.
  --version              Show the version.
)";

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto settings = Settings::fromCommandLine(usage, argc, argv);
    initLog(program, require(program, parseLogLevel(settings.text("log-level", "info"))));
    const auto listen = require(program, parseAddress(require(program, settings.text("listen"))));
    standin::StoreFaults faults;
    faults.delay_
        = require(program, settings.duration("delay-ms", milliseconds(0), milliseconds(0), maxInitialDelay));

    asio::io_context context(1);
    standin::StoreServer store(context, faults);
    HttpServerOptions options;
    options.listen_ = listen;
    options.maxBodyBytes_ = standin::maxValueBytes;
    auto server = require(program,
        HttpServer::open(
            context, options, [&store](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                store.handle(request, responder);
            }));
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const std::error_code&, int) {
        context.stop();
    });
    logEvent(LogLevel::Info, "started", { { "listen", listen.text() } });
    context.run();
    logEvent(LogLevel::Info, "stopped");
    return 0;
}
