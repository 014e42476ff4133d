#include "ctl_options.h"

#include "wagtailhead/config_documents.h"

#include <algorithm>
#include <sstream>

namespace wagtailhead {

const char* const ctlUsage = R"(Operators' command line of wagtailhead.

Usage:
  wagtailheadctl intent create KIND [FILE] [--add-node=ID]... [--remove-node=ID]... [--lost-node=ID]...
                               [--lost-zone=ZONE] [--withdraw-node=ID]... [--note=TEXT] [options]
  wagtailheadctl intent show ID [options]
  wagtailheadctl intent list [options]
  wagtailheadctl intent confirm ID [--force] [--yes] [options]
  wagtailheadctl intent follow ID [options]
  wagtailheadctl config check KIND FILE [options]
  wagtailheadctl config get KIND [options]
  wagtailheadctl history KIND [options]
  wagtailheadctl status [options]
  wagtailheadctl dump ADDRESS [options]
  wagtailheadctl trace ID [LOG...] [options]
  wagtailheadctl --help
  wagtailheadctl --version

KIND is classes, retries, limits, links, leaving or lost; an intent of the last one is stated as
declare-lost. FILE holds a document as JSON; - stands for standard input. An intent takes no effect until
it is confirmed.

trace tells the story of the request with this attempt id from the logs of several nodes, in any order, or from
standard input, and marks the line that decided. The names of logs contain no commas.

Parts of an intent:
  --add-node=ID        leaving: this node shall leave; may be repeated.
  --remove-node=ID     leaving: this node shall no longer leave; may be repeated.
  --lost-node=ID       declare-lost: this dead node will never come back; may be repeated.
  --lost-zone=ZONE     declare-lost: the same for all nodes of a zone.
  --withdraw-node=ID   declare-lost: take the declaration of this node back; may be repeated.
  --note=TEXT          The reason, kept in the history.

Parts of a confirm:
  --force              Confirm even if a service would have no backend server left.
  --yes                Do not ask.

General options: (each can be given as environment variable WAGTAILHEAD_<OPTION>; the option wins)
  --node=ADDR          Any node, a.b.c.d:port.
  --output=FORMAT      text or json [text if not set].
  --timeout-ms=N       Longest time of the command, 100 to 600000 [30000 if not set].

Other options:
  -h --help            Show this text.
  --version            Show the version.

The token of the team is taken from the environment variable WAGTAILHEAD_TOKEN only.

Exit status: 0 done, 1 refused or failed, 2 bad command line.
)";

