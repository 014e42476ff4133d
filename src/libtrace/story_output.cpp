#include "story_output.h"

#include "wagtailhead/log.h"

#include <iomanip>

namespace wagtailhead {

namespace {

auto roleName(StoryRole role) -> const char*
{
    return role == StoryRole::Request ? "request" : "belief";
}

auto printLine(std::ostream& out, const StoryLine& shown, bool decides) -> void
{
    const auto& line = shown.line_;
    out << (decides ? "=> " : "   ") << std::setw(12) << std::fixed << std::setprecision(1)
        << toMilliseconds(shown.sinceArrival_) << " ms" << (shown.clockKnown_ ? "  " : " ?") << ' '
        << line.node_ << ' ' << line.event_;
    for (const auto& [key, value] : line.fields_) {
        out << ' ' << key << '=' << quoteLogValue(value);
    }
    out << '\n';
}

} // namespace

auto printStory(std::ostream& out, const Story& story) -> void
{
    if (!story.found_) {
        out << "request " << story.id_ << ": no line names it";
        if (story.unreadable_ > 0) {
            out << "; " << story.unreadable_ << " lines could not be read";
        }
        out << '\n';
        return;
    }
    out << "request " << story.id_ << ": " << (story.ended_ ? story.outcome_ : std::string("end unknown"));
    if (!story.reason_.empty()) {
        out << ", " << story.reason_;
    }
    out << '\n';
    if (!story.explanation_.empty()) {
        out << story.explanation_ << '\n';
    }
    if (!story.deciding_.empty()) {
        out << "decided by the line marked =>: " << story.deciding_ << '\n';
    }
    out << '\n';
    for (std::size_t i = 0; i < story.lines_.size(); ++i) {
        printLine(out, story.lines_[i], !story.deciding_.empty() && i == story.decidingLine_);
    }
    out << "\ntimes are since the arrival at the caller's node, by its clock; ? marks nodes whose clock "
           "could "
           "not be compared\n";
    if (story.leftOut_ > 0) {
        out << "the nodes of this request left out " << static_cast<std::uint64_t>(story.leftOut_)
            << " lines about failed requests in that second\n";
    }
    if (story.unreadable_ > 0) {
        out << story.unreadable_ << " lines could not be read\n";
    }
}

auto storyJson(const Story& story) -> nlohmann::json
{
    nlohmann::json lines = nlohmann::json::array();
    for (const auto& shown : story.lines_) {
        nlohmann::json fields = nlohmann::json::object();
        for (const auto& [key, value] : shown.line_.fields_) {
            fields[key] = value;
        }
        lines.push_back({ { "ms", toMilliseconds(shown.sinceArrival_) }, { "clockKnown", shown.clockKnown_ },
            { "node", shown.line_.node_ }, { "event", shown.line_.event_ }, { "role", roleName(shown.role_) },
            { "fields", std::move(fields) } });
    }
    nlohmann::json clocks = nlohmann::json::object();
    for (const auto& [node, clock] : story.clocks_) {
        clocks[node] = { { "offsetMs", toMilliseconds(clock.offset_) }, { "known", clock.known_ } };
    }
    nlohmann::json json { { "id", story.id_ }, { "found", story.found_ }, { "ended", story.ended_ },
        { "outcome", story.outcome_ }, { "reason", story.reason_ }, { "explanation", story.explanation_ },
        { "lines", std::move(lines) }, { "clocks", std::move(clocks) },
        { "unreadableLines", story.unreadable_ }, { "linesLeftOut", story.leftOut_ } };
    if (!story.deciding_.empty()) {
        json["deciding"] = { { "line", story.decidingLine_ }, { "why", story.deciding_ } };
    }
    return json;
}

} // namespace wagtailhead
