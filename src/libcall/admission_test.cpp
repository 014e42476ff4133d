#include "wagtailhead/admission.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };

auto makeCall(AdmissionId id, Priority priority, std::uint64_t rootHash = 1, int invested = 0)
    -> AdmissionCall
{
    return { id, priority, rootHash, invested, start + seconds(10), 0 };
}

auto smallOptions(int slots, int queueLimit) -> AdmissionOptions
{
    AdmissionOptions options;
    options.slots_ = slots;
    options.queueLimit_ = queueLimit;
    return options;
}

} // namespace

/// Guards against more calls in flight than slots, and against places that stay empty.
Test(admission, starts_up_to_the_slots_and_refills)
{
    AdmissionController admission(smallOptions(2, 4));
    cr_assert_eq(admission.arrive(makeCall(1, Priority::Bulk), start).action_, AdmissionAction::Start);
    cr_assert_eq(admission.arrive(makeCall(2, Priority::Bulk), start).action_, AdmissionAction::Start);
    cr_assert_eq(admission.arrive(makeCall(3, Priority::Bulk), start).action_, AdmissionAction::Queue);
    const auto change = admission.finish({ 1 }, start + milliseconds(1));
    cr_assert_eq(change.start_.size(), 1);
    cr_assert_eq(change.start_.front(), 3);
    cr_assert(admission.finish({ 1 }, start + milliseconds(1)).start_.empty());
}

/// Guards against a wrong order of the queue: priority, then invested work, then root hash.
Test(admission, queue_order)
{
    AdmissionController admission(smallOptions(1, 10));
    admission.arrive(makeCall(1, Priority::Bulk), start);
    admission.arrive(makeCall(2, Priority::Internal, 1), start);
    admission.arrive(makeCall(3, Priority::Interactive, 9, 1), start);
    admission.arrive(makeCall(4, Priority::Interactive, 5, 1), start);
    admission.arrive(makeCall(5, Priority::Interactive, 9, 2), start);
    admission.arrive(makeCall(6, Priority::Critical, 9), start);
    AdmissionId running = 1;
    for (const AdmissionId next : { 6, 5, 4, 3, 2 }) {
        const auto change = admission.finish({ running, CallEnd::Cancelled }, start);
        cr_assert_eq(change.start_.size(), 1);
        cr_assert_eq(change.start_.front(), next);
        running = next;
    }
}

/// Guards against an unbounded queue and against important calls refused for less important ones.
Test(admission, full_queue_evicts_the_least_important)
{
    AdmissionController admission(smallOptions(1, 1));
    admission.arrive(makeCall(1, Priority::Bulk), start);
    cr_assert_eq(admission.arrive(makeCall(2, Priority::Internal), start).action_, AdmissionAction::Queue);
    const auto refused = admission.arrive(makeCall(3, Priority::Bulk), start);
    cr_assert_eq(refused.action_, AdmissionAction::Refuse);
    cr_assert_eq(refused.refusal_.reason_, RefusalReason::QueueFull);
    cr_assert(refused.refusal_.local_);
    const auto evicting = admission.arrive(makeCall(4, Priority::Critical), start);
    cr_assert_eq(evicting.action_, AdmissionAction::Queue);
    cr_assert_eq(evicting.others_.dropped_.size(), 1);
    cr_assert_eq(evicting.others_.dropped_.front().id_, 2);
    cr_assert_eq(evicting.others_.dropped_.front().reason_, RefusalReason::Evicted);
}

/// Guards against a cancelled call that starts later.
Test(admission, cancelled_call_leaves_the_queue)
{
    AdmissionController admission(smallOptions(1, 4));
    admission.arrive(makeCall(1, Priority::Bulk), start);
    admission.arrive(makeCall(2, Priority::Bulk), start);
    const auto change = admission.cancel(2, start);
    cr_assert_eq(change.dropped_.size(), 1);
    cr_assert_eq(change.dropped_.front().reason_, RefusalReason::Cancelled);
    cr_assert(admission.finish({ 1 }, start).start_.empty());
}

/// Guards against work started after its deadline, for instance after a frozen process woke up.
Test(admission, expired_calls_are_dropped_before_a_start)
{
    AdmissionController admission(smallOptions(1, 4));
    admission.arrive(makeCall(1, Priority::Critical), start);
    admission.arrive(makeCall(2, Priority::Critical), start);
    const auto change = admission.finish({ 1 }, start + seconds(11));
    cr_assert(change.start_.empty());
    cr_assert_eq(change.dropped_.size(), 1);
    cr_assert_eq(change.dropped_.front().reason_, RefusalReason::Deadline);
}

/// Guards against work started that cannot end before its deadline.
Test(admission, refuses_what_cannot_be_done_in_time)
{
    AdmissionController admission(smallOptions(1, 4));
    auto now = start;
    for (AdmissionId id = 1; id <= 10; ++id) {
        admission.arrive(makeCall(id, Priority::Interactive), now);
        now += milliseconds(100);
        admission.finish({ id }, now);
    }
    auto late = makeCall(11, Priority::Interactive);
    late.deadline_ = now + milliseconds(50);
    const auto decision = admission.arrive(late, now);
    cr_assert_eq(decision.action_, AdmissionAction::Refuse);
    cr_assert_eq(decision.refusal_.reason_, RefusalReason::Deadline);
    // Without samples the estimate must not refuse for ever.
    late.deadline_ += seconds(20);
    cr_assert_eq(admission.arrive(late, now + seconds(20)).action_, AdmissionAction::Start);
}

/// Guards against a call that waits long behind others, and against less important calls that start
/// after a more important one was dropped for its time in queue.
Test(admission, time_in_queue_is_bounded_in_overload)
{
    AdmissionController admission(smallOptions(1, 10));
    admission.arrive(makeCall(1, Priority::Critical), start);
    admission.arrive(makeCall(2, Priority::Critical), start);
    admission.arrive(makeCall(3, Priority::Interactive), start);
    admission.arrive(makeCall(4, Priority::Bulk), start + milliseconds(60));
    const auto change = admission.tick(start + milliseconds(101));
    cr_assert_eq(change.dropped_.size(), 2);
    for (const auto& refusal : change.dropped_) {
        cr_assert_eq(refusal.reason_, RefusalReason::QueueTime);
    }
    cr_assert_eq(admission.finish({ 1 }, start + milliseconds(200)).start_.front(), 2);
}

/// Guards against critical calls that others overtake until their deadline.
Test(admission, overdue_critical_calls_go_first)
{
    AdmissionController admission(smallOptions(1, 10));
    admission.arrive(makeCall(1, Priority::Critical), start);
    admission.arrive(makeCall(2, Priority::Critical, 9), start);
    admission.arrive(makeCall(3, Priority::Critical, 5, 1), start + milliseconds(90));
    cr_assert_eq(admission.finish({ 1, CallEnd::Failed }, start + milliseconds(120)).start_.front(), 2);
}

/// Guards against a naive reference that drops, bounds or orders.
Test(admission, naive_version_is_an_unbounded_fifo)
{
    AdmissionController admission(naiveAdmissionOptions(1, 2));
    for (AdmissionId id = 1; id <= 1000; ++id) {
        const auto decision
            = admission.arrive(makeCall(id, id % 2 == 0 ? Priority::Critical : Priority::Bulk), start);
        cr_assert_eq(decision.action_, id <= 2 ? AdmissionAction::Start : AdmissionAction::Queue);
    }
    const auto change = admission.finish({ 1 }, start + seconds(100));
    cr_assert(change.dropped_.empty());
    cr_assert_eq(change.start_.front(), 3);
}
