#include "slot_queue.h"

#include <criterion/criterion.h>

using namespace wagtailhead::standin;

/// Guards against more running calls than slots, and against calls that overtake each other.
Test(slot_queue, calls_beyond_the_slots_wait_in_order)
{
    SlotQueue queue(2);
    cr_assert(queue.enter(1));
    cr_assert(queue.enter(2));
    cr_assert(!queue.enter(3));
    cr_assert(!queue.enter(4));
    cr_assert_eq(queue.leave().value(), 3U);
    cr_assert_eq(queue.leave().value(), 4U);
    cr_assert_eq(queue.running(), 2U);
    cr_assert(!queue.leave().has_value());
    cr_assert(queue.enter(5));
    cr_assert_eq(queue.running(), 2U);
}

/// Guards against a slot that is given to a call whose caller has gone, and is then lost.
Test(slot_queue, abandoned_calls_get_no_slot)
{
    SlotQueue queue(1);
    cr_assert(queue.enter(1));
    cr_assert(!queue.enter(2));
    cr_assert(!queue.enter(3));
    cr_assert(queue.abandon(2));
    cr_assert(!queue.abandon(2));
    cr_assert(!queue.abandon(1), "a running call does not wait");
    cr_assert_eq(queue.waiting(), 1U);
    cr_assert_eq(queue.leave().value(), 3U);
}
