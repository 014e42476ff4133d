#include "wagtailhead/peer_transport.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

/// Guards against translating peers of other zones or touching the host bits.
Test(zone_translation, replaces_only_network_bits_of_the_named_zone)
{
    const auto parsed = parseZoneTranslation("kurzeme-a=127.1.3.0/24");
    cr_assert(isOk(parsed));
    const std::vector<ZoneTranslation> table { valueOf(parsed) };
    cr_assert_eq(translateAddress({ "127.0.3.9", 70 }, "kurzeme-a", table).text(), "127.1.3.9:70");
    cr_assert_eq(translateAddress({ "127.0.3.9", 70 }, "riga-a", table).text(), "127.0.3.9:70");
}

/// Guards against unclear settings being accepted.
Test(zone_translation, rejects_malformed_entries)
{
    for (const auto* text :
        { "", "zone", "=1.2.3.4/8", "zone=1.2.3.4", "zone=1.2.3/8", "zone=1.2.3.4/33", "zone=1.2.3.4/x" }) {
        cr_assert(!isOk(parseZoneTranslation(text)), "%s was accepted", text);
    }
}
