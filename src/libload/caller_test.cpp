#include "answer_check.h"
#include "mesh_rows.h"
#include "node_picker.h"
#include "process_usage.h"
#include "series.h"

#include <criterion/criterion.h>
#include <set>

using namespace wagtailhead;
using namespace wagtailhead::load;

namespace {

auto response(int status, const char* outcome, const char* reason) -> HttpResponse
{
    return { status,
        { { "Wagtailhead-Outcome", outcome }, { "Wagtailhead-Reason", reason },
            { "Wagtailhead-Request-Id", "000000000000002a" } },
        "" };
}

} // namespace

/// Guards against answers that are taken for something better than they are.
Test(answer_check, ends)
{
    cr_assert(readAnswer(response(200, "completed", "ok")).end_ == AttemptEnd::Completed);
    cr_assert(readAnswer(response(502, "completed", "ok")).end_ == AttemptEnd::Failed);
    cr_assert(readAnswer(response(503, "not-run", "shed")).end_ == AttemptEnd::NotRun);
    cr_assert(readAnswer(response(504, "unknown", "deadline")).end_ == AttemptEnd::Unknown);
    cr_assert(readAnswer(HttpResponse { 200, {}, "" }).end_ == AttemptEnd::NoAnswer);
    cr_assert(readAnswer(HttpFailure::Timeout).end_ == AttemptEnd::NoAnswer);
    cr_assert_eq(readAnswer(response(503, "not-run", "shed")).reason_, "shed");
    cr_assert_eq(readAnswer(response(503, "not-run", "shed")).requestId_, 42U);
}

/// Guards against cut answers, damaged bytes and answers of other requests.
Test(answer_check, belongs_to_its_request)
{
    const std::string head = R"({"key":"k","path":"/orders")";
    cr_assert(belongsTo(head + "}", "k", "/orders"));
    cr_assert(!belongsTo(head + "}", "other", "/orders"));
    cr_assert(!belongsTo(head + "}", "k", "/orders/2"));
    const std::string padded = head + R"(,"paddingUnit":"ab","padding":"ababab"})";
    cr_assert(belongsTo(padded, "k", "/orders"));
    cr_assert(!belongsTo(padded.substr(0, padded.size() - 3), "k", "/orders"));
    cr_assert(!belongsTo(head + R"(,"paddingUnit":"ab","padding":"abaXab"})", "k", "/orders"));
    cr_assert(!belongsTo(head + R"(,"paddingUnit":"ab","padding":"ababa"})", "k", "/orders"));
    cr_assert(!belongsTo("[]", "", ""));
}

/// Guards against load on anything but loopback addresses, and against status lines that are misread.
Test(mesh_rows, only_loopback_is_accepted)
{
    const std::string row
        = "role=node pid=7 zone=riga-a region=riga service=krajums http=127.1.1.9:80 node=k-1\n";
    const auto parsed = parseMeshStatus(row);
    cr_assert(isOk(parsed));
    cr_assert_eq(valueOf(parsed).nodes_.front().region_, "riga");
    cr_assert_eq(valueOf(parsed).nodes_.front().pid_, 7);
    auto foreign = row;
    foreign.replace(foreign.find("127.1.1.9"), 9, "10.1.1.99");
    cr_assert(!isOk(parseMeshStatus(foreign)));
    cr_assert(!isOk(parseMeshStatus("role=node pid=7 zone=riga-a http=127.0.0.1:80 node=k-1")));
    cr_assert(!isOk(parseMeshStatus("")));
}

/// Guards against zones without callers, and repeats that stay at the node that failed.
Test(node_picker, spreads_and_moves)
{
    std::vector<MeshProcess> nodes(5);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        nodes[i].zone_ = i < 3 ? "a" : "b";
    }
    NodePicker picker(nodes, 1);
    int inB = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto first = picker.first();
        inB += first >= 3 ? 1 : 0;
        cr_assert_eq(picker.repeat(first, RepeatThrough::SameNode), first);
        const auto other = picker.repeat(first, RepeatThrough::OtherNode);
        cr_assert_neq(other, first);
        cr_assert_eq(nodes[other].zone_, nodes[first].zone_);
        cr_assert_neq(nodes[picker.repeat(first, RepeatThrough::OtherZone)].zone_, nodes[first].zone_);
    }
    cr_assert_float_eq(inB, 500, 80); // Zones get equal shares, although b has fewer nodes.
    NodePicker lonely({ nodes[0] }, 1);
    cr_assert_eq(lonely.repeat(0, RepeatThrough::OtherZone), 0U);
}

/// Guards against program names that shift the fields of /proc/PID/stat.
Test(process_usage, cpu_ticks)
{
    cr_assert_float_eq(cpuTicks("12 (a) b (c) S 1 2 3 4 5 6 7 8 9 10 30 12 0 0"), 42, 1e-9);
    cr_assert_float_eq(cpuTicks("12 (a) S 1"), 0, 1e-9);
}

/// Guards against requests that count in the wrong interval: goodput by completion, windows by arrival.
Test(series, intervals_and_windows)
{
    const TimePoint begin { seconds(10) };
    const auto record = [&](int arrivedMs, int endedMs, AttemptEnd end) {
        return RequestRecord { 0, begin + milliseconds(arrivedMs), "",
            { { begin, begin + milliseconds(endedMs), end, "", 0 } }, true };
    };
    const Records records { record(10, 250, AttemptEnd::Completed), record(90, 95, AttemptEnd::NotRun),
        record(600, 700, AttemptEnd::Completed) };
    const auto series = goodputSeries(records, 1, begin, milliseconds(100));
    cr_assert_eq(series.size(), 8U);
    cr_assert_eq(series[0].arrived_, 2U);
    cr_assert_eq(series[0].goodTotal(), 0U);
    cr_assert_eq(series[2].goodTotal(), 1U);
    cr_assert_eq(series[7].goodTotal(), 1U);
    const auto windows = arrivalWindows(records, begin, seconds(1), milliseconds(500));
    cr_assert_eq(windows.size(), 2U);
    cr_assert_eq(windows[0].arrived_, 2U);
    cr_assert_eq(windows[0].good_, 1U);
    cr_assert_float_eq(windows[0].goodShare(), 0.5, 1e-9);
    cr_assert_float_eq(toMilliseconds(windows[0].p99_), 240, 4);
    cr_assert_float_eq(toMilliseconds(windows[1].p99_), 100, 2);
}
