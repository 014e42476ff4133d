#include "wagtailhead/shedding.h"

namespace wagtailhead {

namespace {

auto stricterOf(const SheddingLevel& left, const SheddingLevel& right) -> const SheddingLevel&
{
    return isStricter(left, right) ? left : right;
}

} // namespace

auto LevelTable::Report::strictest() const -> const SheddingLevel&
{
    return stricterOf(present_, previous_);
}

LevelTable::LevelTable(const LevelTableOptions& options, std::uint64_t seed)
    : options_(options)
    , random_(seed)
{
}

auto LevelTable::expire(Reports& reports, TimePoint now) const -> void
{
    std::erase_if(reports, [this, now](const auto& entry) {
        return now - entry.second.reportedAt_ >= options_.expiry_;
    });
}

auto LevelTable::expireAll(TimePoint now) -> void
{
    for (auto at = entries_.begin(); at != entries_.end();) {
        expire(at->second, now);
        at = at->second.empty() ? entries_.erase(at) : std::next(at);
    }
}

auto LevelTable::learn(const std::string& service, const std::string& pathGroup, const SheddingLevel& level,
    const std::string& reporter, TimePoint now) -> void
{
    if (options_.mechanism_ == Mechanism::Naive) {
        return;
    }
    const std::lock_guard lock(mutex_);
    const Key key { service, pathGroup };
    auto found = entries_.find(key);
    if (found == entries_.end()) {
        if (level == SheddingLevel {}) {
            return;
        }
        if (entries_.size() >= options_.maxEntries_) {
            expireAll(now);
        }
        if (entries_.size() >= options_.maxEntries_) {
            return;
        }
        found = entries_.emplace(key, Reports {}).first;
    }
    auto& reports = found->second;
    expire(reports, now);
    const auto [at, added] = reports.try_emplace(reporter, Report { level, {}, now, now });
    auto& report = at->second;
    if (!added && now - report.periodStart_ >= options_.hold_) {
        report.previous_ = report.present_;
        report.present_ = level;
        report.periodStart_ = now;
    }
    report.present_ = stricterOf(level, report.present_);
    report.reportedAt_ = now;
}

auto LevelTable::check(const std::string& service, const std::string& pathGroup, Priority priority,
    std::uint64_t rootHash, TimePoint now) -> LevelAnswer
{
    const std::lock_guard lock(mutex_);
    LevelAnswer answer;
    const auto found = entries_.find({ service, pathGroup });
    if (found == entries_.end()) {
        return answer;
    }
    expire(found->second, now);
    for (const auto& [reporter, report] : found->second) {
        if (isStricter(report.strictest(), answer.level_)) {
            answer.level_ = report.strictest();
            answer.service_ = reporter;
        }
    }
    if (found->second.empty()) {
        entries_.erase(found);
    }
    if (drops(answer.level_, priority, rootHash)) {
        const bool probe = std::uniform_real_distribution(0.0, 1.0)(random_) < options_.probeShare_;
        answer.verdict_ = probe ? LevelVerdict::Probe : LevelVerdict::Refuse;
    }
    return answer;
}

auto LevelTable::size() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return entries_.size();
}

} // namespace wagtailhead
