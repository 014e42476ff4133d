/// Structured logs: one line of key=value pairs for each event.
#pragma once

#include "wagtailhead/result.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace wagtailhead {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// One key=value pair of a log line. Values with spaces, quotes or control characters are quoted.
class LogField {
public:
    LogField(std::string_view key, std::string_view value)
        : key_(key)
        , value_(value)
    {
    }
    LogField(std::string_view key, const char* value)
        : LogField(key, std::string_view(value))
    {
    }
    LogField(std::string_view key, const std::string& value)
        : LogField(key, std::string_view(value))
    {
    }
    template <typename Number, typename = std::enable_if_t<std::is_integral_v<Number>>>
    LogField(std::string_view key, Number value)
        : key_(key)
        , value_(std::to_string(value))
    {
    }
    /// Six significant digits.
    LogField(std::string_view key, double value);

    auto key() const -> const std::string&
    {
        return key_;
    }
    auto value() const -> const std::string&
    {
        return value_;
    }

private:
    std::string key_;
    std::string value_;
};

/// Parses "debug", "info", "warning" or "error".
auto parseLogLevel(std::string_view text) -> Result<LogLevel>;

enum class LogStream : std::uint8_t {
    StandardError,
    StandardOutput,
};

struct LogOptions {
    LogLevel level_ = LogLevel::Info;
    LogStream stream_ = LogStream::StandardError;
    std::string node_; ///< Appears in every line unless it is empty.
    bool buffered_ = false; ///< Lines are written by flushLog() only, many at a time.
};

/// Sets up the sink once at program start; `program` appears in every line. Not thread safe.
auto initLog(std::string_view program, const LogOptions& options) -> void;
auto initLog(std::string_view program, LogLevel level) -> void;

/// Writes one event. Thread safe. A reader that does not read never blocks it: lines are kept up to 256 KiB,
/// and beyond it counted in the line `event=log_lines_dropped` that follows once there is room.
auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {}) -> void;
auto logEvent(LogLevel level, std::string_view event, const std::vector<LogField>& fields) -> void;

/// Writes buffered lines as far as the reader takes them. Thread safe.
auto flushLog() -> void;

/// Returns a value as it appears behind the equals sign of a log line.
auto quoteLogValue(std::string_view value) -> std::string;

} // namespace wagtailhead
