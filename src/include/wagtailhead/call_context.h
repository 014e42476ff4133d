/// The context of a call, given once at the root and inherited by every sub-call.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/ids.h"
#include "wagtailhead/result.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailhead {

/// Priorities of requests, highest first. A lower number is more important.
enum class Priority : std::uint8_t {
    Critical = 0, ///< Orders, bookings and parts orders.
    Interactive = 1, ///< Reads that a person waits for.
    Internal = 2, ///< Lookups without a customer-visible root.
    Bulk = 3, ///< Downloads; also every sub-call without a context.
};

constexpr std::size_t priorityCount = 4;
constexpr std::array<Priority, priorityCount> allPriorities { Priority::Critical, Priority::Interactive,
    Priority::Internal, Priority::Bulk };

/// Returns "critical", "interactive", "internal" or "bulk".
auto priorityName(Priority priority) -> const char*;
auto parsePriority(std::string_view text) -> Result<Priority>;

/// The greatest depth of a call; the root has depth 0.
constexpr int maxCallDepth = 19;

struct CallContext {
    RootId rootId_ = 0;
    /// Stable position of the root in the drop order; the same at every hop.
    std::uint64_t rootHash_ = 0;
    Priority priority_ = Priority::Bulk;
    TimePoint deadline_;
    /// Extra attempts that this call and its whole subtree may still make.
    int retryAllowance_ = 0;
    /// Empty if the call is not an operation that must run at most once.
    std::string idempotencyKey_;
    int depth_ = 0;
    /// Hops of work already done for the root.
    int invested_ = 0;
};

/// Returns the drop position of a root request.
auto rootHashOf(RootId rootId) -> std::uint64_t;

/// How much a service sheds: calls below `priority_` are dropped, calls of `priority_` whose root hash
/// is above `keepBelow_` are dropped too. The default sheds nothing.
struct SheddingLevel {
    Priority priority_ = Priority::Bulk;
    std::uint64_t keepBelow_ = UINT64_MAX;

    auto operator==(const SheddingLevel&) const -> bool = default;
};

/// Returns whether the level drops this call.
auto drops(const SheddingLevel& level, Priority priority, std::uint64_t rootHash) -> bool;

/// Returns whether `left` drops more than `right`.
auto isStricter(const SheddingLevel& left, const SheddingLevel& right) -> bool;

/// What a caller is told about its request.
enum class Outcome : std::uint8_t {
    Completed, ///< The backend server answered; its whole answer is passed on.
    NotRun, ///< The request has not been executed and will not be.
    Unknown, ///< The request may or may not have been executed.
};

/// Returns "completed", "not-run" or "unknown".
auto outcomeName(Outcome outcome) -> const char*;

} // namespace wagtailhead
