#include "byte_rate.h"

#include <algorithm>

namespace wagtailhead::standin {

ByteRate::ByteRate(std::uint64_t bytesPerSecond)
    : bytesPerSecond_(bytesPerSecond)
{
}

auto ByteRate::reserve(std::size_t bytes, TimePoint now) -> TimePoint
{
    if (bytesPerSecond_ == 0) {
        return now;
    }
    const std::chrono::duration<double> time(
        static_cast<double>(bytes) / static_cast<double>(bytesPerSecond_));
    free_ = std::max(free_, now) + std::chrono::duration_cast<Duration>(time);
    return free_;
}

auto ByteRate::setBytesPerSecond(std::uint64_t bytesPerSecond) -> void
{
    bytesPerSecond_ = bytesPerSecond;
}

auto ByteRate::bytesPerSecond() const -> std::uint64_t
{
    return bytesPerSecond_;
}

} // namespace wagtailhead::standin
