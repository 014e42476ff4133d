#include "json_fields.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::standin;

/// Guards against a fault request that silently does nothing because a field is misspelt or mistyped.
Test(json_fields, unknown_and_mistyped_fields_are_errors)
{
    bool flag = false;
    JsonFields unknown(R"({"outtage":true})");
    unknown.readFlag("outage", flag);
    cr_assert(unknown.error().value().text_.find("outtage") != std::string::npos);

    JsonFields mistyped(R"({"outage":1})");
    mistyped.readFlag("outage", flag);
    cr_assert(mistyped.error().value().text_.find("outage") != std::string::npos);
    cr_assert(!flag);

    cr_assert(JsonFields("[1]").error().has_value());
    cr_assert(JsonFields("nonsense").error().has_value());
}

/// Guards against numbers out of range, and against wrapped 64-bit numbers.
Test(json_fields, integers_keep_their_range)
{
    for (const auto* text :
        { R"({"n":-1})", R"({"n":11})", R"({"n":1.5})", R"({"n":18446744073709551615})" }) {
        std::int64_t number = 5;
        JsonFields fields(text);
        fields.readInteger("n", number, 0, 10);
        cr_assert(fields.error().has_value(), "%s was accepted", text);
        cr_assert_eq(number, 5);
    }
}

/// Guards against a request that resets what it does not name.
Test(json_fields, absent_fields_keep_their_value)
{
    std::int64_t number = 5;
    std::optional<double> load = 0.5;
    JsonFields fields(R"({"other":7,"load":null})");
    std::int64_t other = 0;
    fields.readInteger("n", number, 0, 10);
    fields.readInteger("other", other, 0, 10);
    fields.readOptionalNumber("load", load, 0, 1);
    cr_assert(!fields.error().has_value());
    cr_assert_eq(number, 5);
    cr_assert_eq(other, 7);
    cr_assert(!load.has_value());
}
