#include "round_trips.h"

#include <algorithm>

namespace wagtailhead {

auto RoundTripResult::quantile(double rank) const -> Duration
{
    const auto last = static_cast<double>(latencies_.size() - 1);
    return latencies_[static_cast<std::size_t>(rank * last)];
}

RoundTripRecorder::RoundTripRecorder(const RoundTripPlan& plan)
    : workers_(plan.workers_)
    , running_(plan.workers_)
    , start_(Clock::now())
{
    for (auto& worker : workers_) {
        worker.left_ = plan.requests_ / plan.workers_;
        worker.warmUp_ = plan.warmUp_;
        worker.latencies_.reserve(worker.left_);
    }
}

auto RoundTripRecorder::begin(std::size_t index) -> bool
{
    auto& worker = workers_[index];
    if (worker.left_ + worker.warmUp_ == 0) {
        if (--running_ == 0) {
            done_.set_value();
        }
        return false;
    }
    worker.start_ = Clock::now();
    return true;
}

auto RoundTripRecorder::end(std::size_t index, bool succeeded) -> void
{
    auto& worker = workers_[index];
    worker.failures_ += succeeded ? 0 : 1;
    if (worker.warmUp_ > 0) {
        --worker.warmUp_;
        return;
    }
    --worker.left_;
    if (succeeded) {
        worker.latencies_.push_back(Clock::now() - worker.start_);
    }
}

auto RoundTripRecorder::wait() -> RoundTripResult
{
    done_.get_future().wait();
    RoundTripResult result;
    result.elapsed_ = Clock::now() - start_;
    for (const auto& worker : workers_) {
        result.failures_ += worker.failures_;
        result.latencies_.insert(result.latencies_.end(), worker.latencies_.begin(), worker.latencies_.end());
    }
    std::sort(result.latencies_.begin(), result.latencies_.end());
    return result;
}

} // namespace wagtailhead
