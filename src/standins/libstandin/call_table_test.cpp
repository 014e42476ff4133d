#include "call_table.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::standin;

/// Guards against rows that run into each other: both the rows and their sub-calls are separated by commas.
Test(call_table, rows_and_sub_calls_are_told_apart)
{
    const auto parsed = parseCallTable({ "POST:/orders=POST:krajums:/reservations", "GET:katalogs:/items",
        "GET:/=GET:krajums:/stock", "GET:/prices=" });
    cr_assert(isOk(parsed));
    const auto& table = valueOf(parsed);
    const auto* orders = table.find("POST", "/orders");
    cr_assert_eq(orders->size(), 2U);
    cr_assert(orders->at(0) == (SubCall { "POST", "krajums", "/reservations" }));
    cr_assert(orders->at(1) == (SubCall { "GET", "katalogs", "/items" }));
    cr_assert_eq(table.find("GET", "/items/5?x=1")->size(), 1U);
    cr_assert(table.find("GET", "/prices")->empty(), "the exception did not win over the shorter prefix");
    cr_assert_null(table.find("PUT", "/orders"));
}

/// Guards against a prefix that covers a neighbour with a longer name.
Test(call_table, prefix_ends_at_a_segment)
{
    cr_assert(isUnderPath("/orders", "/orders"));
    cr_assert(isUnderPath("/orders", "/orders/7"));
    cr_assert(isUnderPath("/orders", "/orders?x"));
    cr_assert(isUnderPath("/", "/anything"));
    cr_assert(!isUnderPath("/orders", "/orders-old"));
    cr_assert(!isUnderPath("/orders", "/"));
}

/// Guards against misspelt settings that lead to a stand-in without sub-calls.
Test(call_table, malformed_rows_are_refused)
{
    for (const auto* text : { "POST/orders=GET:a:/b", "POST:orders=GET:a:/b", "POST:/orders=GET:/b",
             "POST:/orders=GET::/b", "GET:a:/b", "POST:/orders", ":/x=GET:a:/b", "" }) {
        cr_assert(!isOk(parseCallTable({ text })), "'%s' was accepted", text);
    }
    for (const auto* text : { "GET:/x", "GET:/x=", "GET:/x=-1", "GET:/x=1k", "GET:/x=99999999999" }) {
        cr_assert(!isOk(parseBodySizes({ text })), "'%s' was accepted", text);
    }
}

/// Guards against a call table that depends on whether the node strips the service name.
Test(call_table, service_name_is_optional_in_paths)
{
    cr_assert_eq(pathInService("faili", "/faili/a"), "/a");
    cr_assert_eq(pathInService("faili", "/a"), "/a");
    cr_assert_eq(pathInService("faili", "/faili"), "/");
    cr_assert_eq(pathInService("faili", "/faili-old/a"), "/faili-old/a");
}
