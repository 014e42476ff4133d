#include "log_story.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace wagtailhead {

namespace {

using WallTime = WallClock::time_point;

/// Beliefs of this age at most explain an overload: levels are told at least twice a second.
constexpr Duration levelWindow = seconds(3);
/// Lines that were left out are reported once a second.
constexpr Duration leftOutWindow = milliseconds(1500);
/// Nodes with the highest levels that are shown for an overload.
constexpr std::size_t shownOverloaded = 3;

constexpr std::array beliefEvents { "started", "stopping", "stopped", "configuration_adopted",
    "configuration_refused", "node_changed", "backend_changed", "backend_suspected", "backend_trusted",
    "level_changed", "link_open", "link_lost", "store_lost", "store_regained", "reloaded", "load" };

struct Explanation {
    const char* reason_;
    const char* text_;
};

constexpr std::array explanations {
    Explanation { "shed",
        "refused before any work was done: a service that the route leads to reports overload; see the nodes "
        "of that "
        "service with the highest level" },
    Explanation { "busy", "every gate that was asked had no room within the longest wait" },
    Explanation { "draining", "the backend server had said that it leaves" },
    Explanation { "stopping", "the node that was asked was about to end" },
    Explanation {
        "unavailable", "the nodes that were asked had no backend server to use or were not reached" },
    Explanation {
        "no-backend", "the caller's node knew no node with a ready backend server that it had not tried" },
    Explanation { "no-configuration", "the node had no configuration yet" },
    Explanation { "no-route", "no route of the configuration in force has this host and path" },
    Explanation { "no-attempt-id", "the request named no attempt id" },
    Explanation { "no-time", "too little time was left for another attempt" },
    Explanation { "expired", "the deadline had passed before the request was sent to the backend server" },
    Explanation {
        "lost", "the connection to the backend server or its node broke: the request may have run" },
    Explanation { "malformed", "what the backend server sent was not the answer to this request" },
    Explanation { "timeout", "no answer came in the time of the route" },
    Explanation { "duplicate", "the attempt had been passed on before" },
    Explanation { "backend-failed", "the backend server answered a failure: see its own logs" },
    Explanation { "caller-gone", "the caller closed its connection before the answer" },
};

auto explain(const std::string& reason) -> std::string
{
    for (const auto& known : explanations) {
        if (reason == known.reason_) {
            return known.text_;
        }
    }
    return reason.empty() ? "the backend server's answer was passed on" : "";
}

auto isBelief(const std::string& event) -> bool
{
    return std::find(beliefEvents.begin(), beliefEvents.end(), event) != beliefEvents.end();
}

/// Picks the lines of one request and the beliefs behind them.
class Teller {
public:
    Teller(const std::string& id, const std::vector<LogLine>& lines)
        : id_(id)
        , lines_(lines)
    {
    }

    auto tell() -> Story;

private:
    struct Decision {
        const LogLine* line_ = nullptr;
        std::string why_;
    };

    auto findEnd() -> void;
    auto timeOf(const LogLine& line) const -> WallTime;
    auto addRequestLines() -> void;
    auto addBeliefs() -> void;
    auto addLast(const std::string& node, const std::string& event, const std::string& key = "",
        const std::string& value = "") -> const LogLine*;
    auto addOverloaded() -> const LogLine*;
    auto lastBefore(const std::string& node, const std::string& event, const std::string& key,
        const std::string& value) const -> const LogLine*;
    auto requestLine(const std::string& event, const std::string& node = "") const -> const LogLine*;
    auto decide() -> Decision;
    auto decideByGate() -> Decision;
    auto decideLost() -> Decision;
    auto add(const LogLine* line, StoryRole role) -> void;
    auto countLeftOut() -> double;

