#include "request_metrics.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto traceOf(const std::string& route) -> RequestTrace
{
    RequestTrace trace;
    trace.route_ = route;
    trace.service_ = "stock";
    trace.time_ = milliseconds(30);
    return trace;
}

auto count(const std::string& text, const std::string& part) -> std::size_t
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

} // namespace

Test(request_metrics, count_by_route_outcome_and_reason)
{
    RequestMetrics metrics;
    metrics.onRequest(traceOf("browse"), RequestOutcome::Refused, "shed");
    metrics.onRequest(traceOf("browse"), RequestOutcome::Refused, "shed");
    metrics.onRequest(traceOf("order"), RequestOutcome::Answered, "");
    metrics.onGate("not-run", "busy", milliseconds(5), {});
    metrics.onGate("answered", "none", milliseconds(5), milliseconds(20));
    const auto text = metricsText();
    cr_assert(text.find(R"(wagtailhead_requests_total{outcome="refused",reason="shed",route="browse"} 2)")
        != std::string::npos);
    cr_assert(text.find(R"(wagtailhead_request_seconds_count{outcome="answered",service="stock"} 1)")
        != std::string::npos);
    cr_assert(text.find(R"(wagtailhead_gate_requests_total{outcome="not-run",reason="busy"} 1)")
        != std::string::npos);
    cr_assert(text.find("wagtailhead_backend_seconds_count 1") != std::string::npos,
        "a refused request was not at the backend server");
}

/// Guards against a configuration with hundreds of routes that fills the memory with time series.
Test(request_metrics, labels_are_bounded)
{
    RequestMetrics metrics;
    for (int i = 0; i < 1000; ++i) {
        metrics.onRequest(traceOf("route-" + std::to_string(i)), RequestOutcome::Answered, "");
    }
    const auto text = metricsText();
    cr_assert(
        count(text, "wagtailhead_requests_total{") == 65, "%zu", count(text, "wagtailhead_requests_total{"));
    cr_assert(text.find(R"(route="other"} 936)") != std::string::npos);
}
