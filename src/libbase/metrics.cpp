#include "wagtailhead/metrics.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace wagtailhead {

namespace {

auto registry() -> prometheus::Registry&
{
    static prometheus::Registry instance;
    return instance;
}

auto latencyBuckets() -> prometheus::Histogram::BucketBoundaries
{
    return { 0.00005, 0.0001, 0.0002, 0.0004, 0.00061, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5,
        1.0, 2.0, 5.0, 10.0, 60.0 };
}

} // namespace

auto counter(const std::string& name, const std::string& help, const MetricLabels& labels)
    -> prometheus::Counter&
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry()).Add(labels);
}

auto gauge(const std::string& name, const std::string& help, const MetricLabels& labels) -> prometheus::Gauge&
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry()).Add(labels);
}

auto latencyHistogram(const std::string& name, const std::string& help, const MetricLabels& labels)
    -> prometheus::Histogram&
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry())
        .Add(labels, latencyBuckets());
}

auto metricsText() -> std::string
{
    return prometheus::TextSerializer().Serialize(registry().Collect());
}

} // namespace wagtailhead
