#include "report.h"

#include <cstdarg>
#include <cstdio>

namespace wagtailhead::load {

namespace {

constexpr std::size_t maxReasons = 20;
constexpr double percent = 100.0;
constexpr double kilo = 1000.0;

/// Returns printf output as text.
__attribute__((format(printf, 1, 2))) auto line(const char* format, ...) -> std::string
{
    constexpr std::size_t maxLine = 512;
    std::array<char, maxLine> buffer {};
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(buffer.data(), buffer.size(), format, arguments);
    va_end(arguments);
    return buffer.data();
}

auto countOf(const KindOutcomes& kind, AttemptEnd end) -> std::size_t
{
    const auto found = kind.ends_.find(end);
    return found == kind.ends_.end() ? 0 : found->second;
}

auto outcomeTable(const LoadPlan& plan, const std::vector<KindOutcomes>& kinds) -> std::string
{
    std::string text = line("%-16s %8s %10s %7s %8s %8s %10s %9s %9s %9s %9s\n", "kind", "requests",
        "completed", "failed", "not-run", "unknown", "no-answer", "attempts", "p50 ms", "p99 ms", "complete");
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        const auto& kind = kinds[i];
        text += line("%-16s %8zu %10zu %7zu %8zu %8zu %10zu %9zu %9.1f %9.1f %8.2f%%\n",
            plan.kinds_[i].name_.c_str(), kind.requests_, countOf(kind, AttemptEnd::Completed),
            countOf(kind, AttemptEnd::Failed), countOf(kind, AttemptEnd::NotRun),
            countOf(kind, AttemptEnd::Unknown), countOf(kind, AttemptEnd::NoAnswer), kind.attempts_,
            toMilliseconds(kind.latency_.percentile(0.5)), toMilliseconds(kind.latency_.percentile(0.99)),
            kind.completedShare() * percent);
    }
    return text;
}

auto reasonLines(const Summary& summary) -> std::string
{
    std::string text;
    for (std::size_t i = 0; i < std::min(maxReasons, summary.reasons_.size()); ++i) {
        text += line("  %8zu attempts: %s\n", summary.reasons_[i].second, summary.reasons_[i].first.c_str());
    }
    return text;
}

auto delayLine(const Summary& summary) -> std::string
{
    constexpr auto tolerated = milliseconds(50);
    const auto p99 = summary.sendDelay_.percentile(0.99);
    return line("first attempts left p50 %.1f, p99 %.1f, max %.1f ms after their intended start%s\n",
        toMilliseconds(summary.sendDelay_.percentile(0.5)), toMilliseconds(p99),
        toMilliseconds(summary.sendDelay_.max()),
        p99 > tolerated ? "; WARNING: the load tool was short of CPU, so latencies are not those of the mesh"
                        : "");
}

auto phaseTable(const Summary& summary) -> std::string
{
    std::string text = line("\n%-16s %8s %14s %14s\n", "phase", "seconds", "offered per s", "goodput per s");
    for (const auto& phase : summary.phases_) {
        text += line("%-16s %8.1f %14.1f %14.1f\n", phase.name_.c_str(), toMilliseconds(phase.length_) / kilo,
            phase.offeredPerSecond_, phase.goodPerSecond_);
    }
    return text;
}

auto slotLines(const LoadPlan& plan, const Summary& summary) -> std::string
{
    std::string text = line("\nslot time %s (useful + wasted, per service):\n",
        surgeIndex(plan) < 0 ? "in the load" : "in the surge");
    for (const auto& [service, use] : summary.slotUse_) {
        text += line("  %-14s %4.0f slots  %5.1f%% useful  %5.1f%% wasted%s\n", service.c_str(), use.slots_,
            use.usefulShare_ * percent, use.wastedShare_ * percent,
            service == summary.bottleneck_ ? "  <- bottleneck" : "");
    }
    return text;
}

auto workLines(const LoadPlan& plan, const Summary& summary) -> std::string
{
    std::string text
        = line("wasted work: %.2f%% of %.1f s in the whole run", summary.totalWork_.wastedShare() * percent,
            static_cast<double>((summary.totalWork_.useful_ + summary.totalWork_.wasted_).count()) / kilo);
    if (surgeIndex(plan) >= 0) {
        text += line(", %.2f%% in the surge", summary.surgeWork_.wastedShare() * percent);
    }
    text += line("\nroots with executions: %zu; most executions of one root: %zu; most beyond one for each "
                 "operation: %zu\n",
        summary.attempts_.roots_, summary.attempts_.maxExecutions_, summary.attempts_.maxExtra_);
    text += "roots by extra executions:";
    for (const auto& [extra, roots] : summary.attempts_.byExtra_) {
        text += line(" %zu: %zu", extra, roots);
    }
    return text + "\n";
}

auto recoveryLine(const LoadPlan& plan, const Summary& summary) -> std::string
{
    if (surgeIndex(plan) < 0) {
        return "";
    }
    const auto& before = summary.recovery_.before_;
    const auto level = line("level before: %.1f%% good, p99 %.0f ms (median of %zu windows, worst %.0f ms)\n",
        before.goodShare_ * percent, toMilliseconds(before.medianP99_), before.windows_,
        toMilliseconds(before.worstP99_));
    if (!summary.recovery_.time_) {
        return "recovery: not within the run; " + level;
    }
    return line("recovery: %.1f s after the end of the surge; ",
               toMilliseconds(*summary.recovery_.time_) / kilo)
        + level;
}

auto findingLines(const RunData& data, const Summary& summary) -> std::string
{
    const auto& findings = summary.findings_;
    auto text
        = line("\naudit: %zu duplicates, %zu false not-run, %zu completed without an execution, %zu foreign "
               "answers (%zu executions)\n",
            findings.duplicates_, findings.falseNotRun_, findings.phantom_, findings.foreign_,
            data.executions_.size());
    for (const auto& example : findings.examples_) {
        text += "  " + example + "\n";
    }
    for (const auto& missing : data.missingAudits_) {
        text += "  " + missing + "\n";
    }
    return text;
}

auto costLine(const char* when, const NodeCosts& costs) -> std::string
{
    return line(
        "%zu nodes %s: CPU %.2f%% of a core (most %.2f%%), memory %.1f MB (most %.1f), control %.2f KB/s "
        "(most %.2f)\n",
        costs.nodes_, when, costs.cpuPercent_.mean_, costs.cpuPercent_.max_, costs.memoryMb_.mean_,
        costs.memoryMb_.max_, costs.controlBytesPerSecond_.mean_ / kilo,
        costs.controlBytesPerSecond_.max_ / kilo);
}

auto costLines(const RunData& data, const Summary& summary) -> std::string
{
    std::string text = "\n";
    if (data.idle_) {
        text += costLine("idle", summary.idleCosts_);
    }
    text += costLine("under load", summary.loadCosts_);
    text += line(
        "whole mesh: %.2f cores; load average of the machine: %.1f\n", summary.meshCores_, data.loadAverage_);
    text += "store calls per s:";
    for (const auto& [name, rate] : summary.storeCallsPerSecond_) {
        text += line(" %s %.2f", name.c_str(), rate);
    }
    text += "\n";
    for (const auto& [name, rate] : summary.regionBytesPerSecond_) {
        text += line("bytes between regions %s: %.1f KB/s\n", name.c_str(), rate / kilo);
    }
    return text;
}

auto pairTable(const RunData& data) -> std::string
{
    if (data.pairs_.empty()) {
        return "";
    }
    auto text
        = line("\n%-16s %6s %7s %-9s %9s %9s %9s\n", "pairs", "count", "failed", "ms", "p50", "p99", "p99.9");
    for (const auto& pair : data.pairs_) {
        const auto row = [&](const char* name, double p50, double p99, double p999) {
            text += line("%-16s %6zu %7zu %-9s %9.3f %9.3f %9.3f\n", pair.kind_.c_str(), pair.addedMs_.size(),
                pair.failed_, name, p50, p99, p999);
        };
        const auto values = [&](const LogHistogram& histogram, double share) {
            return toMilliseconds(histogram.percentile(share));
        };
        row("direct", values(pair.direct_, 0.5), values(pair.direct_, 0.99), values(pair.direct_, 0.999));
        row("node", values(pair.through_, 0.5), values(pair.through_, 0.99), values(pair.through_, 0.999));
        row("added", pair.addedAt(0.5), pair.addedAt(0.99), pair.addedAt(0.999));
        row("paired", pair.pairedAt(0.5), pair.pairedAt(0.99), pair.pairedAt(0.999));
    }
    return text;
}

} // namespace

auto reportText(const LoadPlan& plan, const RunData& data, const Summary& summary) -> std::string
{
    std::string text = outcomeTable(plan, summary.kinds_) + reasonLines(summary);
    if (surgeIndex(plan) >= 0) {
        text += "\nof the requests that arrived in the surge:\n" + outcomeTable(plan, summary.surgeKinds_);
    }
    text += delayLine(summary) + phaseTable(summary) + recoveryLine(plan, summary) + slotLines(plan, summary);
    text += workLines(plan, summary) + findingLines(data, summary) + pairTable(data)
        + costLines(data, summary);
    return text;
}

} // namespace wagtailhead::load
