#include "request_log.h"

#include "wagtailhead/log.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace wagtailhead {

namespace {

/// Limit for lines of one process about requests that were not served; lines above it are only counted.
constexpr int linesPerSecond = 40;
/// One in this many successful requests is logged.
constexpr std::uint64_t samplingInterval = 1024;

constexpr std::array<const char*, 4> outcomeNames { "answered", "refused", "failed", "cancelled" };

auto writeAttempt(const RequestTrace& trace, const AttemptTrace& attempt, std::size_t number) -> void
{
    const auto& picked = attempt.picked_;
    logEvent(LogLevel::Info, "attempt_ended",
        { { "attempt", trace.attemptId_ }, { "number", number }, { "to_node", picked.entry_.node_ },
            { "zone", picked.entry_.zone_ }, { "backend", picked.entry_.backendId_ },
            { "outcome", attempt.outcome_ }, { "reason", attempt.reason_ },
            { "arrived", static_cast<int>(attempt.arrived_) }, { "next", attempt.next_ },
            { "at_ms", toMilliseconds(attempt.sent_ - trace.arrived_) },
            { "ms", toMilliseconds(attempt.time_) }, { "used", picked.used_ },
            { "shed_level", picked.level_ }, { "load_age_ms", toMilliseconds(picked.loadAge_) },
            { "candidates", picked.candidates_ }, { "entry_generation", picked.entry_.generation_ } });
}

} // namespace

auto requestOutcomeName(RequestOutcome outcome) -> const char*
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

auto LogBudget::allow(int lines, TimePoint now) -> bool
{
    if (now - windowStart_ >= seconds(1)) {
        windowStart_ = now;
        used_ = 0;
    }
    if (used_ + lines <= linesPerSecond_) {
        used_ += lines;
        return true;
    }
    dropped_ += static_cast<std::uint64_t>(lines);
    return false;
}

auto LogBudget::takeDropped() -> std::uint64_t
{
    return std::exchange(dropped_, 0);
}

auto isLogged(std::string_view attemptId) -> bool
{
    return XXH64(attemptId.data(), attemptId.size(), 0) % samplingInterval == 0;
}

RequestLog::RequestLog()
    : budget_(linesPerSecond)
{
}

auto RequestLog::onEnd(const RequestTrace& trace, RequestOutcome outcome, int status, std::string_view reason,
    TimePoint now) -> void
{
    const bool sampled = isLogged(trace.attemptId_);
    const auto lines = static_cast<int>(trace.attempts_.size()) + 1;
    const bool succeeded = outcome == RequestOutcome::Answered && reason.empty();
    if (!sampled && (succeeded || !budget_.allow(lines, now))) {
        return;
    }
    for (std::size_t i = 0; i < trace.attempts_.size(); ++i) {
        writeAttempt(trace, trace.attempts_[i], i + 1);
    }
    const auto arrivals
        = std::count_if(trace.attempts_.begin(), trace.attempts_.end(), [](const AttemptTrace& attempt) {
              return attempt.arrived_;
          });
    logEvent(LogLevel::Info, "request_ended",
        { { "attempt", trace.attemptId_ }, { "route", trace.route_ }, { "service", trace.service_ },
            { "account", trace.account_ }, { "outcome", requestOutcomeName(outcome) }, { "status", status },
            { "reason", reason }, { "ms", toMilliseconds(trace.time_) },
            { "time_left_ms", toMilliseconds(trace.timeLeft_) }, { "rank", trace.rank_ },
            { "attempts", trace.attempts_.size() }, { "arrivals", arrivals },
            { "shed_level", trace.level_.level_ }, { "shed_level_age_ms", toMilliseconds(trace.level_.age_) },
            { "config", trace.configVersion_ }, { "sampled", static_cast<int>(sampled) } });
}

} // namespace wagtailhead
