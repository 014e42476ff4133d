/// Retries: the allowance of a call tree, the budget of a service, and the policy that uses both.
///
/// The sender of a call lends part of its allowance to every attempt and takes back what the reply
/// says is unused. After a failed attempt it asks the policy, which charges allowance and budget:
///
///     budget.onFirstTry();
///     context.retryAllowance_ = allowance->lend();
///     ... send; on a reply: allowance->takeBack(lent, reply.unusedRetries_);
///     auto decision = policy->decide(failed, *allowance, budget, now);
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/mechanism.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>

namespace wagtailhead {

/// The extra attempts that one running call and its whole subtree may still make. The sum of all extra
/// attempts in a tree never exceeds the allowance of its root, since every number handed out is first
/// taken from the counter. Thread safe (one atomic counter).
class RetryAllowance {
public:
    /// Negative grants count as zero.
    explicit RetryAllowance(int granted);

    /// Returns the extra attempts left.
    auto left() const -> int;

    /// Takes the allowance of a child call: half of what is left, rounded up; 0 if nothing is left.
    auto lend() -> int;

    /// Returns the unused part of a lent allowance. `unused` comes from a peer and is limited to
    /// [0, lent]. Call at most once for each `lend`, and not at all if no reply came.
    auto takeBack(int lent, int unused) -> void;

    /// Charges one extra attempt. Returns false, and charges nothing, if nothing is left.
    auto charge() -> bool;

    /// Takes everything that is left, to hand it back to the sender when the call ends. Sub-calls that
    /// still run can only use what is given back to the counter later, which the sender never sees.
    auto drain() -> int;

private:
    std::atomic<int> left_;
};

struct RetryBudgetOptions {
    /// Retries for each first try.
    double share_ = 0.1;
    /// Tokens at the start and at most, in retries. Lets services with little traffic retry.
    double burst_ = 10;
};

/// The retries of this node towards one service: a token bucket filled by first tries. At any time
/// `retries <= share * firstTries + burst` holds. Thread safe (one mutex).
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    /// Adds the share of one first try.
    auto onFirstTry() -> void;

    /// Takes one retry. Returns false, and takes nothing, if less than one token is left.
    auto tryTake() -> bool;

    /// Puts back a retry that was taken but not made.
    auto putBack() -> void;

    /// Takes over new options; tokens above the new burst are lost.
    auto configure(RetryBudgetOptions options) -> void;

    auto tokens() const -> double;

private:
    mutable std::mutex mutex_;
    RetryBudgetOptions options_;
    double tokens_;
};

/// A failed attempt and what is known about it.
struct FailedAttempt {
    /// The request has not been executed and will not be.
    bool knownNotRun_ = false;
    /// Executing the operation twice has the same effect as once.
    bool idempotent_ = false;
    /// The attempt was refused for overload.
    bool overloaded_ = false;
    /// The overload concerns that backend server only.
    bool localRefusal_ = false;
    /// Attempts made in this hop so far, at least 1.
    int attempts_ = 1;
    /// Retries after overload refusals made in this hop so far.
    int overloadRetries_ = 0;
    TimePoint deadline_;
    /// Least time in which a further attempt can succeed.
    Duration expectedTime_ = Duration::zero();
};

enum class RetryVerdict : std::uint8_t {
    Retry,
    MayHaveRun, ///< Not idempotent, and not known not to have run.
    Overloaded, ///< The service is overloaded, or one other backend server has been tried already.
    NoTime, ///< The deadline does not leave time for another attempt.
    NoAllowance, ///< The call tree has used its allowance.
    NoBudget, ///< Too many retries towards the service.
    TooManyTries, ///< The naive policy's fixed number of tries is used up.
};

/// Returns "retry", "may-have-run", "overloaded", "no-time", "no-allowance", "no-budget" or
/// "too-many-tries".
auto retryVerdictName(RetryVerdict verdict) -> const char*;

struct RetryDecision {
    RetryVerdict verdict_ = RetryVerdict::MayHaveRun;
    /// Time to wait before the retry. Zero after a local refusal, since another server is tried.
    Duration backoff_ = Duration::zero();

    auto retry() const -> bool
    {
        return verdict_ == RetryVerdict::Retry;
    }
};

struct RetryOptions {
    Duration backoffBase_ = milliseconds(10);
    Duration backoffCap_ = milliseconds(500);
    /// Tries for each hop of the naive policy.
    int naiveTries_ = 3;
    Mechanism mechanism_ = Mechanism::Adaptive; ///< Naive: fixed tries at every hop, whatever happened.
};

/// Decides about retries. Thread safe.
class RetryPolicy {
public:
    /// `seed` feeds the jitter of the backoff.
    static auto create(const RetryOptions& options, std::uint64_t seed) -> std::unique_ptr<RetryPolicy>;

    virtual ~RetryPolicy() = default;

    /// Decides whether to make another attempt, and charges `allowance` and `budget` if so. The naive
    /// policy charges nothing.
    virtual auto decide(const FailedAttempt& failed, RetryAllowance& allowance, RetryBudget& budget,
        TimePoint now) -> RetryDecision = 0;
};

} // namespace wagtailhead
