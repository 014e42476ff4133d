#include "clock_alignment.h"

#include <algorithm>
#include <deque>

namespace wagtailhead {

namespace {

using WallTime = WallClock::time_point;

/// A span of time by the clock of one node.
struct Span {
    WallTime begin_;
    WallTime end_;
};

/// Bounds of the offset that makes one clock agree with another.
struct Bounds {
    Duration least_ = Duration::min();
    Duration most_ = Duration::max();
};

auto millisecondsOf(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

using AttemptKey = std::pair<std::string, std::string>; ///< Attempt id and the node that it was sent to.
using NodePair = std::pair<std::string, std::string>;

/// Returns the spans in which callers' nodes waited for an attempt, with the caller's node.
auto sendersOf(const std::vector<LogLine>& lines) -> std::map<AttemptKey, std::pair<std::string, Span>>
{
    std::map<std::string, const LogLine*> ends; // By attempt id.
    for (const auto& line : lines) {
        if (line.event_ == "request_ended") {
            ends[std::string(line.find("attempt"))] = &line;
        }
    }
    std::map<AttemptKey, std::pair<std::string, Span>> senders;
    for (const auto& line : lines) {
        const auto end = ends.find(std::string(line.find("attempt")));
        if (line.event_ != "attempt_ended" || end == ends.end() || end->second->node_ != line.node_) {
            continue;
        }
        const auto arrived = end->second->time_ - millisecondsOf(end->second->number("ms"));
        const auto sent = arrived + millisecondsOf(line.number("at_ms"));
        const Span span { sent, sent + millisecondsOf(line.number("ms")) };
        senders[{ end->first, std::string(line.find("to_node")) }] = { line.node_, span };
    }
    return senders;
}

auto narrow(Bounds& bounds, const Bounds& other) -> void
{
    const auto least = std::max(bounds.least_, other.least_);
    const auto most = std::min(bounds.most_, other.most_);
    // A clock that has been set in between gives bounds that exclude each other: the later ones hold.
    bounds = least <= most ? Bounds { least, most } : other;
}

/// Returns the bounds of the offset from the second node of a pair to the first.
auto boundsOf(const std::vector<LogLine>& lines) -> std::map<NodePair, Bounds>
{
    const auto senders = sendersOf(lines);
    std::map<NodePair, Bounds> pairs;
    for (const auto& line : lines) {
        const bool refused = line.event_ == "gate_refused";
        const auto sender = senders.find({ std::string(line.find("attempt")), line.node_ });
        if ((!refused && line.event_ != "gate_ended") || sender == senders.end()
            || sender->second.first == line.node_) {
            continue;
        }
        const auto spent = refused ? Duration::zero()
                                   : millisecondsOf(line.number("queued_ms") + line.number("backend_ms"));
        const auto& span = sender->second.second;
        narrow(pairs[{ sender->second.first, line.node_ }],
            { span.begin_ - (line.time_ - spent), span.end_ - line.time_ });
    }
    return pairs;
}

} // namespace

auto alignClocks(const std::vector<LogLine>& lines, const std::string& reference)
    -> std::map<std::string, ClockOffset>
{
    std::map<std::string, std::map<std::string, Duration>> neighbours;
    for (const auto& [pair, bounds] : boundsOf(lines)) {
        const auto middle = bounds.least_ + (bounds.most_ - bounds.least_) / 2;
        neighbours[pair.first][pair.second] = middle;
        neighbours[pair.second].emplace(pair.first, -middle);
    }
    std::map<std::string, ClockOffset> offsets;
    for (const auto& line : lines) {
        offsets[line.node_];
    }
    offsets[reference] = { Duration::zero(), true };
    std::deque<std::string> reached { reference };
    while (!reached.empty()) {
        const auto node = reached.front();
        reached.pop_front();
        for (const auto& [neighbour, offset] : neighbours[node]) {
            if (!offsets[neighbour].known_) {
                offsets[neighbour] = { offsets[node].offset_ + offset, true };
                reached.push_back(neighbour);
            }
        }
    }
    return offsets;
}

} // namespace wagtailhead
