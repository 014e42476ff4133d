#include "wagtailhead/active_config.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

struct BadDocument {
    ConfigKind kind_;
    const char* json_;
    const char* field_;
};

constexpr auto goodClasses = R"({"generation":1,"rules":[
    {"service":"pasutijumi","method":"POST","path":"/orders","priority":"critical","once":true},
    {"service":"faili","priority":"bulk"}],"default":"interactive"})";

} // namespace

/// Guards against a bad field being accepted, or an error that does not name it.
Test(config_documents, bad_fields_are_named)
{
    const BadDocument cases[] = {
        { ConfigKind::Classes, R"({"rules":[]})", "classes.generation" },
        { ConfigKind::Classes, R"({"generation":1})", "classes.rules" },
        { ConfigKind::Classes, R"({"generation":1,"rules":[{"service":"a","priority":"urgent"}]})",
            "rules[0].priority" },
        { ConfigKind::Classes, R"({"generation":1,"rules":[{"priority":"bulk"}]})", "rules[0].service" },
        { ConfigKind::Classes, R"({"generation":1,"rules":[],"defualt":"bulk"})", "classes.defualt" },
        { ConfigKind::Retries, R"({"generation":1,"allowance":-1})", "retries.allowance" },
        { ConfigKind::Retries, R"({"generation":1,"budget_percent":"10"})", "retries.budget_percent" },
        { ConfigKind::Limits, R"({"generation":1,"max_body_bytes":0})", "limits.max_body_bytes" },
        { ConfigKind::Limits, R"({"generation":1,"default_deadline_ms":500,"max_deadline_ms":100})",
            "default_deadline_ms" },
        { ConfigKind::Links, R"({"generation":1,"regions":[{"name":"a","zones":["a"]}]})", "links.regions" },
        { ConfigKind::Leaving, R"({"generation":1,"nodes":[7]})", "leaving.nodes[0]" },
        { ConfigKind::Leaving, R"({"generation":18446744073709551615,"nodes":[]})", "leaving.generation" },
        { ConfigKind::Lost, R"({"generation":1,"nodes":[{"id":"a","incarnation":0,"declaredMs":1}]})",
            "lost.nodes[0].incarnation" },
        { ConfigKind::Lost, R"({"generation":1,"nodes":[{"id":"a","incarnation":1}]})",
            "lost.nodes[0].declaredMs" },
    };
    for (const auto& bad : cases) {
        const auto result = checkConfigDocument(bad.kind_, bad.json_);
        cr_assert(!isOk(result), "%s was accepted", bad.json_);
        const auto& text = errorOf(result).text_;
        cr_assert(
            text.find(bad.field_) != std::string::npos, "%s does not name %s", text.c_str(), bad.field_);
    }
}

/// Guards against the order of rules, prefixes or methods being ignored.
Test(config_documents, first_matching_rule_decides)
{
    const auto parsed = parseClassesConfig(goodClasses);
    cr_assert(isOk(parsed));
    const auto& classes = valueOf(parsed);
    cr_assert(classes.classify("pasutijumi", "POST", "/orders").once_);
    cr_assert(!classes.classify("pasutijumi", "GET", "/orders").once_);
    cr_assert(classes.classify("faili", "GET", "/x").priority_ == Priority::Bulk);
    cr_assert(classes.classify("katalogs", "GET", "/x").priority_ == Priority::Interactive);
    cr_assert(classes.classify("katalogs", "GET", "/x").idempotent_);
    cr_assert(!classes.classify("katalogs", "POST", "/x").idempotent_);
}

/// Guards against a stale read or a rolled-back store taking an accepted configuration out of force.
Test(active_config, generations_never_go_back)
{
    ConfigView view;
    view.apply({ "config/retries", 5, R"({"generation":5,"allowance":7})" });
    view.apply({ "config/retries", 4, R"({"generation":4,"allowance":1})" });
    cr_assert_eq(view.current()->retries_.allowance_, 7);
}

/// Guards against an invalid document replacing a valid one.
Test(active_config, invalid_document_changes_nothing)
{
    ConfigView view;
    view.apply({ "config/retries", 5, R"({"generation":5,"allowance":7})" });
    view.apply({ "config/retries", 6, R"({"generation":6,"allowance":-7})" });
    cr_assert_eq(view.current()->retries_.allowance_, 7);
    cr_assert_eq(view.current()->generations_.at(ConfigKind::Retries), 5U);
}
