#include "concurrency_limit.h"

#include <algorithm>
#include <limits>

namespace wagtailhead {

namespace {

auto boundByConnections(int limit, int connections) -> int
{
    return connections > 0 ? std::min(limit, connections) : limit;
}

class ConnectionLimit : public ConcurrencyLimit {
public:
    explicit ConnectionLimit(int connections)
    {
        resize(0, connections);
    }

    auto limit(Priority /*priority*/) const -> int override
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
        limit_ = boundByConnections(std::numeric_limits<int>::max(), connections);
    }

protected:
    int limit_ = 1;
};

class SlotLimit final : public ConnectionLimit {
public:
    SlotLimit(int slots, int connections)
        : ConnectionLimit(connections)
    {
        SlotLimit::resize(slots, connections);
    }

    auto resize(int slots, int connections) -> void override
    {
        limit_ = boundByConnections(std::max(slots, 1), connections);
    }
};

} // namespace

auto ConcurrencyLimit::create(const AdmissionOptions& options) -> std::unique_ptr<ConcurrencyLimit>
{
    if (options.limit_ == Mechanism::Naive) {
        return std::make_unique<ConnectionLimit>(options.connections_);
    }
    return std::make_unique<SlotLimit>(options.slots_, options.connections_);
}

} // namespace wagtailhead
