#include "log_story.h"
#include "story_output.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <random>
#include <sstream>

using namespace wagtailhead;

namespace {

/// Lines as two nodes wrote them. The clock of n2 is three seconds ahead.
constexpr auto overload
    = R"(time=2026-01-09T06:30:20.000Z level=info program=p node=n1 event=started incarnation=5 zone=a service=shop
time=2026-01-09T06:30:21.000Z level=info program=p node=n1 event=configuration_adopted source=store version=3 before=0 routes=22
time=2026-01-09T06:30:23.100Z level=info program=p node=n2 event=started incarnation=6 zone=a service=stock
time=2026-01-09T06:30:33.500Z level=info program=p node=n2 event=load running=23 queued=9 limit=23 shed_level=1.4 called_level=0
time=2026-01-09T06:30:30.600Z level=info program=p node=n1 event=load running=2 queued=0 limit=138 shed_level=0 called_level=1.4 lines_left_out=0
time=2026-01-09T06:30:30.700Z level=info program=p node=n1 event=request_ended attempt=r1 route=browse service=shop outcome=refused status=503 reason=shed ms=0.2 attempts=0 arrivals=0 shed_level=1.4 shed_level_age_ms=35 config=3 sampled=0
time=2026-01-09T06:30:31.300Z level=info program=p node=n1 event=load running=2 queued=0 limit=138 shed_level=0 called_level=1.3 lines_left_out=7
time=2026-01-09T06:30:34.020Z level=info program=p node=n2 event=gate_ended attempt=r2 from_node=n1 outcome=answered queued_ms=0 backend_ms=20
time=2026-01-09T06:30:31.022Z level=info program=p node=n1 event=attempt_ended attempt=r2 number=1 to_node=n2 at_ms=1 ms=21 outcome=answered
time=2026-01-09T06:30:31.022Z level=info program=p node=n1 event=request_ended attempt=r2 outcome=answered status=200 reason="" ms=22
)";

constexpr auto lostOrder
    = R"(time=2026-01-09T06:30:40.000Z level=info program=p node=n2 event=backend_changed backend=i-1 phase=ready capacity=25
time=2026-01-09T06:30:41.150Z level=warning program=p node=n2 event=backend_call_failed attempt=o1 backend=i-1 failure=lost after_ms=140
time=2026-01-09T06:30:41.151Z level=info program=p node=n2 event=gate_ended attempt=o1 from_node=n1 outcome=unknown reason=lost queued_ms=0 backend_ms=140
time=2026-01-09T06:30:41.152Z level=info program=p node=n1 event=attempt_ended attempt=o1 number=1 to_node=n2 at_ms=0.5 ms=141 outcome=unknown reason=lost arrived=1 next=may-have-run
time=2026-01-09T06:30:41.152Z level=info program=p node=n1 event=request_ended attempt=o1 route=order service=shop outcome=failed status=502 reason=lost ms=142 attempts=1 arrivals=1 config=3
)";

auto storyOf(const std::string& id, const std::string& text) -> Story
{
    StoryReader reader(id);
    std::istringstream in(text);
    reader.read(in);
    return reader.tell();
}

auto decidingEvent(const Story& story) -> std::string
{
    return story.deciding_.empty() ? "" : story.lines_.at(story.decidingLine_).line_.event_;
}

auto linesOf(const std::string& text) -> std::vector<std::string>
{
    std::vector<std::string> lines;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
        lines.push_back(line);
    }
    return lines;
}

auto joined(const std::vector<std::string>& lines) -> std::string
{
    std::string text;
    for (const auto& line : lines) {
        text += line + '\n';
    }
    return text;
}

} // namespace

Test(log_line, is_read_with_quotes_and_whatever_stands_before_it)
{
    const auto line = parseLogLine(
        R"(host1 sidecar: time=2026-01-09T06:30:25.020Z level=info program=p node=n1 event=x text="two \"words\"\n" level_x=1 shed_level=0.5)");
    cr_assert(line && line->node_ == "n1" && line->event_ == "x");
    cr_assert(line->find("text") == "two \"words\"\n");
    cr_assert(line->number("shed_level") == 0.5);
    cr_assert(line->find("missing").empty() && line->number("text") == 0);
    const auto milli
        = std::chrono::duration_cast<milliseconds>(line->time_.time_since_epoch()).count() % 1000;
    cr_assert(milli == 20);
}

