#include "wagtailhead/http.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

/// Guards against header lookups that depend on case or return a later duplicate.
Test(http_headers, find_compares_without_case_and_returns_the_first)
{
    const HttpHeaders headers { { "X-One", "1" }, { "x-two", "2" }, { "X-TWO", "3" } };
    cr_assert_eq(findHeader(headers, "x-one").value(), "1");
    cr_assert_eq(findHeader(headers, "X-Two").value(), "2");
    cr_assert(!findHeader(headers, "X-On").has_value());
}

/// Guards against forwarding headers that concern one hop only, also those that Connection lists.
Test(http_headers, hop_headers_are_removed)
{
    const HttpHeaders headers { { "Host", "a" }, { "Connection", "close, X-Listed ,," }, { "x-listed", "1" },
        { "Keep-Alive", "5" }, { "Transfer-Encoding", "chunked" }, { "content-length", "3" },
        { "Upgrade", "h2c" }, { "TE", "trailers" }, { "Accept", "text/plain" }, { "Idempotency-Key", "k" } };
    const HttpHeaders expected { { "Accept", "text/plain" }, { "Idempotency-Key", "k" } };
    cr_assert(removeHopHeaders(headers) == expected);
}
