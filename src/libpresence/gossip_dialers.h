/// The sending half of the gossip transport: cached connections and requests in progress.
#pragma once

#include "nng_handles.h"
#include "wagtailhead/gossip.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <map>
#include <mutex>

namespace wagtailhead {

/// Counters that the threads of both halves update.
struct GossipCounters {
    std::atomic<std::uint64_t> requestsSent_ = 0;
    std::atomic<std::uint64_t> requestsFailed_ = 0;
    std::atomic<std::uint64_t> requestsReceived_ = 0;
    std::atomic<std::uint64_t> messagesMalformed_ = 0;
    std::atomic<std::uint64_t> bytesSent_ = 0;
    std::atomic<std::uint64_t> bytesReceived_ = 0;
    std::atomic<std::uint64_t> dialersOpened_ = 0;
};

/// Thread safe. Must be owned by a shared_ptr. close() must run before the last owner lets go, and before
/// the Asio context ends.
class GossipDialers : public std::enable_shared_from_this<GossipDialers> {
public:
    GossipDialers(
        asio::io_context& context, GossipTransportOptions options, std::shared_ptr<GossipCounters> counters);

    auto start() -> void;
    auto request(const Address& to, const GossipMessage& message, Duration timeout,
        GossipTransport::Callback callback) -> void;
    /// Ends all requests without callbacks and waits until no thread of nng uses this object.
    auto close() -> void;
    auto openCount() const -> std::size_t;

private:
    /// One connection, as a socket with one dialer, because a req socket with several peers chooses
    /// among them itself.
    struct Dialer {
        NngSocket socket_;
        TimePoint lastUsed_;
        int inUse_ = 0;
        /// A request failed on it; it takes no further ones.
        bool broken_ = false;
    };

    struct Request;

    auto admit(const Address& to, Duration timeout, const GossipTransport::Callback& callback)
        -> std::shared_ptr<Request>;
    auto dialerFor(const Address& to) -> std::shared_ptr<Dialer>;
    auto closeIdle(TimePoint now) -> std::vector<std::shared_ptr<Dialer>>;
    auto scheduleCleanup() -> void;
    auto advance(Request& request) -> void;
    auto finish(std::uint64_t id, bool received) -> void;

    asio::io_context& context_;
    GossipTransportOptions options_;
    std::shared_ptr<GossipCounters> counters_;
    asio::steady_timer cleanup_;
    mutable std::mutex mutex_;
    std::map<Address, std::shared_ptr<Dialer>> dialers_;
    std::map<std::uint64_t, std::shared_ptr<Request>> requests_;
    std::uint64_t nextId_ = 1;
    bool closed_ = false;
};

} // namespace wagtailhead
