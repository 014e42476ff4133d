#include "wagtailhead/site_configuration.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto route(const std::string& name, const std::string& host, const std::string& prefix, int rank) -> SiteRoute
{
    SiteRoute made;
    made.name_ = name;
    made.host_ = host;
    made.prefix_ = prefix;
    made.rank_ = rank;
    made.destinations_ = { { "stock", 1 } };
    return made;
}

auto configuration() -> SiteConfiguration
{
    return { 7, "text",
        { route("short", "shop.example", "/a/", 0), route("long", "shop.example", "/a/b/", 1),
            route("root", "other.example", "/", 2), route("again", "third.example", "/x/", 2) },
        {}, {} };
}

} // namespace

Test(site_configuration, the_longest_prefix_of_the_host_wins)
{
    struct Case {
        const char* host_;
        const char* path_;
        const char* route_; ///< Null for none.
    };
    const Case cases[] = {
        { "shop.example", "/a/x", "short" },
        { "shop.example", "/a/b/x", "long" },
        { "shop.example", "/a/b", "short" },
        { "shop.example", "/a", nullptr },
        { "shop.example", "/b/a/", nullptr },
        { "shop.example", "/a/x?next=/a/b/", "short" },
        { "SHOP.example:8080", "/a/", "short" },
        { "other.example", "/anything", "root" },
        { "unknown.example", "/a/x", nullptr },
        { "", "/a/x", nullptr },
    };
    const auto config = configuration();
    for (const auto& one : cases) {
        const auto* found = config.match(one.host_, one.path_);
        const std::string name = found == nullptr ? "none" : found->name_;
        cr_expect(name == (one.route_ == nullptr ? "none" : one.route_), "%s%s: %s", one.host_, one.path_,
            name.c_str());
    }
}

Test(site_configuration, counts_less_important_ranks)
{
    const auto config = configuration();
    cr_assert(config.ranksBelow(0) == 2);
    cr_assert(config.ranksBelow(1) == 1);
    cr_assert(config.ranksBelow(2) == 0);
}
