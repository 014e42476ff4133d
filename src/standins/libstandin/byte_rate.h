/// The byte rate of a link that several connections share.
#pragma once

#include "wagtailhead/clock.h"

#include <cstddef>
#include <cstdint>

namespace wagtailhead::standin {

/// A first-in-first-out queue in front of a link of fixed rate. Not thread safe.
class ByteRate {
public:
    /// A rate of 0 bytes per second stands for no limit.
    explicit ByteRate(std::uint64_t bytesPerSecond);

    /// Takes the next place in the queue and returns when the last of `bytes` has left.
    auto reserve(std::size_t bytes, TimePoint now) -> TimePoint;

    /// Changes the rate for later reservations.
    auto setBytesPerSecond(std::uint64_t bytesPerSecond) -> void;
    auto bytesPerSecond() const -> std::uint64_t;

private:
    std::uint64_t bytesPerSecond_;
    TimePoint free_; ///< When the link has sent everything reserved so far.
};

} // namespace wagtailhead::standin
