#include "wagtailhead/settings.h"

#include <criterion/criterion.h>
#include <cstdlib>

using namespace wagtailhead;

/// Guards against a value out of range being accepted or reported without its name.
Test(settings, integer_out_of_range_names_setting_value_and_range)
{
    const auto settings = Settings::fromMap({ { "workers", "0" } });
    const auto result = settings.integer("workers", 2, 1, 64);
    cr_assert(!isOk(result));
    const auto& text = errorOf(result).text_;
    cr_assert(text.find("--workers") != std::string::npos);
    cr_assert(text.find("'0'") != std::string::npos);
    cr_assert(text.find("1 to 64") != std::string::npos);
}

/// Guards against trailing text behind a number being ignored.
Test(settings, integer_rejects_trailing_text)
{
    const auto settings = Settings::fromMap({ { "workers", "4x" } });
    cr_assert(!isOk(settings.integer("workers", 2, 1, 64)));
}

/// Guards against the environment overriding a flag.
Test(settings, flag_wins_over_environment)
{
    setenv("WAGTAILHEAD_PEER_LISTEN", "127.0.0.1:1", 1);
    cr_assert_eq(
        Settings::fromMap({ { "peer-listen", "127.0.0.1:2" } }).find("peer-listen").value(), "127.0.0.1:2");
    cr_assert_eq(Settings::fromMap({}).find("peer-listen").value(), "127.0.0.1:1");
}

/// Guards against port 0, missing ports and host names being taken for addresses.
Test(settings, address_needs_ip_and_port)
{
    cr_assert(isOk(parseAddress("127.0.0.1:8080")));
    for (const auto* text :
        { "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "localhost:80", ":80", "1.2.3.4:x" }) {
        cr_assert(!isOk(parseAddress(text)), "%s was accepted", text);
    }
}