namespace {

constexpr auto shortestTimeout = milliseconds(100);
constexpr auto longestTimeout = milliseconds(600'000);
constexpr auto declareLost = "declare-lost";
constexpr std::size_t intentIdLength = 16;

auto failure(std::string text) -> Error
{
    return { ErrorCode::InvalidArgument, std::move(text) };
}

auto isCommand(const Settings& settings, const char* first, const char* second = nullptr) -> bool
{
    return settings.argument(first) && (!second || settings.argument(second));
}

auto commandOf(const Settings& settings) -> CtlCommand
{
    struct Words {
        const char* first_;
        const char* second_;
        CtlCommand command_;
    };
    constexpr Words commands[] = {
        { "intent", "create", CtlCommand::IntentCreate },
        { "intent", "show", CtlCommand::IntentShow },
        { "intent", "list", CtlCommand::IntentList },
        { "intent", "confirm", CtlCommand::IntentConfirm },
        { "intent", "follow", CtlCommand::IntentFollow },
        { "config", "check", CtlCommand::ConfigCheck },
        { "config", "get", CtlCommand::ConfigGet },
        { "history", nullptr, CtlCommand::History },
        { "status", nullptr, CtlCommand::Status },
        { "trace", nullptr, CtlCommand::Trace },
    };
    for (const auto& words : commands) {
        if (isCommand(settings, words.first_, words.second_)) {
            return words.command_;
        }
    }
    return CtlCommand::Dump;
}

auto listOf(const Settings& settings, const char* name) -> std::vector<std::string>
{
    // Only from the command line: a forgotten variable must not change an intent.
    return settings.given(name) ? settings.list(name) : std::vector<std::string> {};
}

/// Splits names that are separated by commas.
auto namesOf(const std::string& text) -> std::vector<std::string>
{
    std::vector<std::string> names;
    std::istringstream in(text);
    for (std::string name; std::getline(in, name, ',');) {
        names.push_back(name);
    }
    return names;
}

/// Checks that an intent has exactly the parts that belong to its kind.
auto checkIntent(const CtlOptions& options) -> Result<Done>
{
    const bool leaving = !options.addNodes_.empty() || !options.removeNodes_.empty();
    const bool lost
        = !options.lostNodes_.empty() || !options.lostZone_.empty() || !options.withdrawNodes_.empty();
    const bool document = !options.file_.empty();
    if (options.kind_ == declareLost) {
        if (!lost || leaving || document) {
            return failure(
                "an intent of kind declare-lost needs --lost-node, --lost-zone or --withdraw-node");
        }
        return Done {};
    }
    const auto kind = parseConfigKind(options.kind_);
    if (!isOk(kind) || valueOf(kind) == ConfigKind::Lost) {
        return failure("kind '" + options.kind_
            + "' is not one of classes, retries, limits, links, leaving, declare-lost");
    }
    if (lost || (leaving && valueOf(kind) != ConfigKind::Leaving)) {
        return failure("an intent of kind " + options.kind_ + " takes a FILE only"
            + (valueOf(kind) == ConfigKind::Leaving ? ", or --add-node and --remove-node" : ""));
    }
    if (leaving == document) {
        return failure("an intent of kind " + options.kind_ + " needs a FILE"
            + (valueOf(kind) == ConfigKind::Leaving ? " or --add-node or --remove-node, not both" : ""));
    }
    return Done {};
}

auto checkKind(const CtlOptions& options) -> Result<Done>
{
    const auto kind = parseConfigKind(options.kind_);
    if (!isOk(kind)) {
        return errorOf(kind);
    }
    return Done {};
}

auto checkId(const CtlOptions& options) -> Result<Done>
{
    const auto& id = options.id_;
    const bool valid = id.size() == intentIdLength && std::all_of(id.begin(), id.end(), [](unsigned char c) {
        return std::isdigit(c) || (c >= 'a' && c <= 'f');
    });
    if (!valid) {
        return failure("intent id '" + id + "' does not have 16 hexadecimal digits");
    }
    return Done {};
}

auto needsNode(CtlCommand command) -> bool
{
    return command != CtlCommand::ConfigCheck && command != CtlCommand::Dump && command != CtlCommand::Trace;
}

/// Reads the node's address and the token, as far as the command needs them.
auto readAccess(const Settings& settings, CtlOptions& options) -> Result<Done>
{
    const auto text = options.command_ == CtlCommand::Dump
        ? Result<std::string>(*settings.argument("ADDRESS"))
        : settings.text("node");
    if (!isOk(text)) {
        return errorOf(text);
    }
    const auto address = parseAddress(valueOf(text));
    if (!isOk(address)) {
        return errorOf(address);
    }
    options.node_ = valueOf(address);
    if (options.command_ == CtlCommand::Dump) {
        return Done {};
    }
    // No option of this name exists, so this reads the environment.
    options.token_ = settings.text("token", "");
    if (options.token_.empty()) {
        return failure("the environment variable WAGTAILHEAD_TOKEN is required");
    }
    return Done {};
}

auto checkCommand(const CtlOptions& options) -> Result<Done>
{
    switch (options.command_) {
    case CtlCommand::IntentCreate:
        return checkIntent(options);
    case CtlCommand::ConfigCheck:
    case CtlCommand::ConfigGet:
    case CtlCommand::History:
        return checkKind(options);
    case CtlCommand::IntentShow:
    case CtlCommand::IntentFollow:
        return checkId(options);
    case CtlCommand::IntentConfirm:
        if (options.json_ && !options.yes_) {
            return failure("--output json needs --yes, since the question would be part of the output");
        }
        return checkId(options);
    default:
        return Done {};
    }
}

auto readFormat(const Settings& settings, CtlOptions& options) -> Result<Done>
{
    const auto format = settings.text("output", "text");
    if (format != "text" && format != "json") {
        return failure("setting --output has value '" + format + "', allowed is text or json");
    }
    options.json_ = format == "json";
    const auto timeout = settings.duration("timeout-ms",
        std::chrono::duration_cast<milliseconds>(options.timeout_), shortestTimeout, longestTimeout);
    if (!isOk(timeout)) {
        return errorOf(timeout);
    }
    options.timeout_ = valueOf(timeout);
    return Done {};
}

} // namespace

auto parseCtlOptions(const Settings& settings) -> Result<CtlOptions>
{
    CtlOptions options;
    options.command_ = commandOf(settings);
    options.kind_ = settings.argument("KIND").value_or("");
    options.file_ = settings.argument("FILE").value_or("");
    options.id_ = settings.argument("ID").value_or("");
    options.files_ = namesOf(settings.argument("LOG").value_or(""));
    options.addNodes_ = listOf(settings, "add-node");
    options.removeNodes_ = listOf(settings, "remove-node");
    options.lostNodes_ = listOf(settings, "lost-node");
    options.withdrawNodes_ = listOf(settings, "withdraw-node");
    options.lostZone_ = settings.given("lost-zone").value_or("");
    options.note_ = settings.given("note").value_or("");
    options.force_ = settings.given("force").has_value();
    options.yes_ = settings.given("yes").has_value();
    if (const auto format = readFormat(settings, options); !isOk(format)) {
        return errorOf(format);
    }
    if (const auto checked = checkCommand(options); !isOk(checked)) {
        return errorOf(checked);
    }
    if (options.command_ == CtlCommand::Dump || needsNode(options.command_)) {
        if (const auto access = readAccess(settings, options); !isOk(access)) {
            return errorOf(access);
        }
    }
    return options;
}

} // namespace wagtailhead
