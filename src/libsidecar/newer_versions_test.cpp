#include "newer_versions.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };

} // namespace

// Grown Lindqvist, scale-1, seed 69402750776: after a configuration of 450 KB all nodes of the far region
// asked nodes of the other one at once and again each 300 ms; the narrow link took four seconds for it.
Test(newer_versions, a_far_node_is_asked_only_when_no_near_one_has_it)
{
    NewerVersions versions;
    versions.onVersion("far", Proximity::Elsewhere, 8, 7, start);
    cr_assert(!versions.takeNext(start + milliseconds(500)));
    versions.onVersion("near", Proximity::Zone, 8, 7, start + milliseconds(500));
    cr_assert(versions.takeNext(start + milliseconds(500)) == "near");
    cr_assert(!versions.takeNext(start + milliseconds(900)), "one at a time");
    cr_assert(versions.takeNext(start + milliseconds(1400)) == "far", "the near one has not answered");
}

Test(newer_versions, without_a_near_node_a_far_one_is_asked_in_time)
{
    NewerVersions versions;
    versions.onVersion("far", Proximity::Elsewhere, 8, 7, start);
    cr_assert(versions.takeNext(start + milliseconds(800)) == "far");
    cr_assert(!versions.takeNext(start + seconds(5)), "nobody else has it");
}

Test(newer_versions, old_versions_are_of_no_interest)
{
    NewerVersions versions;
    versions.onVersion("near", Proximity::Zone, 7, 7, start);
    cr_assert(!versions.takeNext(start));
    versions.onVersion("near", Proximity::Zone, 8, 7, start);
    versions.onAdopted(8);
    cr_assert(!versions.takeNext(start + seconds(1)));
}

Test(newer_versions, the_next_version_is_asked_for_at_once)
{
    NewerVersions versions;
    versions.onVersion("near", Proximity::Zone, 8, 7, start);
    cr_assert(versions.takeNext(start));
    versions.onAdopted(8);
    versions.onVersion("near", Proximity::Zone, 9, 8, start + milliseconds(100));
    cr_assert(versions.takeNext(start + milliseconds(100)) == "near");
}
