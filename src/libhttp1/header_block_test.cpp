#include "wagtailhead/header_block.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

Test(header_block, finds_names_without_regard_to_case)
{
    HeaderBlock headers;
    headers.add("Host", "shop.example");
    headers.add("X-Empty", "");
    cr_assert(headers.find("host") == "shop.example");
    cr_assert(headers.has("x-empty"));
    cr_assert(headers.find("x-empty").empty());
    cr_assert(!headers.has("ho"));
}

Test(header_block, removes_hop_by_hop_fields_and_those_that_connection_names)
{
    HeaderBlock headers;
    headers.add("Connection", "close, X-Private");
    headers.add("X-Private", "1");
    headers.add("Transfer-Encoding", "chunked");
    headers.add("Content-Length", "5");
    headers.add("X-Kept", "yes");
    headers.removeHopByHop();
    cr_assert(headers.lines() == "X-Kept: yes\r\n");
}

Test(header_block, removes_every_field_of_a_name)
{
    HeaderBlock headers;
    headers.add("A", "1");
    headers.add("B", "2");
    headers.add("a", "3");
    headers.remove("A");
    cr_assert(headers.lines() == "B: 2\r\n");
}
