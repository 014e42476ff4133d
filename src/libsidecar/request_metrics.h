/// Counters and latencies of requests for the scraper.
#pragma once

#include "request_log.h"
#include "wagtailhead/metrics.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace wagtailhead {

/// Keeps the values of a label bounded: what comes after the first `most` distinct values is called "other".
/// Not thread safe.
class BoundedLabel {
public:
    explicit BoundedLabel(std::size_t most)
        : most_(most)
    {
    }

    auto of(std::string_view value) -> std::string;

private:
    std::size_t most_;
    std::set<std::string, std::less<>> values_;
};

/// Counts how requests of callers and at the gate ended, and how long they took. Not thread safe.
class RequestMetrics {
public:
    auto onRequest(const RequestTrace& trace, RequestOutcome outcome, std::string_view reason) -> void;

    /// `queued` is the time in the gate's queue, `atBackend` that at the backend server; zero if it did not
    /// get there.
    auto onGate(std::string_view outcome, std::string_view reason, Duration queued, Duration atBackend)
        -> void;

private:
    struct RequestKey {
        std::string route_;
        RequestOutcome outcome_;
        std::string reason_;

        auto operator<=>(const RequestKey&) const = default; // NOLINT(modernize-use-nullptr)
    };

    auto requestCounter(const RequestTrace& trace, RequestOutcome outcome, std::string_view reason)
        -> prometheus::Counter&;
    auto latencyOf(const std::string& service, RequestOutcome outcome) -> prometheus::Histogram&;
    auto gateCounter(std::string_view outcome, std::string_view reason) -> prometheus::Counter&;

    std::map<RequestKey, prometheus::Counter*> requests_;
    std::map<std::pair<std::string, RequestOutcome>, prometheus::Histogram*> latencies_;
    std::map<std::pair<std::string, std::string>, prometheus::Counter*> gate_;
    prometheus::Histogram* queued_ = nullptr;
    prometheus::Histogram* atBackend_ = nullptr;
    BoundedLabel routes_ { mostRoutes };
    BoundedLabel services_ { mostServices };

    /// A configuration may hold hundreds of routes; each costs a few time series.
    static constexpr std::size_t mostRoutes = 64;
    static constexpr std::size_t mostServices = 200;
};

} // namespace wagtailhead
