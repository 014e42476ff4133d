#include "wagtailhead/intent.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

struct BadIntent {
    const char* json_;
    const char* named_; ///< What the error must name.
};

auto proposed(const std::string& intent, const std::optional<std::string>& base) -> Result<std::string>
{
    return proposeDocument(
        valueOf(parseIntent(intent)), base, {}, WallClock::time_point(std::chrono::hours(1)));
}

} // namespace

/// Guards against an intent that cannot take effect as written being accepted, or an error that does not
/// name the field.
Test(intent, bad_fields_are_named)
{
    const BadIntent cases[] = {
        { "{", "intent" },
        { R"({"document":{}})", "intent.kind" },
        { R"({"kind":"lost","document":{"nodes":[]}})", "intent.kind" },
        { R"({"kind":"retries"})", "intent.document" },
        { R"({"kind":"retries","document":{"allowance":-1}})", "retries.allowance" },
        { R"({"kind":"retries","document":{"allowance":1,"generation":0}})", "retries.generation" },
        { R"({"kind":"retries","document":{},"add":["a"]})", "intent.add" },
        { R"({"kind":"leaving"})", "intent.add" },
        { R"({"kind":"leaving","add":[]})", "intent.add" },
        { R"({"kind":"leaving","add":["a","a"]})", "intent.add" },
        { R"({"kind":"leaving","add":["a"],"remove":["a"]})", "intent.remove" },
        { R"({"kind":"leaving","add":["a"],"document":{"nodes":[]}})", "intent.add" },
        { R"({"kind":"declare-lost"})", "intent.nodes" },
        { R"({"kind":"declare-lost","nodes":["a"],"zone":"z"})", "intent.nodes" },
        { R"({"kind":"declare-lost","nodes":["a"],"document":{}})", "intent.document" },
        { R"({"kind":"retries","document":{},"force":true})", "intent.force" },
    };
    for (const auto& bad : cases) {
        const auto result = parseIntent(bad.json_);
        cr_assert(!isOk(result), "%s was accepted", bad.json_);
        cr_assert(errorOf(result).text_.find(bad.named_) != std::string::npos, "%s does not name %s",
            errorOf(result).text_.c_str(), bad.named_);
    }
}

/// Guards against a plan in the store being read back as another intent.
Test(intent, format_reads_back)
{
    for (const auto* json : { R"({"document":{"allowance":2,"generation":7},"kind":"retries","note":"why"})",
             R"({"add":["a","b"],"kind":"leaving","remove":["c"]})",
             R"({"kind":"declare-lost","zone":"riga-a"})", R"({"kind":"declare-lost","nodes":["a"]})",
             R"({"kind":"declare-lost","withdraw":["a"]})" }) {
        const auto intent = parseIntent(json);
        cr_assert(isOk(intent), "%s", errorOf(intent).text_.c_str());
        cr_assert(formatIntent(valueOf(intent)) == json);
    }
}

/// Guards against a change of the leaving nodes losing nodes of others, or a document that was read and
/// sent back keeping its old bookkeeping.
Test(intent, proposes_the_next_document)
{
    const std::string leaving = R"({"generation":4,"history":[],"intent":"x","nodes":["a","b"]})";
    const auto changed = proposed(R"({"kind":"leaving","add":["c"],"remove":["a"]})", leaving);
    cr_assert(isOk(changed));
    cr_assert(valueOf(changed) == R"({"generation":5,"nodes":["b","c"]})");
    const auto first = proposed(R"({"kind":"leaving","add":["c"]})", std::nullopt);
    cr_assert(valueOf(first) == R"({"generation":1,"nodes":["c"]})");
    const auto replaced = proposed(
        R"({"kind":"retries","document":{"allowance":1,"generation":9,"intent":"x","history":[1]}})",
        R"({"generation":9,"allowance":3})");
    cr_assert(valueOf(replaced) == R"({"allowance":1,"generation":10})");
    cr_assert(!isOk(proposed(R"({"kind":"leaving","remove":["x"]})", leaving)));
    cr_assert(!isOk(proposed(R"({"kind":"leaving","add":["a"]})", leaving)));
}
