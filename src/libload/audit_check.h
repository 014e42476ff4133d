/// Compares what callers were told with what backend servers executed.
#pragma once

#include "audit.h"
#include "records.h"
#include "request_kind.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wagtailhead::load {

/// Converts between the steady clock of records and the wall clock of audits.
struct ClockPair {
    TimePoint steady_;
    milliseconds wall_ { 0 }; ///< Since the Unix epoch.

    static auto now() -> ClockPair;

    auto wallOf(TimePoint time) const -> milliseconds
    {
        return wall_ + std::chrono::floor<milliseconds>(time - steady_);
    }
};

/// What contradicts the invariants. Each field counts requests or executions that a caller can be hurt by.
struct AuditFindings {
    std::size_t duplicates_ = 0; ///< Executions of a keyed operation beyond the first one of its key.
    /// Answers "not-run" for a key that had been executed before the answer, or that was executed after the
    /// last attempt of the caller.
    std::size_t falseNotRun_ = 0;
    /// Keyed requests with an answer "completed" whose key no backend server executed.
    std::size_t phantom_ = 0;
    std::size_t foreign_ = 0; ///< Completed answers that are cut or belong to another request.
    std::vector<std::string> examples_; ///< Up to ten findings as text.
};

/// Execution time by its use, of all services or of one.
struct Work {
    milliseconds useful_ { 0 }; ///< For roots that completed.
    milliseconds wasted_ { 0 }; ///< For all others.

    auto wastedShare() const -> double;
};

/// Executions that one root caused.
struct AttemptCounts {
    std::size_t roots_ = 0; ///< Roots with at least one execution.
    std::size_t maxExecutions_ = 0; ///< Most executions of one root.
    std::size_t maxExtra_ = 0; ///< Most executions of one root beyond the first of each operation.
    std::map<std::size_t, std::size_t> byExtra_; ///< Roots by that number.
};

/// A time span of the wall clock, in milliseconds since the Unix epoch. The end is excluded.
struct Span {
    milliseconds begin_ { 0 };
    milliseconds end_ { 0 };
};

/// Finds contradictions. Executions without a root id, as of direct calls, do not count.
auto checkAudits(const RequestKinds& kinds, const Records& records, const Executions& executions,
    const ClockPair& clocks) -> AuditFindings;

/// Splits the execution time that lies within a span by service. The work of a root is useful if a caller
/// got its whole answer; the work for a key is useful if any caller of the key got it.
auto workByService(const Records& records, const Executions& executions, const Span& span)
    -> std::map<std::string, Work>;

/// Counts the executions of each root.
auto countAttempts(const Executions& executions) -> AttemptCounts;

} // namespace wagtailhead::load
