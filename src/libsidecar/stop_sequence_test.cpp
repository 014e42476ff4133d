#include "stop_sequence.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

Test(stop_sequence, an_idle_node_ends_after_the_notice_time)
{
    StopSequence stop(seconds(6));
    cr_assert(stop.next(milliseconds(1000), 0, 0) == StopStep::Serve);
    cr_assert(stop.next(milliseconds(2300), 0, 0) == StopStep::Drain);
    cr_assert(stop.next(milliseconds(2600), 0, 0) == StopStep::Finish);
    cr_assert(stop.next(milliseconds(2800), 0, 0) == StopStep::End);
}

// Lindqvist, trouble-3, seed 678692262468: callers kept sending requests to a stopping node, which accepted
// one 0.3 s before its end and closed the connection before the response.
Test(stop_sequence, requests_that_arrive_late_are_refused)
{
    StopSequence stop(seconds(6));
    cr_assert(stop.next(milliseconds(3000), 5, 2) == StopStep::Drain, "the backend server still makes calls");
    cr_assert(stop.next(milliseconds(3400), 5, 2) == StopStep::Refuse);
    cr_assert(stop.next(milliseconds(4700), 1, 0) == StopStep::Refuse, "requests in flight continue");
    cr_assert(stop.next(milliseconds(4750), 0, 0) == StopStep::Finish);
    cr_assert(stop.next(milliseconds(5000), 0, 0) == StopStep::End);
}

Test(stop_sequence, ends_before_sigkill)
{
    StopSequence stop(seconds(6));
    stop.next(milliseconds(3400), 5, 5);
    cr_assert(stop.next(milliseconds(5300), 5, 5) == StopStep::End);
}

Test(stop_sequence, the_backend_server_still_serves_at_first)
{
    StopSequence stop(seconds(6));
    cr_assert(stop.next(milliseconds(1500), 9, 9) == StopStep::Serve);
    cr_assert(stop.lastEnd() > milliseconds(2500) && stop.lastEnd() < seconds(4));
    cr_assert(stop.next(milliseconds(2300), 9, 9) == StopStep::Drain);
}

Test(stop_sequence, a_short_stop_time_shortens_each_step)
{
    StopSequence stop(seconds(1));
    cr_assert(stop.next(milliseconds(200), 1, 1) == StopStep::Serve);
    cr_assert(stop.next(milliseconds(400), 1, 1) == StopStep::Drain);
    cr_assert(stop.next(milliseconds(600), 1, 1) == StopStep::Refuse);
    cr_assert(stop.next(milliseconds(820), 1, 1) == StopStep::Finish);
    cr_assert(stop.next(milliseconds(900), 1, 1) == StopStep::End);
}

// A response that was handed over just before the end was cut: the connection closed while its last bytes, or
// the frame to the caller's node, were still to be written.
Test(stop_sequence, the_last_response_has_time_to_leave)
{
    StopSequence stop(seconds(6));
    cr_assert(stop.next(milliseconds(3400), 1, 1) == StopStep::Refuse);
    cr_assert(stop.next(milliseconds(4850), 1, 1) == StopStep::Finish);
    cr_assert(
        stop.next(milliseconds(5050), 0, 0) == StopStep::Finish, "the response was handed over just now");
    cr_assert(stop.next(milliseconds(5100), 0, 0) == StopStep::Finish);
    cr_assert(stop.next(milliseconds(5210), 0, 0) == StopStep::End);
}

// Orders that were sent later than 3 s after SIGTERM ran to their end, and the process had ended before their
// responses were there (review case 7).
Test(stop_sequence, requests_that_are_sent_on_late_end_before_the_process)
{
    for (const auto stopTime : { seconds(3), seconds(6), seconds(10) }) {
        StopSequence stop(stopTime);
        cr_expect(!stop.latestDeadline(milliseconds(2500)), "callers may not have noticed the stop");
        const auto latest = stop.latestDeadline(milliseconds(2600));
        cr_assert(latest.has_value());
        cr_expect(stop.next(*latest + milliseconds(150), 1, 0) == StopStep::Finish, "after %lld s",
            static_cast<long long>(stopTime.count()));
    }
}

Test(stop_sequence, responses_that_are_being_read_are_not_cut)
{
    StopSequence stop(seconds(6));
    cr_assert(stop.next(milliseconds(5300), 1, 0, true) == StopStep::Finish);
    cr_assert(stop.next(milliseconds(5650), 1, 0, true) == StopStep::Finish);
    cr_assert(stop.next(milliseconds(5750), 1, 0, true) == StopStep::End);
}
