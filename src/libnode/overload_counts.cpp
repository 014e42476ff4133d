#include "overload_counts.h"

namespace wagtailhead {

namespace {

/// Services that are counted; callers of a node name few, so more would be a misuse of memory.
constexpr std::size_t maxServices = 1000;

} // namespace

auto RecentCount::sliceOf(TimePoint now) -> std::int64_t
{
    return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

auto RecentCount::add(TimePoint now) -> void
{
    ++total_;
    const auto number = sliceOf(now);
    auto& slice = slices_.at(static_cast<std::size_t>(number) % recentSlices);
    if (slice.number_ != number) {
        slice = { number, 0 };
    }
    ++slice.count_;
}

auto RecentCount::total() const -> std::uint64_t
{
    return total_;
}

auto RecentCount::recent(TimePoint now) const -> std::uint64_t
{
    const auto oldest = sliceOf(now) - static_cast<std::int64_t>(recentSlices) + 1;
    std::uint64_t sum = 0;
    for (const auto& slice : slices_) {
        sum += slice.number_ >= oldest ? slice.count_ : 0;
    }
    return sum;
}

auto OverloadCounts::countShed(const std::string& service, Priority priority, TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    if (shed_.size() >= maxServices && !shed_.contains(service)) {
        return;
    }
    shed_[service].at(static_cast<std::size_t>(priority)).add(now);
}

auto OverloadCounts::countUnknown(Priority priority, TimePoint now) -> void
{
    const std::lock_guard lock(mutex_);
    unknown_.at(static_cast<std::size_t>(priority)).add(now);
}

auto OverloadCounts::totalsOf(const Counts& counts, TimePoint now) -> PriorityTotals
{
    PriorityTotals totals;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        totals.total_.at(i) = counts.at(i).total();
        totals.recent_.at(i) = counts.at(i).recent(now);
    }
    return totals;
}

auto OverloadCounts::totals(TimePoint now) const -> OverloadTotals
{
    const std::lock_guard lock(mutex_);
    OverloadTotals all;
    for (const auto& [service, counts] : shed_) {
        all.shed_[service] = totalsOf(counts, now);
    }
    all.unknown_ = totalsOf(unknown_, now);
    return all;
}

auto overloadCounts() -> OverloadCounts&
{
    static OverloadCounts counts;
    return counts;
}

} // namespace wagtailhead
