/// What backend servers say of their load with their responses.
#pragma once

#include "wagtailhead/clock.h"

#include <optional>
#include <string_view>

namespace wagtailhead {

/// The figures of one response.
struct BackendLoad {
    int running_ = 0;
    int waiting_ = 0;
    int slots_ = 0;
    std::optional<double> slowdown_; ///< How long work takes on that VM at this moment, 1 as usual.
};

/// Reads "running,waiting,slots" or "running,waiting,slots,percent". Returns nothing if a figure is missing,
/// not a number, negative or out of any reason. Thread safe.
auto parseBackendLoad(std::string_view text) -> std::optional<BackendLoad>;

/// Smooths the slowdown of a VM, which changes many times a second, and lets it fade when no response says it
/// any more. Not thread safe.
class Slowdown {
public:
    auto add(double slowdown, TimePoint now) -> void;

    /// Returns the present slowdown, 1 if none is known.
    auto now(TimePoint now) const -> double;

    /// Returns whether responses have said it recently.
    auto isKnown(TimePoint now) const -> bool;

private:
    double value_ = 1;
    TimePoint updated_;
};

} // namespace wagtailhead
