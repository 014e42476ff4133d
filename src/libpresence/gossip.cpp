#include "wagtailhead/gossip.h"

#include "gossip_dialers.h"
#include "gossip_listener.h"

#include <utility>

namespace wagtailhead {

namespace {

class NngGossipTransport : public GossipTransport {
public:
    NngGossipTransport(asio::io_context& context, GossipTransportOptions options, Handler handler)
        : options_(std::move(options))
        , listener_(std::make_shared<GossipListener>(context, std::move(handler), counters_))
        , dialers_(std::make_shared<GossipDialers>(context, options_, counters_))
    {
    }
    ~NngGossipTransport() override
    {
        listener_->close();
        dialers_->close();
    }
    NngGossipTransport(const NngGossipTransport&) = delete;
    auto operator=(const NngGossipTransport&) -> NngGossipTransport& = delete;

    auto start() -> Result<Done>
    {
        auto opened = listener_->open(options_);
        if (isOk(opened)) {
            dialers_->start();
        }
        return opened;
    }

    auto request(const SeedAddress& to, const GossipMessage& message, Duration timeout, Callback callback)
        -> void override
    {
        const bool translated = options_.translate_ && !to.zone_.empty();
        const auto address = translated ? options_.translate_(to.address_, to.zone_) : to.address_;
        dialers_->request(address, message, timeout, std::move(callback));
    }

    auto address() const -> Address override
    {
        return listener_->address();
    }

    auto stats() const -> GossipTransportStats override
    {
        return { counters_->requestsSent_, counters_->requestsFailed_, counters_->requestsReceived_,
            counters_->messagesMalformed_, counters_->bytesSent_, counters_->bytesReceived_,
            counters_->dialersOpened_, dialers_->openCount() };
    }

private:
    GossipTransportOptions options_;
    std::shared_ptr<GossipCounters> counters_ = std::make_shared<GossipCounters>();
    std::shared_ptr<GossipListener> listener_;
    std::shared_ptr<GossipDialers> dialers_;
};

} // namespace

auto GossipTransport::open(asio::io_context& context, GossipTransportOptions options, Handler handler)
    -> Result<std::unique_ptr<GossipTransport>>
{
    auto transport = std::make_unique<NngGossipTransport>(context, std::move(options), std::move(handler));
    if (auto started = transport->start(); !isOk(started)) {
        return errorOf(started);
    }
    return std::unique_ptr<GossipTransport>(std::move(transport));
}

} // namespace wagtailhead
