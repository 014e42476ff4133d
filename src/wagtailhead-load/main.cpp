#include "report.h"
#include "run.h"
#include "wagtailhead/log.h"
#include "wagtailhead/settings.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>

namespace {

using namespace wagtailhead;
using namespace wagtailhead::load;

constexpr auto program = "wagtailhead-load";

constexpr auto usage = R"(Sends whole requests to a running mesh in an open loop and reports their outcomes.

Usage:
  wagtailhead-load [options]

Each option can be given as environment variable WAGTAILHEAD_<OPTION>, for instance
WAGTAILHEAD_DEPLOYMENT; the option wins.

Target options:
  --mesh=FILE             Lines of 'scripts/mesh status'; '-' reads standard input [- if not set].
  --deployment=NAME       perlu or lindqvist [perlu if not set].

Load options:
  --scenario=FILE         Scenario file; without it the next two options describe a steady load.
  --rate=N                Requests per second of a steady load, 1 to 20000 [50 if not set].
  --seconds=N             Length of a steady load, 1 to 300 [10 if not set].
  --capacity=N            Requests per second that are 100 % load of a scenario, 1 to 20000
                          [the scenario's own if not set].
  --seed=N                Seed of all random choices [1 if not set].
  --senders=N             Threads that share the load, 1 to 16 [4 if not set].

Caller options:           (over those of the scenario)
  --attempts=N            Most sends of one request, 1 to 20.
  --timeout-ms=N          Time after which a caller gives up an attempt, 1 to 60000.
  --deadline-ms=N         Deadline that callers send, 1 to 60000.

Output options:
  --out=DIR               Writes report.txt, report.json and CSV files into this folder.
  --quiet                 No progress line.
  --log-level=LEVEL       debug, info, warning or error [warning if not set].

Other options:
  -h --help               Show this text.
  --version               Show the version.

Exit status: 0 if the audits contradict no answer, 1 if they do or an audit is missing, 2 for a bad
setting.
)";

constexpr std::int64_t maxPerSecond = 20'000;
constexpr std::int64_t maxSeconds = 300;
constexpr std::int64_t maxAttempts = 20;
constexpr std::int64_t maxSenders = 16;
constexpr auto maxTime = milliseconds(60'000);

auto readText(const std::string& name, const char* setting) -> std::string
{
    std::ostringstream text;
    if (name == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(name);
    if (!file) {
        exitWithUsageError(
            program, "setting --" + std::string(setting) + " has value '" + name + "', which cannot be read");
    }
    text << file.rdbuf();
    return text.str();
}

auto integer(const Settings& settings, const char* name, std::int64_t fallback, std::int64_t high)
    -> std::int64_t
{
    return require(program, settings.integer(name, fallback, 1, high));
}

/// Returns the scenario file, or a scenario of one phase.
auto scenarioText(const Settings& settings) -> std::string
{
    constexpr int millisecondsPerSecond = 1000;
    if (const auto file = settings.find("scenario")) {
        for (const auto* other : { "rate", "seconds" }) {
            if (settings.find(other)) {
                exitWithUsageError(
                    program, "settings --scenario and --" + std::string(other) + " exclude each other");
            }
        }
        return readText(*file, "scenario");
    }
    return R"({"load":{"phases":[{"name":"steady","load_percent":100,"milliseconds":)"
        + std::to_string(integer(settings, "seconds", 10, maxSeconds) * millisecondsPerSecond)
        + R"(}],"capacity_per_second":)" + std::to_string(integer(settings, "rate", 50, maxPerSecond)) + "}}";
}

auto readPlan(const Settings& settings, const std::string& deployment) -> LoadPlan
{
    const auto capacity = settings.find("capacity") ? integer(settings, "capacity", 0, maxPerSecond) : 0;
    auto plan
        = require(program, parseScenario(scenarioText(settings), deployment, static_cast<double>(capacity)));
    auto& callers = plan.callers_;
    callers.attempts_ = static_cast<int>(integer(settings, "attempts", callers.attempts_, maxAttempts));
    callers.timeout_
        = require(program, settings.duration("timeout-ms", callers.timeout_, milliseconds(1), maxTime));
    callers.deadline_
        = require(program, settings.duration("deadline-ms", callers.deadline_, milliseconds(1), maxTime));
    return plan;
}

/// Each attempt in flight holds a connection.
auto raiseFileLimit() -> void
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

auto newRunId() -> std::string
{
    const auto now = WallClock::now().time_since_epoch();
    std::ostringstream text;
    text << std::hex << std::chrono::duration_cast<milliseconds>(now).count();
    return text.str();
}

auto isContradicted(const RunData& data, const Summary& summary) -> bool
{
    const auto& findings = summary.findings_;
    return findings.duplicates_ + findings.falseNotRun_ + findings.phantom_ + findings.foreign_ > 0
        || !data.missingAudits_.empty();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto settings = Settings::fromCommandLine(usage, argc, argv);
    initLog(program, require(program, parseLogLevel(settings.text("log-level", "warning"))));
    RunOptions options;
    options.deployment_ = settings.text("deployment", "perlu");
    options.plan_ = readPlan(settings, options.deployment_);
    options.mesh_ = require(program, parseMeshStatus(readText(settings.text("mesh", "-"), "mesh")));
    options.seed_ = static_cast<std::uint64_t>(require(program, settings.integer("seed", 1, 0, INT32_MAX)));
    options.senders_ = static_cast<int>(integer(settings, "senders", options.senders_, maxSenders));
    options.runId_ = newRunId();
    options.onBegin_ = [](milliseconds unixTime) {
        std::cout << "load begins at " << unixTime.count()
                  << std::endl; // Flushed for scripts that wait for it.
    };
    const bool showProgress = !settings.flag("quiet") && isatty(STDERR_FILENO) != 0;
    if (showProgress) {
        options.onProgress_ = [](const std::string& line) {
            std::cerr << "\r\033[K" << line << std::flush;
        };
    }
    raiseFileLimit();
    const auto data = runLoad(options);
    if (showProgress) {
        std::cerr << "\r\033[K";
    }
    const auto summary = summarize(options.plan_, data);
    std::cout << reportText(options.plan_, data, summary);
    if (const auto folder = settings.find("out")) {
        if (const auto result = writeReport(*folder, options.plan_, data, summary); !isOk(result)) {
            std::cerr << program << ": " << errorOf(result).text_ << '\n';
            return 1;
        }
    }
    return isContradicted(data, summary) ? 1 : 0;
}
