/// What became of each request, as the caller saw it.
#pragma once

#include "wagtailhead/clock.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace wagtailhead::load {

/// How one attempt ended for the caller.
enum class AttemptEnd : std::uint8_t {
    Completed, ///< Completed with a 2xx status.
    Failed, ///< Completed with another status.
    NotRun,
    Unknown,
    NoAnswer, ///< Timeout, lost connection or an answer without an outcome.
};

constexpr std::size_t attemptEndCount = 5;
constexpr std::array<AttemptEnd, attemptEndCount> allAttemptEnds { AttemptEnd::Completed, AttemptEnd::Failed,
    AttemptEnd::NotRun, AttemptEnd::Unknown, AttemptEnd::NoAnswer };

/// Returns "completed", "failed", "not-run", "unknown" or "no-answer".
auto attemptEndName(AttemptEnd end) -> const char*;

struct AttemptRecord {
    TimePoint sent_;
    TimePoint ended_;
    AttemptEnd end_ = AttemptEnd::NoAnswer;
    std::string reason_;
    std::uint64_t requestId_ = 0; ///< Root id that the answer named; 0 if none.
};

/// One whole request with all its attempts.
struct RequestRecord {
    std::uint32_t kind_ = 0; ///< Position in the list of kinds.
    TimePoint intended_; ///< Latency counts from here.
    std::string key_; ///< Idempotency key; empty if the operation needs none.
    std::vector<AttemptRecord> attempts_;
    bool whole_ = true; ///< The answer is complete and belongs to this request.

    /// Returns how the last attempt ended. Precondition: there is an attempt.
    auto end() const -> AttemptEnd
    {
        return attempts_.back().end_;
    }

    /// Returns whether the request has completed with a whole answer of its own.
    auto isGood() const -> bool
    {
        return !attempts_.empty() && end() == AttemptEnd::Completed && whole_;
    }

    /// Precondition: there is an attempt.
    auto latency() const -> Duration
    {
        return attempts_.back().ended_ - intended_;
    }
};

using Records = std::vector<RequestRecord>;

} // namespace wagtailhead::load
