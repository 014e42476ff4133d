#include "summary.h"

#include <algorithm>

namespace wagtailhead::load {

namespace {

auto secondsOf(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

auto countKinds(const LoadPlan& plan, const Records& records, TimePoint from, TimePoint to)
    -> std::vector<KindOutcomes>
{
    std::vector<KindOutcomes> kinds(plan.kinds_.size());
    for (const auto& record : records) {
        if (record.attempts_.empty() || record.intended_ < from || record.intended_ >= to) {
            continue;
        }
        auto& kind = kinds.at(record.kind_);
        ++kind.requests_;
        ++kind.ends_[record.end()];
        kind.attempts_ += record.attempts_.size();
        kind.unknownAnswers_ += static_cast<std::size_t>(
            std::count_if(record.attempts_.begin(), record.attempts_.end(), [](const AttemptRecord& attempt) {
                return attempt.end_ == AttemptEnd::Unknown;
            }));
        if (record.isGood()) {
            kind.latency_.add(record.latency());
        }
    }
    return kinds;
}

auto countReasons(const RequestKinds& kinds, const Records& records)
    -> std::vector<std::pair<std::string, std::size_t>>
{
    std::map<std::string, std::size_t> counts;
    for (const auto& record : records) {
        for (const auto& attempt : record.attempts_) {
            if (attempt.end_ != AttemptEnd::Completed) {
                ++counts[kinds.at(record.kind_).name_ + " " + attemptEndName(attempt.end_) + " "
                    + attempt.reason_];
            }
        }
    }
    std::vector<std::pair<std::string, std::size_t>> sorted(counts.begin(), counts.end());
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto& left, const auto& right) {
        return left.second > right.second;
    });
    return sorted;
}

auto summarizePhases(const LoadPlan& plan, const RunData& data) -> std::vector<PhaseSummary>
{
    std::vector<PhaseSummary> phases;
    for (std::size_t i = 0; i < plan.phases_.size(); ++i) {
        const auto begin = data.begin_ + startOf(plan.phases_, i);
        const auto length = plan.phases_[i].length_;
        PhaseSummary phase { plan.phases_[i].name_, length, 0, 0 };
        for (const auto& record : data.records_) {
            const bool arrived = record.intended_ >= begin && record.intended_ < begin + length;
            phase.offeredPerSecond_ += arrived ? 1 : 0;
            if (record.isGood()) {
                const auto ended = record.attempts_.back().ended_;
                phase.goodPerSecond_ += ended >= begin && ended < begin + length ? 1 : 0;
            }
        }
        phase.offeredPerSecond_ /= secondsOf(length);
        phase.goodPerSecond_ /= secondsOf(length);
        phases.push_back(phase);
    }
    return phases;
}

auto sumOf(const std::map<std::string, Work>& work) -> Work
{
    Work sum;
    for (const auto& [service, part] : work) {
        sum.useful_ += part.useful_;
        sum.wasted_ += part.wasted_;
    }
    return sum;
}

auto slotUseOf(const std::map<std::string, Work>& work, const std::map<std::string, std::int64_t>& slots,
    const Span& span) -> std::map<std::string, SlotUse>
{
    std::map<std::string, SlotUse> uses;
    for (const auto& [service, count] : slots) {
        const auto found = work.find(service);
        const auto part = found == work.end() ? Work {} : found->second;
        const auto available
            = static_cast<double>(count) * static_cast<double>((span.end_ - span.begin_).count());
        if (available > 0) {
            uses[service]
                = { static_cast<double>(count), static_cast<double>(part.useful_.count()) / available,
                      static_cast<double>(part.wasted_.count()) / available };
        }
    }
    return uses;
}

auto bottleneckOf(const std::map<std::string, SlotUse>& uses) -> std::string
{
    const auto found = std::max_element(uses.begin(), uses.end(), [](const auto& left, const auto& right) {
        return left.second.usefulShare_ + left.second.wastedShare_
            < right.second.usefulShare_ + right.second.wastedShare_;
    });
    return found == uses.end() ? std::string() : found->first;
}

auto add(PerNode& value, double one) -> void
{
    value.mean_ += one;
    value.max_ = std::max(value.max_, one);
}

/// Returns the costs between two snapshots of the nodes that are the same processes in both.
auto costsBetween(const MeshSnapshot& from, const MeshSnapshot& to) -> NodeCosts
{
    constexpr double percent = 100.0;
    NodeCosts costs;
    const auto length = secondsOf(to.at_ - from.at_);
    for (const auto& last : to.nodes_) {
        const auto first = std::find_if(from.nodes_.begin(), from.nodes_.end(), [&](const NodeUsage& usage) {
            return usage.pid_ == last.pid_;
        });
        if (first == from.nodes_.end() || length <= 0) {
            continue;
        }
        ++costs.nodes_;
        add(costs.cpuPercent_, (last.cpuSeconds_ - first->cpuSeconds_) / length * percent);
        add(costs.memoryMb_, last.memoryMb_);
        add(costs.controlBytesPerSecond_, (last.controlBytes_ - first->controlBytes_) / length);
    }
    const auto count = static_cast<double>(std::max<std::size_t>(costs.nodes_, 1));
    for (auto* value : { &costs.cpuPercent_, &costs.memoryMb_, &costs.controlBytesPerSecond_ }) {
        value->mean_ /= count;
    }
    return costs;
}

auto ratesBetween(const std::map<std::string, std::int64_t>& from,
    const std::map<std::string, std::int64_t>& to, Duration length) -> std::map<std::string, double>
{
    std::map<std::string, double> rates;
    for (const auto& [name, count] : to) {
        const auto found = from.find(name);
        if (found != from.end() && length > Duration::zero()) {
            rates[name] = static_cast<double>(count - found->second) / secondsOf(length);
        }
    }
    return rates;
}

} // namespace

