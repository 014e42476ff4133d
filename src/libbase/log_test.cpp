#include "wagtailhead/log.h"

#include <array>
#include <criterion/criterion.h>
#include <poll.h>
#include <string>
#include <unistd.h>

using namespace wagtailhead;

/// Guards against a value that breaks the line or looks like further key=value pairs.
Test(log, values_with_special_characters_are_quoted)
{
    cr_assert_eq(quoteLogValue("plain"), "plain");
    cr_assert_eq(quoteLogValue("two words"), "\"two words\"");
    cr_assert_eq(quoteLogValue("a=b"), "\"a=b\"");
    cr_assert_eq(quoteLogValue("line\nbreak"), "\"line\\nbreak\"");
    cr_assert_eq(quoteLogValue(""), "\"\"");
}

namespace {

/// Standard output of this process as a pipe that a test reads when it likes.
class OutputPipe {
public:
    OutputPipe()
    {
        cr_assert(::pipe(ends_.data()) == 0);
        cr_assert(::dup2(ends_[1], STDOUT_FILENO) >= 0);
    }

    /// Returns what has been written so far.
    auto read() -> std::string
    {
        std::string text;
        std::array<char, 65536> part {};
        pollfd waited { ends_[0], POLLIN, 0 };
        while (::poll(&waited, 1, 0) == 1) {
            const auto size = ::read(ends_[0], part.data(), part.size());
            if (size <= 0) {
                break;
            }
            text.append(part.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

private:
    std::array<int, 2> ends_ {};
};

auto toOutput(bool buffered) -> LogOptions
{
    LogOptions options;
    options.stream_ = LogStream::StandardOutput;
    options.node_ = "n1";
    options.buffered_ = buffered;
    return options;
}

} // namespace

Test(log, a_line_names_program_node_and_event)
{
    OutputPipe output;
    initLog("log_test", toOutput(false));
    logEvent(LogLevel::Info, "happened", { { "share", 0.25 }, { "count", 3 }, { "text", "two words" } });
    const auto text = output.read();
    cr_assert(
        text.find(
            " level=info program=log_test node=n1 event=happened share=0.25 count=3 text=\"two words\"\n")
            != std::string::npos,
        "%s", text.c_str());
}

Test(log, buffered_lines_wait_for_the_flush)
{
    OutputPipe output;
    initLog("log_test", toOutput(true));
    logEvent(LogLevel::Info, "happened");
    cr_assert(output.read().empty());
    flushLog();
    cr_assert(output.read().find("event=happened") != std::string::npos);
}

/// Guards against requests that wait for whoever reads the log, and against lines that vanish without a word.
Test(log, a_reader_that_does_not_read_costs_lines_but_no_time, .timeout = 20)
{
    OutputPipe output;
    initLog("log_test", toOutput(false));
    const std::string filling(1000, 'x');
    constexpr int lines = 2000;
    for (int i = 0; i < lines; ++i) {
        logEvent(LogLevel::Info, "happened", { { "filling", filling } });
    }
    std::string text;
    for (int i = 0; i < 20; ++i) {
        text += output.read();
        flushLog();
    }
    const auto dropped = text.find("event=log_lines_dropped count=");
    cr_assert(dropped != std::string::npos);
    std::size_t written = 0;
    for (auto at = text.find("event=happened"); at != std::string::npos;
         at = text.find("event=happened", at + 1)) {
        ++written;
    }
    const auto count
        = std::stoul(text.substr(dropped + std::string_view("event=log_lines_dropped count=").size()));
    cr_assert(written + count == lines, "%zu written, %lu dropped", written, count);
}
