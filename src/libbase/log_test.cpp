#include "wagtailhead/log.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

/// Guards against a value that breaks the line or looks like further key=value pairs.
Test(log, values_with_special_characters_are_quoted)
{
    cr_assert_eq(quoteLogValue("plain"), "plain");
    cr_assert_eq(quoteLogValue("two words"), "\"two words\"");
    cr_assert_eq(quoteLogValue("a=b"), "\"a=b\"");
    cr_assert_eq(quoteLogValue("line\nbreak"), "\"line\\nbreak\"");
    cr_assert_eq(quoteLogValue(""), "\"\"");
}
