#include "series.h"

#include "log_histogram.h"

#include <numeric>

namespace wagtailhead::load {

namespace {

/// Returns the position of the interval that contains a time at or after `begin`.
auto positionOf(TimePoint time, TimePoint begin, Duration interval) -> std::size_t
{
    return static_cast<std::size_t>((time - begin) / interval);
}

} // namespace

auto Interval::goodTotal() const -> std::size_t
{
    return std::accumulate(good_.begin(), good_.end(), std::size_t { 0 });
}

auto goodputSeries(const Records& records, std::size_t kindCount, TimePoint begin, Duration interval)
    -> std::vector<Interval>
{
    std::vector<Interval> series;
    const auto at = [&](TimePoint time) -> Interval& {
        const auto position = positionOf(time, begin, interval);
        if (position >= series.size()) {
            series.resize(position + 1, Interval { 0, std::vector<std::size_t>(kindCount) });
        }
        return series[position];
    };
    for (const auto& record : records) {
        ++at(record.intended_).arrived_;
        if (record.isGood()) {
            ++at(record.attempts_.back().ended_).good_.at(record.kind_);
        }
    }
    return series;
}

auto arrivalWindows(const Records& records, TimePoint begin, Duration length, Duration window)
    -> std::vector<Window>
{
    const auto count = static_cast<std::size_t>((length + window - Duration(1)) / window);
    std::vector<Window> windows(count);
    std::vector<LogHistogram> latencies(count);
    for (const auto& record : records) {
        if (record.intended_ < begin || record.intended_ >= begin + length) {
            continue;
        }
        const auto position = positionOf(record.intended_, begin, window);
        ++windows[position].arrived_;
        if (record.isGood()) {
            ++windows[position].good_;
            latencies[position].add(record.latency());
        }
    }
    for (std::size_t i = 0; i < count; ++i) {
        windows[i].begin_ = window * static_cast<std::int64_t>(i);
        windows[i].p50_ = latencies[i].percentile(0.5);
        windows[i].p99_ = latencies[i].percentile(0.99);
    }
    return windows;
}

} // namespace wagtailhead::load
