#include "stop_sequence.h"

#include <algorithm>

namespace wagtailhead {

namespace {

/// Callers ask each second whether a node is ready, and turn away after two misses.
constexpr Duration notice = milliseconds(2500);
/// The backend server works on for this part of the notice, but not for longer than this part of the stop
/// time; its last requests end during the rest.
constexpr double servingNoticePart = 0.9;
constexpr double servingPart = 0.375;
/// A request that is taken later might not end before SIGKILL.
constexpr double lastTakingPart = 0.55;
/// From here on connections are closed, whatever is still in flight.
constexpr double refusingPart = 0.8;
constexpr double endPart = 0.87;
/// The last responses and closed connections reach the callers in this time.
constexpr Duration closingTime = milliseconds(150);

auto partOf(Duration time, double part) -> Duration
{
    return std::chrono::duration_cast<Duration>(time * part);
}

} // namespace

auto StopSequence::lastEnd() const -> Duration
{
    return partOf(stopTime_, lastTakingPart);
}

auto StopSequence::next(Duration spent, std::size_t requests, std::size_t backendRequests) -> StopStep
{
    if (step_ == StopStep::Serve
        && spent > std::min(partOf(notice, servingNoticePart), partOf(stopTime_, servingPart))) {
        step_ = StopStep::Drain;
    }
    const bool takenLongEnough = spent > notice && backendRequests == 0;
    if (step_ == StopStep::Drain && (takenLongEnough || spent > partOf(stopTime_, lastTakingPart))) {
        step_ = StopStep::Refuse;
    }
    const bool idle = requests == 0 && backendRequests == 0;
    if (step_ == StopStep::Refuse && (idle || spent > partOf(stopTime_, refusingPart))) {
        step_ = StopStep::Finish;
        finishingSince_ = spent;
    }
    if (step_ == StopStep::Finish
        && ((idle && spent - finishingSince_ > closingTime) || spent > partOf(stopTime_, endPart))) {
        step_ = StopStep::End;
    }
    return step_;
}

} // namespace wagtailhead
