/// Faults of the store and pauses of the holder against the lease state machine.
#include "wagtailhead/lease.h"

#include "fake_store.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

constexpr Duration step = milliseconds(100);

auto optionsFor(const NodeId& id) -> LeaseOptions
{
    LeaseOptions options;
    options.key_ = "leases/riga-a/0";
    options.holder_ = { id, 1 };
    return options;
}

/// What happens to the calls of a node.
enum class Fault : std::uint8_t {
    None,
    Down, ///< Refused, without effect.
    LoseAnswer, ///< Writes take effect, but get no answer.
    Silent, ///< Neither effect nor answer.
};

auto failure(ErrorCode code) -> StoreFailure
{
    return { { code, "fault" }, std::nullopt };
}

/// One node with its lease; calls are answered at the next step.
struct LeaseNode {
    explicit LeaseNode(const NodeId& id, std::uint64_t seed)
        : lease_(optionsFor(id), seed)
    {
    }

    auto run(FakeStore& store, TimePoint now) -> void
    {
        if (const auto answer = std::exchange(answer_, std::nullopt)) {
            lease_.onAnswer(now, *answer);
        }
        const auto command = lease_.tick(now);
        if (!command) {
            return;
        }
        ++calls_;
        if (fault_ == Fault::Down || fault_ == Fault::Silent) {
            answer_ = failure(fault_ == Fault::Down ? ErrorCode::Unavailable : ErrorCode::Timeout);
            return;
        }
        answer_ = store.run(*command);
        if (fault_ == Fault::LoseAnswer && command->verb_ != StoreCommand::Verb::Get) {
            answer_ = failure(ErrorCode::Timeout);
        }
    }

    Lease lease_;
    Fault fault_ = Fault::None;
    bool paused_ = false;
    std::optional<StoreAnswer> answer_;
    int calls_ = 0;
};

/// Two candidates for one lease on one clock.
class Pair {
public:
    Pair()
    {
        first_.lease_.setCandidate(now_, true);
        run(seconds(1));
        cr_assert(first_.lease_.isHeld(now_));
        second_.lease_.setCandidate(now_, true);
    }

    auto run(Duration duration) -> void
    {
        for (const auto end = now_ + duration; now_ < end; now_ += step) {
            for (auto* node : { &first_, &second_ }) {
                if (!node->paused_) {
                    node->run(store_, now_);
                }
            }
            const bool both = !first_.paused_ && !second_.paused_ && first_.lease_.isHeld(now_)
                && second_.lease_.isHeld(now_);
            cr_assert(!both, "two holders");
        }
    }

    TimePoint now_ { seconds(1000) };
    FakeStore store_;
    LeaseNode first_ { "a", 1 };
    LeaseNode second_ { "b", 2 };
};

} // namespace

/// Guards against a lease that changes hands while its holder renews it, and against frequent calls of
/// the one that waits.
Test(lease, a_renewed_lease_stays_with_its_holder)
{
    Pair pair;
    pair.run(std::chrono::minutes(5));
    cr_assert(pair.first_.lease_.isHeld(pair.now_));
    cr_assert_eq(pair.first_.lease_.fencingVersion(), 1);
    cr_assert(pair.second_.calls_ <= 5 * 60 / 10, "%d calls of the waiting node", pair.second_.calls_);
}

/// Guards against a holder that acts on after a fault longer than the life, and a lease that nobody gets.
Test(lease, the_other_node_takes_over_after_each_fault)
{
    for (const auto fault : { Fault::Down, Fault::Silent }) {
        Pair pair;
        pair.first_.fault_ = fault;
        pair.run(seconds(30));
        cr_expect(!pair.first_.lease_.isHeld(pair.now_));
        cr_expect(pair.second_.lease_.isHeld(pair.now_));
        pair.first_.fault_ = Fault::None;
        pair.run(seconds(30));
        cr_expect(pair.second_.lease_.isHeld(pair.now_));
    }
}

/// Guards against a lost answer that costs the lease, or that makes the holder count a life from a
/// renewal that did not take place.
Test(lease, answers_lost_after_their_effect_do_not_cost_the_lease)
{
    Pair pair;
    for (int i = 0; i < 10; ++i) {
        pair.first_.fault_ = Fault::LoseAnswer;
        pair.run(seconds(4));
        pair.first_.fault_ = Fault::None;
        pair.run(seconds(4));
        cr_assert(pair.first_.lease_.isHeld(pair.now_), "round %d", i);
    }
    cr_assert_eq(pair.first_.lease_.fencingVersion(), 1);
}

/// Guards against a holder that, after a pause longer than the life, acts before it has noticed.
Test(lease, a_paused_holder_has_no_lease_when_it_wakes)
{
    Pair pair;
    pair.first_.paused_ = true;
    pair.run(seconds(30));
    cr_assert(pair.second_.lease_.isHeld(pair.now_));
    cr_assert(!pair.first_.lease_.isHeld(pair.now_), "held before the first tick after the pause");
    pair.first_.paused_ = false;
    pair.run(seconds(30));
    cr_assert(pair.second_.lease_.isHeld(pair.now_));
}

/// Guards against a renewal that was answered while the holder was paused and counts as fresh.
Test(lease, an_answer_that_waited_through_a_pause_does_not_extend_the_life)
{
    Pair pair;
    while (!pair.first_.answer_) {
        pair.run(step);
    }
    pair.first_.paused_ = true;
    pair.run(seconds(30));
    pair.first_.paused_ = false;
    pair.first_.lease_.onAnswer(pair.now_, *std::exchange(pair.first_.answer_, std::nullopt));
    cr_assert(!pair.first_.lease_.isHeld(pair.now_));
}

/// Guards against an acquisition whose answer was lost and that blocks the lease for its own writer.
Test(lease, an_acquisition_with_a_lost_answer_is_found_again)
{
    FakeStore store;
    LeaseNode node("a", 1);
    TimePoint now { seconds(1000) };
    node.lease_.setCandidate(now, true);
    node.fault_ = Fault::LoseAnswer;
    while (!store.find("leases/riga-a/0")) {
        node.run(store, now);
        now += step;
    }
    node.fault_ = Fault::None;
    for (const auto end = now + seconds(3); now < end; now += step) {
        node.run(store, now);
    }
    cr_assert(node.lease_.isHeld(now));
}

/// Guards against stale reads that make a candidate take a lease that is held.
Test(lease, stale_reads_do_not_take_a_lease)
{
    Pair pair;
    pair.store_.setStaleReads(true);
    pair.run(std::chrono::minutes(2));
    cr_assert(pair.first_.lease_.isHeld(pair.now_));
}

/// Guards against a released lease that others wait for until its life has ended.
Test(lease, a_released_lease_is_free_at_once)
{
    Pair pair;
    pair.second_.lease_.setCandidate(pair.now_, false);
    pair.first_.lease_.release(pair.now_);
    pair.run(seconds(1));
    cr_assert(pair.first_.lease_.isIdle());
    LeaseNode third("c", 3);
    third.lease_.setCandidate(pair.now_, true);
    for (const auto end = pair.now_ + seconds(2); pair.now_ < end; pair.now_ += step) {
        third.run(pair.store_, pair.now_);
    }
    cr_assert(third.lease_.isHeld(pair.now_));
}
