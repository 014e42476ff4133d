#include "platform.h"
#include "wagtailhead/log.h"

#include <malloc.h>
#include <random>

namespace {

constexpr auto program = "wagtailhead-sidecar";
constexpr int largeAllocation = 64 * 1024;

constexpr auto usage = R"(The wagtailhead process beside a backend server on the users' platform.

Usage:
  wagtailhead-sidecar [options]
  wagtailhead-sidecar --help
  wagtailhead-sidecar --version

The platform's settings are read from the file that the environment variable
WAGTAILHEAD_BOOT names.

Options: (environment variables WAGTAILHEAD_<OPTION> are read as defaults)
  --log-level=LEVEL  debug, info, warning or error [info if not set].
  --announce-link=ADDR  Address (a.b.c.d:port) that other nodes are told for their links, if it differs from
                     the one that this node listens at.
  --metrics-port=N   Port of this machine where metrics are served at /metrics as well; 0 or unset: only at
                     the readiness address.
  --placement=RULE   Where requests go: load (share of slots in use) or completion (expected completion, in
                     deployments with accounts or upload routes) [load if not set].
  --seed=N           Seed of all random choices; 0 or unset takes one from the system.
  -h --help          Show this text.
  --version          Show the version.
)";

} // namespace

auto main(int argc, char** argv) -> int
{
    using namespace wagtailhead;
    // Large bodies get pages of their own, which go back to the system when they end. Left to itself the
    // allocator raises this threshold with the first large body and keeps the memory of the next ones.
    mallopt(M_MMAP_THRESHOLD, largeAllocation);
    mallopt(M_TRIM_THRESHOLD, largeAllocation);
    const auto flags = Settings::fromCommandLine(usage, argc, argv);
    LogOptions log;
    log.level_ = require(program, parseLogLevel(flags.text("log-level", "info")));
    log.stream_ = LogStream::StandardOutput;
    initLog(program, log);
    auto settings = require(program, platform::readSettings());
    log.node_ = settings.node_;
    log.buffered_ = true;
    initLog(program, log);
    settings.seed_ = static_cast<std::uint64_t>(require(program, flags.integer("seed", 0, 0, INT64_MAX)));
    if (const auto announced = flags.find("announce-link")) {
        settings.announcedLink_ = require(program, parseAddress(*announced));
    }
    const auto placement = flags.text("placement", "load");
    if (placement != "load" && placement != "completion") {
        logEvent(LogLevel::Error, "start_failed",
            { { "error", "--placement is '" + placement + "'; expected load or completion" } });
        flushLog();
        return 1;
    }
    settings.completionPlacement_ = placement == "completion";
    constexpr int mostPort = 65535;
    const auto metricsPort = require(program, flags.integer("metrics-port", 0, 0, mostPort));
    settings.metrics_ = { settings.readiness_.ip_, static_cast<std::uint16_t>(metricsPort) };
    if (settings.seed_ == 0) {
        settings.seed_ = std::random_device {}();
    }
    auto sidecar = Sidecar::start(std::move(settings), platform::interface(), platform::headerNames());
    if (!isOk(sidecar)) {
        logEvent(LogLevel::Error, "start_failed", { { "error", errorOf(sidecar).text_ } });
        flushLog();
        return 1;
    }
    valueOf(sidecar)->run();
    valueOf(sidecar).reset();
    // Without it, a slow teardown looks like a process that the system is slow to end.
    logEvent(LogLevel::Info, "ended");
    flushLog();
    return 0;
}
