#include "log_line.h"

#include "wagtailhead/wall_time.h"

#include <algorithm>
#include <charconv>

namespace wagtailhead {

namespace {

constexpr std::string_view timeKey = "time=";

/// Takes one value off the front of `rest`. Returns nothing if a quoted value does not end.
auto takeValue(std::string_view& rest) -> std::optional<std::string>
{
    if (rest.empty() || rest.front() != '"') {
        const auto end = std::min(rest.find(' '), rest.size());
        auto value = std::string(rest.substr(0, end));
        rest.remove_prefix(end);
        return value;
    }
    std::string value;
    for (std::size_t i = 1; i < rest.size(); ++i) {
        if (rest[i] == '"') {
            rest.remove_prefix(i + 1);
            return value;
        }
        if (rest[i] != '\\' || i + 1 == rest.size()) {
            value += rest[i];
            continue;
        }
        const char escaped = rest[++i];
        value += escaped == 'n' ? '\n' : escaped == 'r' ? '\r' : escaped == 't' ? '\t' : escaped;
    }
    return std::nullopt;
}

/// Parses "2026-01-09T06:30:25.020Z".
auto parseTime(const std::string& text) -> std::optional<WallClock::time_point>
{
    const auto dot = text.find('.');
    if (dot == std::string::npos || text.empty() || text.back() != 'Z') {
        return std::nullopt;
    }
    const auto whole = parseWallTime(text.substr(0, dot) + 'Z');
    int fraction = 0;
    const auto* begin = text.data() + dot + 1;
    const auto* end = text.data() + text.size() - 1;
    const auto parsed = std::from_chars(begin, end, fraction);
    constexpr int digits = 3;
    if (!isOk(whole) || parsed.ec != std::errc {} || parsed.ptr != end || end - begin != digits) {
        return std::nullopt;
    }
    return valueOf(whole) + milliseconds(fraction);
}

} // namespace

auto LogLine::find(std::string_view key) const -> std::string_view
{
    const auto found = std::find_if(fields_.begin(), fields_.end(), [&](const auto& field) {
        return field.first == key;
    });
    return found == fields_.end() ? std::string_view() : found->second;
}

auto LogLine::number(std::string_view key) const -> double
{
    const auto text = find(key);
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc {} ? value : 0;
}

auto parseLogLine(std::string_view text) -> std::optional<LogLine>
{
    const auto start = text.find(timeKey);
    if (start == std::string_view::npos || (start > 0 && text[start - 1] != ' ')) {
        return std::nullopt;
    }
    auto rest = text.substr(start);
    LogLine line;
    bool timeKnown = false;
    while (!rest.empty()) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt; // Cut within a key.
        }
        const auto key = std::string(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        auto value = takeValue(rest);
        if (!value) {
            return std::nullopt;
        }
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        if (key == "time") {
            const auto time = parseTime(*value);
            timeKnown = time.has_value();
            line.time_ = time.value_or(WallClock::time_point {});
        } else if (key == "node") {
            line.node_ = std::move(*value);
        } else if (key == "event") {
            line.event_ = std::move(*value);
        } else if (key != "level" && key != "program") {
            line.fields_.emplace_back(key, std::move(*value));
        }
    }
    if (!timeKnown || line.event_.empty()) {
        return std::nullopt;
    }
    return line;
}

} // namespace wagtailhead
