#include "report.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace wagtailhead::load {

namespace {

using Json = nlohmann::ordered_json;

auto percentilesJson(const LogHistogram& histogram) -> Json
{
    return { { "p50", toMilliseconds(histogram.percentile(0.5)) },
        { "p99", toMilliseconds(histogram.percentile(0.99)) },
        { "p99.9", toMilliseconds(histogram.percentile(0.999)) },
        { "max", toMilliseconds(histogram.max()) } };
}

auto kindJson(const KindOutcomes& kind) -> Json
{
    Json ends;
    for (const auto end : allAttemptEnds) {
        const auto found = kind.ends_.find(end);
        ends[attemptEndName(end)] = found == kind.ends_.end() ? 0 : found->second;
    }
    return { { "requests", kind.requests_ }, { "ends", ends }, { "attempts", kind.attempts_ },
        { "unknownAnswers", kind.unknownAnswers_ }, { "completedShare", kind.completedShare() },
        { "latencyMs", percentilesJson(kind.latency_) } };
}

auto kindsJson(const LoadPlan& plan, const std::vector<KindOutcomes>& kinds) -> Json
{
    Json object = Json::object();
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        object[plan.kinds_[i].name_] = kindJson(kinds[i]);
    }
    return object;
}

auto phasesJson(const Summary& summary) -> Json
{
    Json rows = Json::array();
    for (const auto& phase : summary.phases_) {
        rows.push_back({ { "name", phase.name_ }, { "seconds", toMilliseconds(phase.length_) / 1000 },
            { "offeredPerSecond", phase.offeredPerSecond_ }, { "goodPerSecond", phase.goodPerSecond_ } });
    }
    return rows;
}

auto recoveryJson(const LoadPlan& plan, const Recovery& recovery) -> Json
{
    if (surgeIndex(plan) < 0) {
        return nullptr;
    }
    return { { "seconds", recovery.time_ ? Json(toMilliseconds(*recovery.time_) / 1000) : Json() },
        { "goodShareBefore", recovery.before_.goodShare_ },
        { "medianP99MsBefore", toMilliseconds(recovery.before_.medianP99_) },
        { "worstP99MsBefore", toMilliseconds(recovery.before_.worstP99_) } };
}

auto workJson(const Work& work) -> Json
{
    return { { "usefulMs", work.useful_.count() }, { "wastedMs", work.wasted_.count() },
        { "wastedShare", work.wastedShare() } };
}

auto slotsJson(const Summary& summary) -> Json
{
    Json object = Json::object();
    for (const auto& [service, use] : summary.slotUse_) {
        object[service] = { { "slots", use.slots_ }, { "usefulShare", use.usefulShare_ },
            { "wastedShare", use.wastedShare_ } };
    }
    return object;
}

auto attemptsJson(const AttemptCounts& counts) -> Json
{
    Json byExtra = Json::object();
    for (const auto& [extra, roots] : counts.byExtra_) {
        byExtra[std::to_string(extra)] = roots;
    }
    return { { "roots", counts.roots_ }, { "maxExecutions", counts.maxExecutions_ },
        { "maxExtra", counts.maxExtra_ }, { "rootsByExtra", byExtra } };
}

auto findingsJson(const RunData& data, const AuditFindings& findings) -> Json
{
    return { { "duplicates", findings.duplicates_ }, { "falseNotRun", findings.falseNotRun_ },
        { "phantom", findings.phantom_ }, { "foreign", findings.foreign_ },
        { "examples", findings.examples_ }, { "executions", data.executions_.size() },
        { "missingAudits", data.missingAudits_ } };
}

auto costsJson(const NodeCosts& costs) -> Json
{
    const auto value = [](const PerNode& one) {
        return Json { { "mean", one.mean_ }, { "max", one.max_ } };
    };
    return { { "nodes", costs.nodes_ }, { "cpuPercent", value(costs.cpuPercent_) },
        { "memoryMb", value(costs.memoryMb_) },
        { "controlBytesPerSecond", value(costs.controlBytesPerSecond_) } };
}

auto pairsJson(const RunData& data) -> Json
{
    Json object = Json::object();
    for (const auto& pair : data.pairs_) {
        object[pair.kind_] = { { "count", pair.addedMs_.size() }, { "failed", pair.failed_ },
            { "directMs", percentilesJson(pair.direct_) }, { "nodeMs", percentilesJson(pair.through_) },
            { "addedMs",
                { { "p50", pair.addedAt(0.5) }, { "p99", pair.addedAt(0.99) },
                    { "p99.9", pair.addedAt(0.999) } } },
            { "pairedMs",
                { { "p50", pair.pairedAt(0.5) }, { "p99", pair.pairedAt(0.99) },
                    { "p99.9", pair.pairedAt(0.999) } } } };
    }
    return object;
}

