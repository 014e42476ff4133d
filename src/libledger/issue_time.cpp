#include "issue_time.h"

#include "wagtailhead/ledger_limits.h"

#include <cstdint>

namespace wagtailhead {

namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::size_t timeDigits = 12; ///< 48 bits of Unix milliseconds.
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;

auto isDash(std::size_t position) -> bool
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

auto hexValue(char digit) -> int
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

auto isUuid7(std::string_view text) -> bool
{
    if (text.size() != uuidLength || text[versionPosition] != '7'
        || hexValue(text[variantPosition]) / 4 != 2) {
        return false;
    }
    for (std::size_t position = 0; position < uuidLength; ++position) {
        if (isDash(position) ? text[position] != '-' : hexValue(text[position]) < 0) {
            return false;
        }
    }
    return true;
}

} // namespace

auto issueTimeOf(std::string_view key, WallClock::time_point now) -> std::optional<WallClock::time_point>
{
    const auto text = key.substr(key.rfind(':') + 1); // npos + 1 is 0: the whole key.
    if (!isUuid7(text)) {
        return std::nullopt;
    }
    std::int64_t unixMs = 0;
    for (std::size_t position = 0, digits = 0; digits < timeDigits; ++position) {
        if (!isDash(position)) {
            unixMs = unixMs * 16 + hexValue(text[position]);
            ++digits;
        }
    }
    const WallClock::time_point issued { std::chrono::duration_cast<WallClock::duration>(
        milliseconds(unixMs)) };
    if (issued > now + longestKeyLead) {
        return std::nullopt;
    }
    return issued;
}

} // namespace wagtailhead
