#include "concurrency_limit.h"

#include "adaptive_limit.h"

#include <limits>

namespace wagtailhead {

namespace {

/// The naive limit: as many calls as connections.
class ConnectionLimit final : public ConcurrencyLimit {
public:
    explicit ConnectionLimit(int connections)
    {
        ConnectionLimit::resize(0, connections);
    }

    auto limit() const -> int override
    {
        return limit_;
    }

    auto settledLimit() const -> int override
    {
        return limit_;
    }

    auto onInFlight(int /*inFlight*/, bool /*waiting*/, TimePoint /*now*/) -> void override { }

    auto onCompletion(std::uint64_t /*group*/, Duration /*latency*/, TimePoint /*now*/) -> void override { }

    auto latencyRatio() const -> double override
    {
        return 1;
    }

    auto resize(int /*slots*/, int connections) -> void override
    {
        limit_ = connections > 0 ? connections : std::numeric_limits<int>::max();
    }

private:
    int limit_ = 1;
};

} // namespace

auto ConcurrencyLimit::create(const AdmissionOptions& options) -> std::unique_ptr<ConcurrencyLimit>
{
    if (options.limit_ == Mechanism::Naive) {
        return std::make_unique<ConnectionLimit>(options.connections_);
    }
    return std::make_unique<AdaptiveLimit>(options);
}

} // namespace wagtailhead
