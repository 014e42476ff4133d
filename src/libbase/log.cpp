#include "wagtailhead/log.h"

#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace wagtailhead {

namespace {

constexpr std::array levelNames { "debug", "info", "warning", "error" };

auto programName() -> std::string&
{
    static std::string name = "wagtailhead";
    return name;
}

auto threshold() -> LogLevel&
{
    static LogLevel level = LogLevel::Info;
    return level;
}

/// Returns the wall clock as an RFC 3339 text with milliseconds.
auto timestamp() -> std::string
{
    const auto now = std::chrono::system_clock::now();
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const std::time_t whole = std::chrono::system_clock::to_time_t(now);
    std::tm parts {};
    gmtime_r(&whole, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.") << std::setfill('0') << std::setw(3)
         << sinceEpoch.count() % 1000 << 'Z';
    return text.str();
}

auto needsQuotes(std::string_view value) -> bool
{
    if (value.empty()) {
        return true;
    }
    return value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

} // namespace

auto parseLogLevel(std::string_view text) -> Result<LogLevel>
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (text == levelNames.at(i)) {
            return static_cast<LogLevel>(i);
        }
    }
    return Error { ErrorCode::InvalidArgument,
        "log level '" + std::string(text) + "' is not one of debug, info, warning, error" };
}

auto initLog(std::string_view program, LogLevel level) -> void
{
    namespace logging = boost::log;
    programName() = program;
    threshold() = level;
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, [](std::ostream*) {}));
    backend->auto_flush(true);
    using Sink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(boost::make_shared<Sink>(backend));
}

auto quoteLogValue(std::string_view value) -> std::string
{
    if (!needsQuotes(value)) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char c : value) {
        switch (c) {
        case '"':
        case '\\':
            quoted += '\\';
            quoted += c;
            break;
        case '\n':
            quoted += "\\n";
            break;
        case '\r':
            quoted += "\\r";
            break;
        case '\t':
            quoted += "\\t";
            break;
        default:
            quoted += c;
        }
    }
    return quoted + '"';
}

auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void
{
    if (level < threshold()) {
        return;
    }
    std::string line = "time=" + timestamp() + " level=" + levelNames.at(static_cast<std::size_t>(level))
        + " program=" + programName() + " event=" + quoteLogValue(event);
    for (const auto& field : fields) {
        line += ' ' + field.key() + '=' + quoteLogValue(field.value());
    }
    static boost::log::sources::severity_logger_mt<int> logger;
    BOOST_LOG_SEV(logger, static_cast<int>(level)) << line;
}

} // namespace wagtailhead
