#include "request_metrics.h"

namespace wagtailhead {

namespace {

auto secondsOf(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

auto BoundedLabel::of(std::string_view value) -> std::string
{
    if (values_.find(value) != values_.end()) {
        return std::string(value);
    }
    if (values_.size() >= most_) {
        return "other";
    }
    return *values_.emplace(value).first;
}

auto RequestMetrics::requestCounter(
    const RequestTrace& trace, RequestOutcome outcome, std::string_view reason) -> prometheus::Counter&
{
    auto& counter = requests_[{ routes_.of(trace.route_), outcome, std::string(reason) }];
    if (counter == nullptr) {
        counter = &wagtailhead::counter("wagtailhead_requests_total", "Requests of callers by their end.",
            { { "route", routes_.of(trace.route_) }, { "outcome", requestOutcomeName(outcome) },
                { "reason", std::string(reason) } });
    }
    return *counter;
}

auto RequestMetrics::latencyOf(const std::string& service, RequestOutcome outcome) -> prometheus::Histogram&
{
    auto& histogram = latencies_[{ services_.of(service), outcome }];
    if (histogram == nullptr) {
        histogram = &latencyHistogram("wagtailhead_request_seconds",
            "Time from the arrival of a request to its answer.",
            { { "service", services_.of(service) }, { "outcome", requestOutcomeName(outcome) } });
    }
    return *histogram;
}

auto RequestMetrics::onRequest(const RequestTrace& trace, RequestOutcome outcome, std::string_view reason)
    -> void
{
    requestCounter(trace, outcome, reason).Increment();
    latencyOf(trace.service_, outcome).Observe(secondsOf(trace.time_));
}

auto RequestMetrics::gateCounter(std::string_view outcome, std::string_view reason) -> prometheus::Counter&
{
    auto& counter = gate_[{ std::string(outcome), std::string(reason) }];
    if (counter == nullptr) {
        counter = &wagtailhead::counter("wagtailhead_gate_requests_total",
            "Requests for the backend server by their end at the gate.",
            { { "outcome", std::string(outcome) }, { "reason", std::string(reason) } });
    }
    return *counter;
}

auto RequestMetrics::onGate(
    std::string_view outcome, std::string_view reason, Duration queued, Duration atBackend) -> void
{
    if (queued_ == nullptr) {
        queued_ = &latencyHistogram(
            "wagtailhead_gate_queue_seconds", "Time in the queue of requests that were sent on.");
        atBackend_ = &latencyHistogram(
            "wagtailhead_backend_seconds", "Time of requests at the backend server, as its node sees it.");
    }
    gateCounter(outcome, reason).Increment();
    if (atBackend > Duration::zero()) {
        queued_->Observe(secondsOf(queued));
        atBackend_->Observe(secondsOf(atBackend));
    }
}

} // namespace wagtailhead
