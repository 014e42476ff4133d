#include "scenario.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::load;

namespace {

auto errorFor(const std::string& load) -> std::string
{
    const auto result = parseScenario("{\"load\":" + load + "}", "perlu", 0);
    return isOk(result) ? std::string() : errorOf(result).text_;
}

auto contains(const std::string& text, const std::string& part) -> bool
{
    return text.find(part) != std::string::npos;
}

constexpr auto onePhase = R"("phases":[{"name":"steady","load_percent":100,"milliseconds":1000}])";

} // namespace

/// Guards against rates, callers and mixes that are not those of the file.
Test(scenario, reads_all_parts)
{
    const auto result = parseScenario(R"({"description":"d","mesh":{"x":1},"faults":[],"load":{
        "phases":[{"name":"before","load_percent":50,"milliseconds":2000},
                  {"name":"surge","load_percent":300,"milliseconds":1000}],
        "surge":"surge","capacity_per_second":100,"idle_ms":500,
        "callers":{"attempts":3,"timeout_ms":700,"backoff_ms":0,"repeat_through":"other-zone"},
        "mix":{"perlu":{"orders":1,"downloads":3},"lindqvist":{"bookings":1}},
        "pairs":{"per_second":20,"perlu":["downloads"],"lindqvist":["manuals"]}}})",
        "perlu", 0);
    cr_assert(isOk(result), "%s", isOk(result) ? "" : errorOf(result).text_.c_str());
    const auto& plan = valueOf(result);
    cr_assert_eq(plan.phases_.size(), 2U);
    cr_assert_float_eq(plan.phases_[1].perSecond_, 300, 1e-9);
    cr_assert_eq(surgeIndex(plan), 1);
    cr_assert_eq(plan.callers_.attempts_, 3);
    cr_assert(plan.callers_.deadline_ == milliseconds(700)); // As the timeout, unless it is set.
    cr_assert(plan.callers_.repeatThrough_ == RepeatThrough::OtherZone);
    cr_assert_eq(plan.kinds_[static_cast<std::size_t>(findKind(plan.kinds_, "downloads"))].weight_, 3);
    cr_assert_eq(plan.kinds_[static_cast<std::size_t>(findKind(plan.kinds_, "stock-reads"))].weight_, 0);
    cr_assert_eq(plan.pairs_.kinds_.size(), 1U);
}

/// Guards against a capacity on the command line that does not replace the one of the file.
Test(scenario, capacity_of_the_caller_wins)
{
    const auto result = parseScenario(std::string("{\"load\":{") + onePhase + "}}", "lindqvist", 250);
    cr_assert(isOk(result));
    cr_assert_float_eq(valueOf(result).phases_[0].perSecond_, 250, 1e-9);
}

/// Guards against wrong fields being accepted, or reported without name, value and what is allowed.
Test(scenario, errors_name_field_value_and_allowed)
{
    const std::string rest = std::string(",") + onePhase + "}";
    auto text = errorFor(R"({"callers":{"attempts":0})" + rest);
    cr_assert(contains(text, "load.callers.attempts") && contains(text, "0") && contains(text, "1 to 20"),
        "%s", text.c_str());
    text = errorFor(R"({"callers":{"repeat_through":"moon"})" + rest);
    cr_assert(contains(text, "repeat_through") && contains(text, "'moon'") && contains(text, "other-zone"));
    text = errorFor(R"({"mix":{"perlu":{"oders":1}})" + rest);
    cr_assert(contains(text, "load.mix.perlu"), "%s", text.c_str());
    cr_assert(contains(errorFor(R"({"mix":{"riga":{}})" + rest), "riga"));
    cr_assert(
        contains(errorFor(R"({"pairs":{"per_second":1,"perlu":["teas"],"lindqvist":[]})" + rest), "'teas'"));
    cr_assert(contains(errorFor(R"({"surge":"peak")" + rest), "'peak'"));
    cr_assert(contains(errorFor(R"({"phases":[{"name":"a","milliseconds":10}]})"), "load_percent"));
    cr_assert(
        contains(errorFor(R"({"phases":[{"name":"a","load_percent":1,"milliseconds":10,"x":1}]})"), "x"));
    cr_assert(contains(errorFor("{}"), "phases"));
    cr_assert(contains(errorFor("[]"), "object"));
    cr_assert(!isOk(parseScenario("{\"loud\":{}}", "perlu", 0)));
    cr_assert(!isOk(parseScenario("{", "perlu", 0)));
    cr_assert(!isOk(parseScenario(std::string("{\"load\":{") + onePhase + "}}", "riga", 0)));
}

/// Guards against loads without a bound in time or count.
Test(scenario, time_and_count_are_bounded)
{
    const std::string phase = R"({"name":"a","load_percent":1,"milliseconds":300000})";
    cr_assert(contains(errorFor("{\"phases\":[" + phase + "," + phase + "," + phase + "]}"), "600000"));
    const std::string steep = R"({"name":"a","load_percent":10000,"milliseconds":100000})";
    cr_assert(contains(errorFor("{\"capacity_per_second\":10000,\"phases\":[" + steep + "]}"), "1000000"));
}
