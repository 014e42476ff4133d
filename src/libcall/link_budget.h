/// The byte budget of this node for calls to other regions. Internal to libcall.
#pragma once

#include "wagtailhead/call_context.h"
#include "wagtailhead/clock.h"

#include <cstddef>

namespace wagtailhead {

/// A token bucket in bytes. The size of a reply is not known when a call is sent, so the number of
/// tokens may become negative, and later calls are refused until it has recovered; the average over time
/// stays within the rate. A share of the bucket is reserved for more important calls. Not thread safe.
class LinkBudget {
public:
    explicit LinkBudget(double bytesPerSecond);

    auto setRate(double bytesPerSecond, TimePoint now) -> void;

    /// Takes the bytes of a request. Returns false, and takes nothing, if the budget is used up for
    /// this priority.
    auto tryTake(Priority priority, std::size_t bytes, TimePoint now) -> bool;

    /// Charges bytes that have already been transferred, without a check.
    auto charge(std::size_t bytes, TimePoint now) -> void;

    auto tokens(TimePoint now) -> double;

private:
    auto refill(TimePoint now) -> void;
    auto burst() const -> double;

    double bytesPerSecond_;
    double tokens_;
    TimePoint refilledAt_;
    bool started_ = false;
};

} // namespace wagtailhead
