/// The byte budget of this node for calls to other regions. Internal to libcall.
#pragma once

#include "wagtailhead/call_context.h"
#include "wagtailhead/clock.h"

#include <cstddef>

namespace wagtailhead {

/// A token bucket in bytes. The size of a reply is not known when a call is sent, so the bucket may go
/// into debt, which later calls wait for; the mean over time keeps the rate. Less important calls leave
/// a reserve for more important ones. Not thread safe.
class LinkBudget {
public:
    explicit LinkBudget(double bytesPerSecond);

    auto setRate(double bytesPerSecond, TimePoint now) -> void;

    /// Takes the bytes of a request. Returns false, and takes nothing, if the budget is used up for
    /// this priority.
    auto tryTake(Priority priority, std::size_t bytes, TimePoint now) -> bool;

    /// Charges bytes that cannot be refused any more.
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
