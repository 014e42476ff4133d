#include "stop_sequence.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Callers check every second whether a node is ready, and use another one after two failed checks.
constexpr Duration noticeTime = milliseconds(2500);
/// The backend server still serves for servingNoticePart of noticeTime, but at most for servingPart
/// of the stop time; its last requests end during the rest of noticeTime.
constexpr double servingNoticePart = 0.9;
constexpr double servingPart = 0.375;
/// A request that is admitted later might not end before SIGKILL.
constexpr double admissionPart = 0.55;
/// After this part of the stop time connections are closed, even with requests in flight.
constexpr double refusingPart = 0.8;
constexpr double endPart = 0.87;
/// Responses that their callers have not read whole are given until this part of the stop time.
constexpr double readingPart = 0.95;
/// Time for the last responses and connection closes to reach the callers.
constexpr Duration closingTime = milliseconds(150);
/// A request that reaches its deadline is answered within this time.
constexpr Duration answerTime = milliseconds(200);

auto partOf(Duration time, double part) -> Duration
{
    return std::chrono::duration_cast<Duration>(time * part);
}

} // namespace

auto StopSequence::lastEnd() const -> Duration
{
    return partOf(stopTime_, admissionPart);
}

auto StopSequence::latestResponse() const -> Duration
{
    return partOf(stopTime_, endPart) - answerTime;
}

auto StopSequence::latestDeadline(Duration spent) const -> std::optional<Duration>
{
    if (spent <= noticeTime) {
        return std::nullopt;
    }
    return latestResponse();
}

auto StopSequence::next(
    Duration spent, std::size_t requests, std::size_t backendRequests, bool responsesUnread) -> StopStep
{
    if (step_ == StopStep::Serve
        && spent > std::min(partOf(noticeTime, servingNoticePart), partOf(stopTime_, servingPart))) {
        step_ = StopStep::Drain;
    }
    const bool drained = spent > noticeTime && backendRequests == 0;
    if (step_ == StopStep::Drain && (drained || spent > partOf(stopTime_, admissionPart))) {
        step_ = StopStep::Refuse;
    }
    const bool idle = requests == 0 && backendRequests == 0;
    idleSince_ = idle ? std::min(idleSince_, spent) : Duration::max();
    if (step_ == StopStep::Refuse && (idle || spent > partOf(stopTime_, refusingPart))) {
        step_ = StopStep::Finish;
        idleSince_ = idle ? spent : Duration::max();
    }
    const bool closed = idle && spent - idleSince_ > closingTime;
    const auto latestEnd = partOf(stopTime_, responsesUnread ? readingPart : endPart);
    if (step_ == StopStep::Finish && (closed || spent > latestEnd)) {
        step_ = StopStep::End;
    }
    return step_;
}

} // namespace wagtailhead