auto KindOutcomes::completedShare() const -> double
{
    const auto found = ends_.find(AttemptEnd::Completed);
    const auto completed = found == ends_.end() ? 0 : found->second;
    return requests_ == 0 ? 1.0 : static_cast<double>(completed) / static_cast<double>(requests_);
}

auto summarize(const LoadPlan& plan, const RunData& data) -> Summary
{
    Summary summary;
    const auto total = totalLength(plan.phases_);
    const auto surge = surgeIndex(plan);
    const auto surgeBegin = surge < 0 ? Duration::zero() : startOf(plan.phases_, std::size_t(surge));
    const auto surgeEnd = surge < 0 ? total : surgeBegin + plan.phases_[std::size_t(surge)].length_;
    summary.kinds_ = countKinds(plan, data.records_, data.begin_, TimePoint::max());
    summary.surgeKinds_ = countKinds(plan, data.records_, data.begin_ + surgeBegin, data.begin_ + surgeEnd);
    summary.reasons_ = countReasons(plan.kinds_, data.records_);
    for (const auto& record : data.records_) {
        if (!record.attempts_.empty()) {
            summary.sendDelay_.add(record.attempts_.front().sent_ - record.intended_);
        }
    }
    summary.phases_ = summarizePhases(plan, data);
    summary.findings_ = checkAudits(plan.kinds_, data.records_, data.executions_, data.clocks_);
    const Span all { milliseconds(0), data.clocks_.wallOf(data.after_.at_) };
    const Span busy { data.clocks_.wallOf(data.begin_ + surgeBegin),
        data.clocks_.wallOf(data.begin_ + surgeEnd) };
    summary.work_ = workByService(data.records_, data.executions_, all);
    summary.totalWork_ = sumOf(summary.work_);
    const auto surgeWork = workByService(data.records_, data.executions_, busy);
    summary.surgeWork_ = sumOf(surgeWork);
    summary.slotUse_ = slotUseOf(surgeWork, data.before_.slots_, busy);
    summary.bottleneck_ = bottleneckOf(summary.slotUse_);
    summary.attempts_ = countAttempts(data.executions_);
    if (surge >= 0) {
        const auto windows = arrivalWindows(data.records_, data.begin_, total, latencyWindow);
        summary.recovery_ = findRecovery(windows, surgeBegin, surgeEnd);
    }
    if (data.idle_) {
        summary.idleCosts_ = costsBetween(*data.idle_, data.before_);
    }
    summary.loadCosts_ = costsBetween(data.before_, data.after_);
    const auto length = data.after_.at_ - data.before_.at_;
    summary.meshCores_ = length <= Duration::zero()
        ? 0
        : (data.after_.allCpuSeconds_ - data.before_.allCpuSeconds_) / secondsOf(length);
    summary.storeCallsPerSecond_ = ratesBetween(data.before_.storeCalls_, data.after_.storeCalls_, length);
    summary.regionBytesPerSecond_ = ratesBetween(data.before_.regionBytes_, data.after_.regionBytes_, length);
    return summary;
}

} // namespace wagtailhead::load
