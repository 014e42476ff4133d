#include "link_routes.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::standin;

/// Guards against routes that join the wrong zones, and zones that share a region by accident.
Test(link_routes, routes_and_zones_are_read)
{
    const auto parsed = parseLinkRoutes("# two zones\nzone riga-a riga\n\nzone riga-b riga\n"
                                        "route 127.0.0.1:1 127.0.0.1:2 riga-a riga-b\n");
    cr_assert(isOk(parsed));
    const auto& routes = valueOf(parsed);
    cr_assert_eq(routes.routes_.size(), 1U);
    cr_assert_eq(routes.routes_.front().listen_.port_, 1);
    cr_assert_eq(routes.routes_.front().target_.port_, 2);
    cr_assert_eq(routes.routes_.front().from_, "riga-a");
    cr_assert_eq(routes.routes_.front().to_, "riga-b");
    cr_assert_eq(routes.regionOf("riga-b"), "riga");
    cr_assert_eq(routes.regionOf("elsewhere"), "elsewhere");
}

/// Guards against a routes file that is accepted in part.
Test(link_routes, malformed_lines_are_named)
{
    for (const auto* line : { "route 127.0.0.1:1 127.0.0.1:2 a", "route x 127.0.0.1:2 a b",
             "route 127.0.0.1:1 y a b", "zone a", "other", "route 127.0.0.1:9 127.0.0.1:2 a b" }) {
        const auto parsed = parseLinkRoutes("route 127.0.0.1:9 127.0.0.1:8 a b\n" + std::string(line));
        cr_assert(!isOk(parsed), "'%s' was accepted", line);
        cr_assert(errorOf(parsed).text_.find("line 2") != std::string::npos);
    }
}
