/// The story of one request, told from the logs of several nodes.
#pragma once

#include "clock_alignment.h"

#include <istream>
#include <string>
#include <vector>

namespace wagtailhead {

enum class StoryRole : std::uint8_t {
    Request, ///< Names the request.
    Belief, ///< What a node believed when it decided.
};

struct StoryLine {
    LogLine line_;
    StoryRole role_ = StoryRole::Request;
    Duration sinceArrival_ {}; ///< By the clock of the caller's node.
    bool clockKnown_ = false;
};

struct Story {
    std::string id_;
    bool found_ = false; ///< Any line names the request.
    bool ended_ = false; ///< The line of its end is there.
    std::string outcome_;
    std::string reason_;
    std::string explanation_; ///< What the reason means, and where to look next.
    std::string deciding_; ///< Why the deciding line decided; empty if none was found.
    std::vector<StoryLine> lines_; ///< In the order of time.
    std::size_t decidingLine_ = 0; ///< Into lines_; valid if deciding_ is not empty.
    std::map<std::string, ClockOffset> clocks_; ///< Of the nodes in lines_.
    std::uint64_t unreadable_ = 0; ///< Lines that could not be read.
    double leftOut_ = 0; ///< Lines that the nodes of the request say they left out around its end.
};

/// Collects log lines in any order and from any number of files. Keeps those that name one request and those
/// that tell what a node believes. Not thread safe.
class StoryReader {
public:
    explicit StoryReader(std::string id);

    /// Reads all lines of a stream.
    auto read(std::istream& in) -> void;

    /// Tells the story of what has been read so far.
    auto tell() const -> Story;

private:
    std::string id_;
    std::vector<LogLine> lines_;
    std::uint64_t unreadable_ = 0;
};

} // namespace wagtailhead