auto writeFile(const std::filesystem::path& path, const std::string& text) -> Result<Done>
{
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        return Error { ErrorCode::Unavailable, "file " + path.string() + " cannot be written" };
    }
    return Done {};
}

} // namespace

auto reportJson(const LoadPlan& plan, const RunData& data, const Summary& summary) -> std::string
{
    Json reasons = Json::object();
    for (const auto& [reason, count] : summary.reasons_) {
        reasons[reason] = count;
    }
    const Json document { { "deployment", data.deployment_ }, { "seed", data.seed_ },
        { "loadAverage", data.loadAverage_ }, { "sendDelayMs", percentilesJson(summary.sendDelay_) },
        { "kinds", kindsJson(plan, summary.kinds_) }, { "surgeKinds", kindsJson(plan, summary.surgeKinds_) },
        { "attemptEnds", reasons }, { "phases", phasesJson(summary) },
        { "recovery", recoveryJson(plan, summary.recovery_) }, { "work", workJson(summary.totalWork_) },
        { "surgeWork", workJson(summary.surgeWork_) }, { "slotUse", slotsJson(summary) },
        { "bottleneck", summary.bottleneck_ }, { "attempts", attemptsJson(summary.attempts_) },
        { "audit", findingsJson(data, summary.findings_) }, { "pairs", pairsJson(data) },
        { "nodesIdle", data.idle_ ? costsJson(summary.idleCosts_) : Json() },
        { "nodesUnderLoad", costsJson(summary.loadCosts_) }, { "meshCores", summary.meshCores_ },
        { "storeCallsPerSecond", summary.storeCallsPerSecond_ },
        { "regionBytesPerSecond", summary.regionBytesPerSecond_ } };
    return document.dump(1) + "\n";
}

auto outcomesCsv(const LoadPlan& plan, const Summary& summary) -> std::string
{
    std::ostringstream csv;
    csv << "kind,requests,completed,failed,not_run,unknown,no_answer,attempts,p50_ms,p99_ms,p999_ms\n";
    for (std::size_t i = 0; i < summary.kinds_.size(); ++i) {
        const auto& kind = summary.kinds_[i];
        csv << plan.kinds_[i].name_ << ',' << kind.requests_;
        for (const auto end : allAttemptEnds) {
            const auto found = kind.ends_.find(end);
            csv << ',' << (found == kind.ends_.end() ? 0 : found->second);
        }
        csv << ',' << kind.attempts_;
        for (const auto share : { 0.5, 0.99, 0.999 }) {
            csv << ',' << toMilliseconds(kind.latency_.percentile(share));
        }
        csv << '\n';
    }
    return csv.str();
}

auto goodputCsv(const LoadPlan& plan, const RunData& data) -> std::string
{
    std::ostringstream csv;
    csv << "time_s,arrived,good";
    for (const auto& kind : plan.kinds_) {
        csv << ',' << kind.name_;
    }
    csv << '\n';
    const auto series = goodputSeries(data.records_, plan.kinds_.size(), data.begin_, goodputInterval);
    for (std::size_t i = 0; i < series.size(); ++i) {
        csv << toMilliseconds(goodputInterval) / 1000 * static_cast<double>(i) << ',' << series[i].arrived_
            << ',' << series[i].goodTotal();
        for (const auto good : series[i].good_) {
            csv << ',' << good;
        }
        csv << '\n';
    }
    return csv.str();
}

auto latencyCsv(const LoadPlan& plan, const RunData& data) -> std::string
{
    std::ostringstream csv;
    csv << "time_s,arrived,good,p50_ms,p99_ms\n";
    const auto windows = arrivalWindows(data.records_, data.begin_, totalLength(plan.phases_), latencyWindow);
    for (const auto& window : windows) {
        csv << toMilliseconds(window.begin_) / 1000 << ',' << window.arrived_ << ',' << window.good_ << ','
            << toMilliseconds(window.p50_) << ',' << toMilliseconds(window.p99_) << '\n';
    }
    return csv.str();
}

auto writeReport(const std::string& folder, const LoadPlan& plan, const RunData& data, const Summary& summary)
    -> Result<Done>
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const std::filesystem::path path(folder);
    const std::vector<std::pair<const char*, std::string>> files {
        { "report.txt", reportText(plan, data, summary) },
        { "report.json", reportJson(plan, data, summary) },
        { "outcomes.csv", outcomesCsv(plan, summary) },
        { "goodput.csv", goodputCsv(plan, data) },
        { "latency.csv", latencyCsv(plan, data) },
    };
    for (const auto& [name, text] : files) {
        if (auto result = writeFile(path / name, text); !isOk(result)) {
            return result;
        }
    }
    return Done {};
}

} // namespace wagtailhead::load
