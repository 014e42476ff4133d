/// Counts of refused and unresolved requests for the status of the mesh. Internal to the library.
#pragma once

#include "wagtailhead/call_context.h"
#include "wagtailhead/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace wagtailhead {

/// The time over which recent counts are summed, in slices of one second.
constexpr std::size_t recentSlices = 10;

/// A count since the start and over the last ten seconds. Not thread safe.
class RecentCount {
public:
    auto add(TimePoint now) -> void;
    auto total() const -> std::uint64_t;
    /// Returns the count of the present second and the nine seconds before it.
    auto recent(TimePoint now) const -> std::uint64_t;

private:
    static auto sliceOf(TimePoint now) -> std::int64_t;

    struct Slice {
        std::int64_t number_ = -1;
        std::uint64_t count_ = 0;
    };

    std::uint64_t total_ = 0;
    std::array<Slice, recentSlices> slices_ {};
};

/// One number for each priority, highest first.
using PriorityCounts = std::array<std::uint64_t, priorityCount>;

struct PriorityTotals {
    PriorityCounts total_ {};
    PriorityCounts recent_ {};
};

struct OverloadTotals {
    std::map<std::string, PriorityTotals> shed_; ///< By called service.
    PriorityTotals unknown_;
};

/// Counts of one process. Thread safe: one mutex, held briefly.
class OverloadCounts {
public:
    /// Counts a call of `service` that was refused for overload, at the root or by the backend server's
    /// node.
    auto countShed(const std::string& service, Priority priority, TimePoint now) -> void;
    /// Counts a request that was answered with the outcome unknown.
    auto countUnknown(Priority priority, TimePoint now) -> void;

    auto totals(TimePoint now) const -> OverloadTotals;

private:
    using Counts = std::array<RecentCount, priorityCount>;

    static auto totalsOf(const Counts& counts, TimePoint now) -> PriorityTotals;

    mutable std::mutex mutex_;
    std::map<std::string, Counts> shed_;
    Counts unknown_;
};

/// Returns the counts of this process, as the metrics registry is one for each process.
auto overloadCounts() -> OverloadCounts&;

} // namespace wagtailhead
