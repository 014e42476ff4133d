/// The process's Prometheus registry with shorthand for the three metric types.
#pragma once

#include <initializer_list>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <string>

namespace wagtailhead {

using MetricLabels = std::map<std::string, std::string>;

/// Returns the counter with this name and these labels, registering it on first use. Thread safe.
/// Callers on hot paths keep the reference, which stays valid for the life of the process.
auto counter(const std::string& name, const std::string& help, const MetricLabels& labels = {})
    -> prometheus::Counter&;

/// Returns the gauge with this name and these labels. Thread safe.
auto gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {})
    -> prometheus::Gauge&;

/// Returns a histogram of seconds with buckets from 0.05 ms to 60 s. Thread safe.
auto latencyHistogram(const std::string& name, const std::string& help, const MetricLabels& labels = {})
    -> prometheus::Histogram&;

/// Returns all metrics in the Prometheus text format. Thread safe.
auto metricsText() -> std::string;

} // namespace wagtailhead
