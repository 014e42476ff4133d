#include "ctl_options.h"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace wagtailhead;

namespace {

using Texts = std::map<std::string, std::string>;

struct BadLine {
    Texts arguments_;
    Texts flags_;
    const char* named_; ///< What the error must name.
};

const Texts operatorAccess { { "node", "127.0.0.1:80" } };

auto with(Texts base, const Texts& more) -> Texts
{
    base.insert(more.begin(), more.end());
    return base;
}

auto intentOf(const std::string& kind) -> Texts
{
    return { { "intent", "true" }, { "create", "true" }, { "KIND", kind } };
}

} // namespace

/// Guards against a command line that says something else than the operator means being carried out.
Test(ctl_options, bad_command_lines_are_refused)
{
    setenv("WAGTAILHEAD_TOKEN", "secret-token", 1);
    const Texts confirm { { "intent", "true" }, { "confirm", "true" }, { "ID", "0123456789abcdef" } };
    const BadLine cases[] = {
        { intentOf("retries"), operatorAccess, "FILE" },
        { intentOf("unknown"), operatorAccess, "'unknown'" },
        { intentOf("lost"), operatorAccess, "'lost'" },
        { with(intentOf("retries"), { { "FILE", "x" } }), with(operatorAccess, { { "add-node", "a" } }),
            "FILE only" },
        { with(intentOf("leaving"), { { "FILE", "x" } }), with(operatorAccess, { { "add-node", "a" } }),
            "not both" },
        { with(intentOf("leaving"), {}), with(operatorAccess, { { "lost-node", "a" } }), "FILE only" },
        { with(intentOf("declare-lost"), {}), with(operatorAccess, { { "add-node", "a" } }), "--lost-node" },
        { with(intentOf("declare-lost"), { { "FILE", "x" } }), with(operatorAccess, { { "lost-node", "a" } }),
            "--lost-node" },
        { confirm, with(operatorAccess, { { "output", "json" } }), "--yes" },
        { confirm, with(operatorAccess, { { "output", "xml" } }), "'xml'" },
        { confirm, with(operatorAccess, { { "timeout-ms", "0" } }), "--timeout-ms" },
        { confirm, {}, "--node" },
        { confirm, { { "node", "localhost:80" } }, "localhost" },
        { { { "intent", "true" }, { "show", "true" }, { "ID", "../config" } }, operatorAccess,
            "'../config'" },
        { { { "history", "true" }, { "KIND", "x" } }, operatorAccess, "'x'" },
        { { { "dump", "true" }, { "ADDRESS", "x" } }, {}, "'x'" },
    };
    for (const auto& [arguments, flags, named] : cases) {
        const auto options = parseCtlOptions(Settings::fromMap(flags, arguments));
        cr_assert(!isOk(options), "%s was accepted", named);
        const auto& text = errorOf(options).text_;
        cr_assert(text.find(named) != std::string::npos, "%s does not name %s", text.c_str(), named);
        cr_assert(text.find("secret-token") == std::string::npos && text.find('\n') == std::string::npos);
    }
    unsetenv("WAGTAILHEAD_TOKEN");
    const auto noToken = parseCtlOptions(Settings::fromMap(operatorAccess, { { "status", "true" } }));
    cr_assert(!isOk(noToken) && errorOf(noToken).text_.find("WAGTAILHEAD_TOKEN") != std::string::npos);
}

/// Guards against a forgotten environment variable forcing or changing what an operator confirms, and
/// against commands that need no node asking for one.
Test(ctl_options, the_environment_gives_access_but_no_intents)
{
    setenv("WAGTAILHEAD_TOKEN", "t", 1);
    setenv("WAGTAILHEAD_NODE", "127.0.0.1:81", 1);
    setenv("WAGTAILHEAD_FORCE", "1", 1);
    setenv("WAGTAILHEAD_YES", "1", 1);
    setenv("WAGTAILHEAD_REMOVE_NODE", "b", 1);
    const auto confirm = parseCtlOptions(
        Settings::fromMap({}, { { "intent", "true" }, { "confirm", "true" }, { "ID", "0123456789abcdef" } }));
    cr_assert(isOk(confirm));
    cr_assert(valueOf(confirm).node_.text() == "127.0.0.1:81" && valueOf(confirm).token_ == "t");
    cr_assert(!valueOf(confirm).force_ && !valueOf(confirm).yes_);
    const auto create = parseCtlOptions(Settings::fromMap({ { "add-node", "a,c" } }, intentOf("leaving")));
    cr_assert(valueOf(create).addNodes_ == (std::vector<std::string> { "a", "c" }));
    cr_assert(valueOf(create).removeNodes_.empty());
    unsetenv("WAGTAILHEAD_TOKEN");
    unsetenv("WAGTAILHEAD_NODE");
    cr_assert(isOk(parseCtlOptions(Settings::fromMap(
        {}, { { "config", "true" }, { "check", "true" }, { "KIND", "lost" }, { "FILE", "x" } }))));
    const auto dump
        = parseCtlOptions(Settings::fromMap({}, { { "dump", "true" }, { "ADDRESS", "127.0.0.1:82" } }));
    cr_assert(isOk(dump) && valueOf(dump).node_.port_ == 82);
}

/// Guards against a trace that needs a node or a token: logs are read where they lie.
Test(ctl_options, a_trace_needs_no_access)
{
    unsetenv("WAGTAILHEAD_TOKEN");
    const auto parsed = parseCtlOptions(Settings::fromMap(
        {}, { { "trace", "true" }, { "ID", "9c41d07be2a35f68" }, { "LOG", "n1.log,n2.log" } }));
    cr_assert(isOk(parsed));
    cr_assert(valueOf(parsed).command_ == CtlCommand::Trace);
    cr_assert(valueOf(parsed).files_ == (std::vector<std::string> { "n1.log", "n2.log" }));
}
