#include "wagtailhead/wall_time.h"

#include <array>
#include <ctime>

namespace wagtailhead {

namespace {

constexpr auto format = "%Y-%m-%dT%H:%M:%SZ";
/// Years after 2261 do not fit into WallClock::time_point, which counts nanoseconds.
constexpr int lastYear = 2261;
constexpr int firstYear = 1970;
constexpr int tmYearBase = 1900;

} // namespace

auto formatWallTime(WallClock::time_point time) -> std::string
{
    const std::time_t secondsSinceEpoch = WallClock::to_time_t(time);
    std::tm fields {};
    gmtime_r(&secondsSinceEpoch, &fields);
    std::array<char, 32> buffer {};
    const auto length = std::strftime(buffer.data(), buffer.size(), format, &fields);
    return { buffer.data(), length };
}

auto parseWallTime(std::string_view text) -> Result<WallClock::time_point>
{
    const std::string copy(text);
    std::tm fields {};
    const char* end = strptime(copy.c_str(), format, &fields);
    const int year = fields.tm_year + tmYearBase;
    if (!end || *end != '\0' || year < firstYear || year > lastYear) {
        return Error { ErrorCode::InvalidArgument,
            "time '" + copy + "' is not of the form 2025-12-04T07:22:45Z" };
    }
    return WallClock::from_time_t(timegm(&fields));
}

} // namespace wagtailhead
