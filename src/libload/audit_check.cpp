#include "audit_check.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace wagtailhead::load {

namespace {

constexpr std::size_t maxExamples = 10;

using Starts = std::vector<milliseconds>;
using StartsByKey = std::unordered_map<std::string, Starts>;

auto note(AuditFindings& findings, std::size_t& count, const std::string& text) -> void
{
    ++count;
    if (findings.examples_.size() < maxExamples) {
        findings.examples_.push_back(text);
    }
}

/// Looks for a key that was executed more than once, also among the derived keys of sub-calls.
auto findDuplicates(const Executions& executions, AuditFindings& findings) -> void
{
    std::set<std::tuple<std::string, std::string, std::string>> seen;
    for (const auto& execution : executions) {
        // Reads under an order inherit no key of their own and may run again.
        if (execution.key_.empty() || execution.method_ != "POST" || execution.requestId_ == 0) {
            continue;
        }
        if (!seen.emplace(execution.service_, execution.path_, execution.key_).second) {
            note(findings, findings.duplicates_,
                "duplicate: " + execution.service_ + execution.path_ + " key " + execution.key_ + " attempt "
                    + execution.attempt_);
        }
    }
}

/// Returns the starts of the executions of root operations by key.
auto startsOfRoots(const RequestKinds& kinds, const Executions& executions) -> StartsByKey
{
    StartsByKey starts;
    for (const auto& execution : executions) {
        const bool isRoot = std::any_of(kinds.begin(), kinds.end(), [&](const RequestKind& kind) {
            return kind.keyed_ && kind.service_ == execution.service_ && kind.method_ == execution.method_
                && kind.path_ == execution.path_;
        });
        if (isRoot && !execution.key_.empty() && execution.requestId_ != 0) {
            starts[execution.key_].push_back(execution.start_);
        }
    }
    return starts;
}

auto checkNotRun(const RequestRecord& record, const Starts& starts, const ClockPair& clocks,
    AuditFindings& findings) -> void
{
    for (std::size_t i = 0; i < record.attempts_.size(); ++i) {
        const auto& attempt = record.attempts_[i];
        if (attempt.end_ != AttemptEnd::NotRun) {
            continue;
        }
        // A later attempt may run the request; without one, no execution may follow the answer.
        const bool isLast = i + 1 == record.attempts_.size();
        const auto answered = clocks.wallOf(attempt.ended_);
        const bool executed = std::any_of(starts.begin(), starts.end(), [&](milliseconds start) {
            return isLast || start < answered;
        });
        if (executed) {
            note(findings, findings.falseNotRun_,
                "false not-run: key " + record.key_ + " reason " + attempt.reason_ + " in attempt "
                    + std::to_string(i + 1));
        }
    }
}

auto checkKeyed(const RequestRecord& record, const StartsByKey& starts, const ClockPair& clocks,
    AuditFindings& findings) -> void
{
    const auto found = starts.find(record.key_);
    if (found == starts.end()) {
        if (record.end() == AttemptEnd::Completed) {
            note(findings, findings.phantom_, "completed without an execution: key " + record.key_);
        }
        return;
    }
    checkNotRun(record, found->second, clocks, findings);
}

/// The roots and keys whose work reached a caller.
struct UsefulRoots {
    std::unordered_set<std::uint64_t> roots_;
    std::unordered_set<std::string> keys_;
};

auto findUseful(const Records& records, const Executions& executions) -> UsefulRoots
{
    UsefulRoots useful;
    for (const auto& record : records) {
        if (!record.isGood()) {
            continue;
        }
        useful.roots_.insert(record.attempts_.back().requestId_);
        if (!record.key_.empty()) {
            useful.keys_.insert(record.key_);
        }
    }
    // A repeat may get the answer of an execution that an earlier attempt, hence another root, started.
    for (const auto& execution : executions) {
        if (useful.keys_.contains(execution.key_)) {
            useful.roots_.insert(execution.requestId_);
        }
    }
    return useful;
}

} // namespace

auto ClockPair::now() -> ClockPair
{
    const auto wall = WallClock::now().time_since_epoch();
    return { Clock::now(), std::chrono::duration_cast<milliseconds>(wall) };
}

auto Work::wastedShare() const -> double
{
    const auto total = static_cast<double>((useful_ + wasted_).count());
    return total > 0 ? static_cast<double>(wasted_.count()) / total : 0;
}

auto checkAudits(const RequestKinds& kinds, const Records& records, const Executions& executions,
    const ClockPair& clocks) -> AuditFindings
{
    AuditFindings findings;
    findDuplicates(executions, findings);
    const auto starts = startsOfRoots(kinds, executions);
    for (const auto& record : records) {
        if (record.attempts_.empty()) {
            continue;
        }
        if (!record.whole_) {
            note(findings, findings.foreign_,
                "foreign answer: " + kinds.at(record.kind_).name_ + " key '" + record.key_ + "'");
        }
        if (!record.key_.empty()) {
            checkKeyed(record, starts, clocks, findings);
        }
    }
    return findings;
}

auto workByService(const Records& records, const Executions& executions, const Span& span)
    -> std::map<std::string, Work>
{
    const auto useful = findUseful(records, executions);
    std::map<std::string, Work> work;
    for (const auto& execution : executions) {
        if (execution.requestId_ == 0) {
            continue;
        }
        const auto begin = std::max(execution.start_, span.begin_);
        const auto end = std::min(execution.end_.value_or(span.end_), span.end_);
        if (begin < end) {
            auto& service = work[execution.service_];
            (useful.roots_.contains(execution.requestId_) ? service.useful_ : service.wasted_) += end - begin;
        }
    }
    return work;
}

auto countAttempts(const Executions& executions) -> AttemptCounts
{
    struct Root {
        std::size_t executions_ = 0;
        std::set<std::tuple<std::string, std::string, std::string>> operations_;
    };
    std::unordered_map<std::uint64_t, Root> roots;
    for (const auto& execution : executions) {
        if (execution.requestId_ != 0) {
            auto& root = roots[execution.requestId_];
            ++root.executions_;
            root.operations_.emplace(execution.service_, execution.method_, execution.path_);
        }
    }
    AttemptCounts counts;
    counts.roots_ = roots.size();
    for (const auto& [id, root] : roots) {
        const auto extra = root.executions_ - root.operations_.size();
        counts.maxExecutions_ = std::max(counts.maxExecutions_, root.executions_);
        counts.maxExtra_ = std::max(counts.maxExtra_, extra);
        ++counts.byExtra_[extra];
    }
    return counts;
}

} // namespace wagtailhead::load