Test(log_line, that_is_cut_or_foreign_is_refused)
{
    const char* texts[] = { "", "hello", "time=", "time=2026-01-09T06:30:25.020Z", "time=yesterday event=x",
        "time=2026-01-09T06:30:25Z event=x", "time=2026-01-09T06:30:25.020Z event=x text=\"cut",
        "time=2026-01-09T06:30:25.020Z event=x cut", "notime=2026-01-09T06:30:25.020Z event=x" };
    for (const auto* text : texts) {
        cr_expect(!parseLogLine(text), "%s", text);
    }
}

Test(log_story, a_refusal_under_overload_leads_to_the_node_that_refuses)
{
    const auto story = storyOf("r1", overload);
    cr_assert(story.found_ && story.ended_ && story.outcome_ == "refused" && story.reason_ == "shed");
    cr_assert(decidingEvent(story) == "load");
    cr_assert(
        story.lines_.at(story.decidingLine_).line_.node_ == "n2", "not the node that only passes it on");
    cr_assert(story.leftOut_ == 7);
    cr_assert(!story.explanation_.empty());
}

Test(log_story, clock_differences_are_allowed_for)
{
    const auto story = storyOf("r1", overload);
    const auto& clock = story.clocks_.at("n2");
    cr_assert(clock.known_);
    cr_assert(std::abs(toMilliseconds(clock.offset_) + 2999) < 2, "%f", toMilliseconds(clock.offset_));
    const auto& load = story.lines_.at(story.decidingLine_);
    cr_assert(load.sinceArrival_ < Duration::zero() && load.sinceArrival_ > -milliseconds(300));
}

Test(log_story, an_unknown_order_leads_to_the_gate_that_lost_the_backend_server)
{
    const auto story = storyOf("o1", lostOrder);
    cr_assert(decidingEvent(story) == "backend_call_failed");
    cr_assert(story.lines_.front().line_.event_ == "backend_changed", "the belief before it");
    cr_assert(story.lines_.front().role_ == StoryRole::Belief);
}

Test(log_story, does_not_depend_on_the_order_of_the_lines)
{
    auto lines = linesOf(std::string(overload) + lostOrder);
    const auto expected = storyJson(storyOf("o1", joined(lines)));
    std::mt19937 random(1);
    for (int i = 0; i < 20; ++i) {
        std::shuffle(lines.begin(), lines.end(), random);
        const auto story = storyOf("o1", joined(lines));
        cr_assert(decidingEvent(story) == "backend_call_failed");
        cr_assert(story.lines_.size() == expected.at("lines").size());
    }
}

Test(log_story, missing_lines_leave_the_best_that_is_left)
{
    struct Case {
        const char* without_;
        const char* deciding_;
    };
    const Case cases[] = {
        { "backend_call_failed", "gate_ended" },
        { "gate_ended", "backend_call_failed" },
        { "attempt_ended", "backend_call_failed" },
        { " node=n2 ", "attempt_ended" },
        { "request_ended", "" },
    };
    for (const auto& one : cases) {
        auto lines = linesOf(lostOrder);
        std::erase_if(lines, [&](const std::string& line) {
            return line.find(one.without_) != std::string::npos;
        });
        const auto story = storyOf("o1", joined(lines));
        cr_expect(decidingEvent(story) == one.deciding_, "without %s: %s", one.without_,
            decidingEvent(story).c_str());
        cr_expect(!story.explanation_.empty(), "without %s", one.without_);
    }
}

Test(log_story, cut_lines_are_counted)
{
    auto lines = linesOf(lostOrder);
    lines[1].resize(lines[1].find("failure=lo") + 3);
    lines.emplace_back("garbage");
    const auto story = storyOf("o1", joined(lines));
    cr_assert(story.unreadable_ == 2);
    cr_assert(decidingEvent(story) == "gate_ended");
}

Test(log_story, of_an_id_that_nobody_names)
{
    const auto story = storyOf("other", lostOrder);
    cr_assert(!story.found_ && story.lines_.empty());
    std::ostringstream out;
    printStory(out, story);
    cr_assert(out.str() == "request other: no line names it\n");
}

Test(story_output, marks_the_deciding_line)
{
    std::ostringstream out;
    printStory(out, storyOf("o1", lostOrder));
    const auto text = out.str();
    cr_assert(text.find("request o1: failed, lost\n") == 0);
    const auto marked = text.find("\n=> ");
    cr_assert(marked != std::string::npos);
    cr_assert(
        text.substr(marked, 100).find("n2 backend_call_failed") != std::string::npos, "%s", text.c_str());
    const auto json = storyJson(storyOf("o1", lostOrder));
    cr_assert(json.at("deciding").at("line") == 1);
    cr_assert(json.at("lines").at(1).at("event") == "backend_call_failed");
}
