#include "wagtailhead/log.h"

#include <algorithm>
#include <array>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace wagtailhead {

namespace {

constexpr std::array levelNames { "debug", "info", "warning", "error" };

/// Lines that wait for the reader.
constexpr std::size_t mostBufferedBytes = 262144;
/// A pipe that is ready takes so many bytes without blocking (PIPE_BUF).
constexpr std::size_t writeBytes = 4096;

/// The fields at the start of each line, and what is written at all.
struct LogState {
    std::string program_ = "wagtailhead";
    LogOptions options_;
};

auto state() -> LogState&
{
    static LogState instance;
    return instance;
}

/// Writes lines to a file descriptor, only as fast as its reader takes them.
class DescriptorBackend final
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding> {
public:
    DescriptorBackend(int descriptor, bool buffered)
        : descriptor_(descriptor)
        , buffered_(buffered)
    {
    }

    auto consume(const boost::log::record_view& /*record*/, const std::string& line) -> void
    {
        if (buffer_.size() + line.size() >= mostBufferedBytes) {
            flush();
        }
        if (buffer_.size() + line.size() >= mostBufferedBytes) {
            ++dropped_;
            return;
        }
        buffer_ += line;
        buffer_ += '\n';
        if (!buffered_) {
            flush();
        }
    }

    auto flush() -> void
    {
        std::size_t written = 0;
        while (written < buffer_.size() && isWritable()) {
            const auto size = ::write(
                descriptor_, buffer_.data() + written, std::min(buffer_.size() - written, writeBytes));
            if (size <= 0) {
                break; // The reader has gone; there is nobody left to tell.
            }
            written += static_cast<std::size_t>(size);
        }
        buffer_.erase(0, written);
        if (buffer_.empty() && dropped_ > 0) {
            buffer_ = "event=log_lines_dropped count=" + std::to_string(dropped_) + '\n';
            dropped_ = 0;
        }
    }

private:
    auto isWritable() const -> bool
    {
        pollfd waited { descriptor_, POLLOUT, 0 };
        return ::poll(&waited, 1, 0) == 1 && (waited.revents & POLLOUT) != 0;
    }

    int descriptor_;
    bool buffered_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
};

using Sink = boost::log::sinks::synchronous_sink<DescriptorBackend>;

auto sink() -> boost::shared_ptr<Sink>&
{
    static boost::shared_ptr<Sink> instance;
    return instance;
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

LogField::LogField(std::string_view key, double value)
    : key_(key)
{
    std::array<char, 32> text {};
    const auto size = std::snprintf(text.data(), text.size(), "%g", value);
    value_.assign(text.data(), static_cast<std::size_t>(std::max(size, 0)));
}

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

auto initLog(std::string_view program, const LogOptions& options) -> void
{
    namespace logging = boost::log;
    state().program_ = program;
    state().options_ = options;
    const int descriptor = options.stream_ == LogStream::StandardError ? STDERR_FILENO : STDOUT_FILENO;
    sink() = boost::make_shared<Sink>(boost::make_shared<DescriptorBackend>(descriptor, options.buffered_));
    sink()->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->remove_all_sinks();
    logging::core::get()->add_sink(sink());
}

auto initLog(std::string_view program, LogLevel level) -> void
{
    LogOptions options;
    options.level_ = level;
    initLog(program, options);
}

auto flushLog() -> void
{
    if (sink()) {
        sink()->locked_backend()->flush();
    }
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

namespace {

template <typename Fields>
auto writeEvent(LogLevel level, std::string_view event, const Fields& fields) -> void
{
    if (level < state().options_.level_) {
        return;
    }
    std::string line = "time=" + timestamp() + " level=" + levelNames.at(static_cast<std::size_t>(level))
        + " program=" + state().program_;
    if (!state().options_.node_.empty()) {
        line += " node=" + quoteLogValue(state().options_.node_);
    }
    line += " event=" + quoteLogValue(event);
    for (const auto& field : fields) {
        line += ' ' + field.key() + '=' + quoteLogValue(field.value());
    }
    static boost::log::sources::severity_logger_mt<int> logger;
    BOOST_LOG_SEV(logger, static_cast<int>(level)) << line;
}

} // namespace

auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) -> void
{
    writeEvent(level, event, fields);
}

auto logEvent(LogLevel level, std::string_view event, const std::vector<LogField>& fields) -> void
{
    writeEvent(level, event, fields);
}

} // namespace wagtailhead
