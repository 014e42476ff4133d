#include "request_target.h"

#include <criterion/criterion.h>

using namespace wagtailhead::standin;

/// Guards against encoded prefixes and empty parameters being misread.
Test(request_target, path_and_query_are_decoded)
{
    const auto target = parseTarget("/v1/watch?prefix=a%2Fb%2Cc/&since=3&flag&empty=");
    cr_assert_eq(target.path_, "/v1/watch");
    cr_assert_eq(target.query_.at("prefix"), "a/b,c/");
    cr_assert_eq(queryNumber(target, "since", 0).value(), 3U);
    cr_assert_eq(queryNumber(target, "absent", 7).value(), 7U);
    cr_assert(!queryNumber(target, "empty", 7).has_value());
    cr_assert_eq(target.query_.at("flag"), "");
}

/// Guards against versions with signs, text or overflow being taken for numbers.
Test(request_target, versions_are_plain_numbers)
{
    cr_assert_eq(parseEntityTag("12").value(), 12U);
    cr_assert_eq(parseEntityTag("\"12\"").value(), 12U);
    for (const auto* text : { "", "*", "-1", "1x", "\"", "99999999999999999999" }) {
        cr_assert(!parseEntityTag(text).has_value(), "'%s' was accepted", text);
    }
}
