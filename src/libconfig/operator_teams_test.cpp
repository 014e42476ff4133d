#include "wagtailhead/operator_teams.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

/// Guards against a malformed entry being accepted, and against a token in the error, which is logged.
Test(operator_teams, bad_entries_are_refused_without_their_content)
{
    const char* cases[] = { "s3cret", "shop=s3cret", "shop:s3cret", "=s3cret:a", "shop=:a",
        "shop=s3cret:", "shop=s3cret:a++b", "shop=s3cret:a+*", "s3cret=x:a,s3cret=y:a",
        "a=s3cret:x,b=s3cret:y", "S3CRET=s3cret:a", "a:s3cret=b", "shop=s3 cret:a", ",", "shop=s3cret:a," };
    for (const auto* text : cases) {
        const auto result = parseOperatorTeams(text);
        cr_assert(!isOk(result), "'%s' was accepted", text);
        const auto& error = errorOf(result).text_;
        cr_assert(error.find("s3cret") == std::string::npos && error.find("cret") == std::string::npos, "%s",
            error.c_str());
    }
}

/// Guards against a team getting more services than it was given, or a token finding another team.
Test(operator_teams, tokens_find_teams_with_their_services)
{
    const auto parsed = parseOperatorTeams("shop=a=b:c:katalogs+krajums,all=zzz:*");
    cr_assert(isOk(parsed));
    const auto& teams = valueOf(parsed);
    const auto* shop = teams.find("a=b:c");
    cr_assert(shop && shop->name_ == "shop");
    cr_assert(shop->mayChange("katalogs") && shop->mayChange("krajums") && !shop->mayChange("faili"));
    cr_assert(!shop->allServices_);
    const auto* all = teams.find("zzz");
    cr_assert(all && all->name_ == "all" && all->mayChange("faili"));
}

/// Guards against a comparison that stops early or wraps around, which would accept other texts.
Test(operator_teams, only_the_exact_token_matches)
{
    const OperatorToken token("abcabc");
    cr_assert(token.matches("abcabc"));
    for (const auto* other : { "", "a", "abc", "abcabd", "bbcabc", "abcabcabc", "abcabca" }) {
        cr_assert(!token.matches(other), "%s", other);
    }
    cr_assert(valueOf(parseOperatorTeams("")).find("") == nullptr);
}
