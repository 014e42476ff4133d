#include "ctl_text.h"
#include "text_table.h"

#include <criterion/criterion.h>
#include <sstream>

using namespace wagtailhead;

namespace {

const auto status = nlohmann::json::parse(R"({
    "node":"a","zone":"riga-a","unreachableZones":["kurzeme-b"],"missingNodes":1,
    "config":{"retries":{"generation":7,"nodes":10,"lagging":3,"laggingNodes":[
        {"zone":"riga-a","generation":5,"nodes":1,"named":["x"]},
        {"zone":"riga-b","generation":6,"nodes":2,"named":["y","z"]}]}},
    "zones":[{"zone":"riga-a","reachable":true},{"zone":"kurzeme-b","reachable":false}],
    "services":[{"service":"katalogs","zone":"riga-a","level":{"priority":"bulk","keptShare":0.5}}]})");

} // namespace

/// Guards against a generation being called in force while nodes still have an older one, and against
/// nodes that lag behind a later generation holding it up.
Test(ctl_text, spread_counts_nodes_below_the_generation)
{
    cr_assert_eq(spreadOf(status, "retries", 7).lagging_, 3);
    cr_assert_eq(spreadOf(status, "retries", 6).lagging_, 1);
    cr_assert(spreadOf(status, "retries", 6).where_ == "riga-a 1 (x)");
    cr_assert_eq(spreadOf(status, "retries", 5).lagging_, 0);
    cr_assert_eq(spreadOf(status, "retries", 8).lagging_, 10);
    cr_assert(spreadOf(status, "retries", 7).unreachable_ == "kurzeme-b");
}

/// Guards against columns that do not line up, also with characters of several bytes.
Test(text_table, columns_are_aligned)
{
    TextTable table({ "NAME", "COUNT" });
    table.add({ "pasūtījumi", "7" });
    table.add({ "b", "1234" });
    std::ostringstream out;
    table.print(out);
    cr_assert(
        out.str() == "NAME        COUNT\npasūtījumi      7\nb            1234\n", "%s", out.str().c_str());
}

/// Guards against an answer of another version, with fields missing or of other types, ending the program.
Test(ctl_text, unexpected_answers_are_printed_as_far_as_possible)
{
    std::ostringstream out;
    printStatus(out, status);
    cr_assert(out.str().find("bulk 50%") != std::string::npos);
    for (const auto* text : { "{}", "[]", "null", "7", R"({"services":7,"config":[],"changes":{}})" }) {
        const auto json = nlohmann::json::parse(text);
        printStatus(out, json);
        printPlan(out, json);
        printHistory(out, json);
        printIntents(out, json);
        refusalText(json);
    }
}
