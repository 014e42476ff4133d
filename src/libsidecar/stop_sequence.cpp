#include "stop_sequence.h"

namespace wagtailhead {

namespace {

/// Callers ask each second whether a node is ready, and turn away after two misses.
constexpr Duration notice = milliseconds(2500);
/// A request that is taken later might not end before SIGKILL.
constexpr double lastTakingPart = 0.55;
constexpr double endPart = 0.87;
/// The last responses and closed connections reach the callers in this time.
constexpr Duration closingTime = milliseconds(150);

auto partOf(Duration time, double part) -> Duration
{
    return std::chrono::duration_cast<Duration>(time * part);
}

} // namespace

auto StopSequence::next(Duration spent, std::size_t requests, std::size_t backendRequests) -> StopStep
{
    const bool takenLongEnough = spent > notice && backendRequests == 0;
    if (step_ == StopStep::Serve && (takenLongEnough || spent > partOf(stopTime_, lastTakingPart))) {
        step_ = StopStep::Finish;
        finishingSince_ = spent;
    }
    const bool idle = requests == 0 && backendRequests == 0;
    if (step_ == StopStep::Finish
        && ((idle && spent - finishingSince_ > closingTime) || spent > partOf(stopTime_, endPart))) {
        step_ = StopStep::End;
    }
    return step_;
}

} // namespace wagtailhead