    const std::string& id_;
    const std::vector<LogLine>& lines_;
    Story story_;
    const LogLine* end_ = nullptr;
    std::string callersNode_;
    std::string lastNode_; ///< The node of the last attempt.
    WallTime arrived_;
    WallTime ended_;
    std::set<const LogLine*> chosen_;
};

auto Teller::findEnd() -> void
{
    for (const auto& line : lines_) {
        if (line.find("attempt") != id_) {
            continue;
        }
        story_.found_ = true;
        if (line.event_ == "request_ended") {
            end_ = &line;
        } else if (line.event_ == "attempt_ended") {
            callersNode_ = line.node_;
            lastNode_ = line.find("to_node");
        }
    }
    if (end_ != nullptr) {
        story_.ended_ = true;
        story_.outcome_ = end_->find("outcome");
        story_.reason_ = end_->find("reason");
        callersNode_ = end_->node_;
    }
}

auto Teller::timeOf(const LogLine& line) const -> WallTime
{
    const auto found = story_.clocks_.find(line.node_);
    return found == story_.clocks_.end() ? line.time_ : line.time_ + found->second.offset_;
}

auto Teller::add(const LogLine* line, StoryRole role) -> void
{
    if (line == nullptr || !chosen_.insert(line).second) {
        return;
    }
    const auto& clock = story_.clocks_[line->node_];
    story_.lines_.push_back({ *line, role, timeOf(*line) - arrived_, clock.known_ });
}

auto Teller::addRequestLines() -> void
{
    for (const auto& line : lines_) {
        if (line.find("attempt") == id_) {
            add(&line, StoryRole::Request);
        }
    }
}

auto Teller::lastBefore(const std::string& node, const std::string& event, const std::string& key,
    const std::string& value) const -> const LogLine*
{
    const LogLine* last = nullptr;
    for (const auto& line : lines_) {
        if (line.event_ == event && line.node_ == node && (key.empty() || line.find(key) == value)
            && timeOf(line) <= ended_ && (last == nullptr || line.time_ >= last->time_)) {
            last = &line;
        }
    }
    return last;
}

auto Teller::addLast(const std::string& node, const std::string& event, const std::string& key,
    const std::string& value) -> const LogLine*
{
    const auto* line = lastBefore(node, event, key, value);
    add(line, StoryRole::Belief);
    return line;
}

auto Teller::requestLine(const std::string& event, const std::string& node) const -> const LogLine*
{
    const LogLine* last = nullptr;
    for (const auto& line : lines_) {
        if (line.event_ == event && line.find("attempt") == id_ && (node.empty() || line.node_ == node)) {
            last = &line;
        }
    }
    return last;
}

auto Teller::addBeliefs() -> void
{
    if (!callersNode_.empty()) {
        addLast(callersNode_, "configuration_adopted");
        addLast(callersNode_, "store_lost");
    }
    std::set<std::string> nodes;
    for (const auto& line : lines_) {
        if (line.event_ == "attempt_ended" && line.find("attempt") == id_) {
            nodes.insert(std::string(line.find("to_node")));
        }
    }
    for (const auto& node : nodes) {
        addLast(callersNode_, "node_changed", "peer", node);
        addLast(callersNode_, "link_lost", "peer", node);
        addLast(callersNode_, "backend_suspected", "peer", node);
        addLast(node, "backend_changed");
        addLast(node, "level_changed");
        addLast(node, "stopping");
        addLast(node, "load");
    }
}

/// Adds the loads of the nodes that refused most when the request was refused.
auto Teller::addOverloaded() -> const LogLine*
{
    std::map<std::string, const LogLine*> loads; // The last one of each node.
    for (const auto& line : lines_) {
        const auto age = ended_ - timeOf(line);
        if ((line.event_ == "load" || line.event_ == "level_changed") && age >= Duration::zero()
            && age < levelWindow) {
            auto& last = loads[line.node_];
            last = last == nullptr || line.time_ >= last->time_ ? &line : last;
        }
    }
    std::vector<const LogLine*> highest;
    for (const auto& [node, line] : loads) {
        if (line->number("shed_level") > 0) {
            highest.push_back(line);
        }
    }
    std::sort(highest.begin(), highest.end(), [](const LogLine* left, const LogLine* right) {
        return left->number("shed_level") > right->number("shed_level");
    });
    highest.resize(std::min(highest.size(), shownOverloaded));
    for (const auto* line : highest) {
        add(line, StoryRole::Belief);
        addLast(line->node_, "started");
    }
    return highest.empty() ? nullptr : highest.front();
}

auto Teller::decideByGate() -> Decision
{
    if (const auto* refused = requestLine("gate_refused", lastNode_)) {
        return { refused, "the gate of the last node asked refused it" };
    }
    if (const auto* ended = requestLine("gate_ended", lastNode_)) {
        return { ended, "the gate of the last node asked ended it" };
    }
    if (const auto* stopping = lastBefore(lastNode_, "stopping", "", "")) {
        return { stopping, "the node was stopping" };
    }
    return { requestLine("attempt_ended"), "the last attempt, as the caller's node saw it" };
}

auto Teller::decideLost() -> Decision
{
    if (const auto* failed = requestLine("backend_call_failed")) {
        return { failed, "the gate lost the backend server after it had passed the request on" };
    }
    if (const auto* fence = requestLine("fence")) {
        return { fence, "the node was asked whether the attempt had started" };
    }
    if (const auto* link = lastBefore(callersNode_, "link_lost", "peer", lastNode_)) {
        return { link, "the link to the node broke while it had the request" };
    }
    return decideByGate();
}

auto Teller::decide() -> Decision
{
    if (end_ == nullptr) {
        return {};
    }
    const auto& reason = story_.reason_;
    if (reason == "shed") {
        const auto* load = addOverloaded();
        return load != nullptr ? Decision { load, "this node reported the highest level at that time" }
                               : Decision { end_, "the level that the caller's node knew" };
    }
    if (reason == "malformed") {
        const auto* rejected = requestLine("answer_rejected");
        return rejected != nullptr ? Decision { rejected, "the gate rejected the answer" } : decideLost();
    }
    if (reason == "lost") {
        return decideLost();
    }
    if (reason == "no-backend") {
        const auto* attempt = requestLine("attempt_ended");
        return attempt != nullptr ? Decision { attempt, "the last node that was left" }
                                  : Decision { end_, "no node was left to ask" };
    }
    if (reason == "no-configuration") {
        const auto* lost = lastBefore(callersNode_, "store_lost", "", "");
        return lost != nullptr ? Decision { lost, "the store could not be reached" }
                               : Decision { end_, "no configuration had been adopted" };
    }
    if (reason == "no-route") {
        const auto* adopted = lastBefore(callersNode_, "configuration_adopted", "", "");
        return { adopted != nullptr ? adopted : end_, "the configuration in force" };
    }
    if (reason.empty() || reason == "caller-gone" || reason == "no-attempt-id") {
        return { end_, "the end of the request" };
    }
    return decideByGate();
}

auto Teller::countLeftOut() -> double
{
    double count = 0;
    for (const auto& line : lines_) {
        const auto distance = timeOf(line) - ended_;
        if (line.event_ == "load" && distance >= Duration::zero() && distance < leftOutWindow
            && (line.node_ == callersNode_ || line.node_ == lastNode_)) {
            count += line.number("lines_left_out");
        }
    }
    return count;
}

auto Teller::tell() -> Story
{
    story_.id_ = id_;
    findEnd();
    if (!story_.found_) {
        return std::move(story_);
    }
    const auto clocks = alignClocks(lines_, callersNode_);
    story_.clocks_ = clocks;
    const auto* reference = end_ != nullptr ? end_ : requestLine("attempt_ended");
    if (reference == nullptr) {
        const auto first = std::find_if(lines_.begin(), lines_.end(), [&](const LogLine& line) {
            return line.find("attempt") == id_;
        });
        reference = &*first;
    }
    ended_ = timeOf(*reference);
    const std::chrono::duration<double, std::milli> spent(end_ != nullptr ? end_->number("ms") : 0);
    arrived_ = ended_ - std::chrono::duration_cast<Duration>(spent);
    addRequestLines();
    addBeliefs();
    const auto decision = decide();
    add(decision.line_, StoryRole::Belief);
    story_.explanation_ = end_ != nullptr
        ? explain(story_.reason_)
        : "the line of its end is missing: the caller's node ended before it, or left the line out";
    story_.leftOut_ = countLeftOut();
    std::stable_sort(
        story_.lines_.begin(), story_.lines_.end(), [](const StoryLine& left, const StoryLine& right) {
            return left.sinceArrival_ < right.sinceArrival_;
        });
    for (std::size_t i = 0; decision.line_ != nullptr && i < story_.lines_.size(); ++i) {
        const auto& line = story_.lines_[i].line_;
        if (line.time_ == decision.line_->time_ && line.node_ == decision.line_->node_
            && line.event_ == decision.line_->event_ && line.fields_ == decision.line_->fields_) {
            story_.deciding_ = decision.why_;
            story_.decidingLine_ = i;
        }
    }
    std::set<std::string> shown;
    for (const auto& line : story_.lines_) {
        shown.insert(line.line_.node_);
    }
    std::erase_if(story_.clocks_, [&](const auto& clock) {
        return shown.count(clock.first) == 0;
    });
    return std::move(story_);
}

} // namespace

StoryReader::StoryReader(std::string id)
    : id_(std::move(id))
{
}

auto StoryReader::read(std::istream& in) -> void
{
    std::string text;
    while (std::getline(in, text)) {
        auto line = parseLogLine(text);
        if (!line) {
            ++unreadable_;
            continue;
        }
        // Ends of other requests show how far clocks differ.
        const bool aligning = line->event_ == "request_ended" || line->event_ == "attempt_ended"
            || line->event_ == "gate_ended" || line->event_ == "gate_refused";
        if (line->find("attempt") == id_ || aligning || isBelief(line->event_)) {
            lines_.push_back(std::move(*line));
        }
    }
}

auto StoryReader::tell() const -> Story
{
    auto story = Teller(id_, lines_).tell();
    story.unreadable_ = unreadable_;
    return story;
}

} // namespace wagtailhead
