/// The receiving half of the gossip transport: a listening socket with a fixed number of contexts.
#pragma once

#include "gossip_dialers.h"
#include "nng_handles.h"
#include "wagtailhead/gossip.h"

#include <asio/io_context.hpp>
#include <memory>
#include <mutex>
#include <vector>

namespace wagtailhead {

/// Thread safe. Must be owned by a shared_ptr. close() must run before the last owner lets go, and before
/// the Asio context ends.
class GossipListener : public std::enable_shared_from_this<GossipListener> {
public:
    GossipListener(asio::io_context& context, GossipTransport::Handler handler,
        std::shared_ptr<GossipCounters> counters);

    auto open(const GossipTransportOptions& options) -> Result<Done>;
    /// Precondition: open() succeeded.
    auto address() const -> Address
    {
        return address_;
    }
    /// Ends all requests without replies and waits until no thread of nng uses this object.
    auto close() -> void;

private:
    /// One request at a time: receive, hand over, reply, receive the next.
    struct Slot {
        enum class Phase : std::uint8_t {
            Receiving,
            Handling,
            Replying,
        };

        Slot(GossipListener& owner, nng_socket socket)
            : context_(socket)
            , aio_([&owner, this] {
                owner.advance(*this);
            })
        {
        }

        NngContext context_;
        NngAio aio_;
        Phase phase_ = Phase::Receiving;
    };

    /// Answers the request of a slot once; without an answer the slot takes the next request.
    class PendingReply;

    auto receive(Slot& slot) -> void;
    auto advance(Slot& slot) -> void;
    auto handle(Slot& slot) -> void;
    auto answer(Slot& slot, const GossipMessage& message) -> void;

    asio::io_context& context_;
    GossipTransport::Handler handler_;
    std::shared_ptr<GossipCounters> counters_;
    Address address_;
    std::unique_ptr<NngSocket> socket_;
    std::vector<std::unique_ptr<Slot>> slots_;
    std::mutex mutex_; ///< Guards `closed_` against operations that start while closing.
    bool closed_ = false;
};

} // namespace wagtailhead
