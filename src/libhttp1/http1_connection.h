/// One connection of a caller.
#pragma once

#include "http1_listener.h"
#include "request_pipeline.h"

#include <array>

namespace wagtailhead::http1 {

/// What the connections of a listener share.
struct ListenerState {
    ListenerLimits limits_;
    Listener::Handler handler_;
    /// Whether a request may run beside others of its connection; empty if none may.
    std::function<bool(const Request& request)> overlaps_;
    std::size_t maxConnections_ = 0; ///< 0 for no limit.
    std::shared_ptr<MemoryBudget> smallMessages_ = std::make_shared<MemoryBudget>(0);
    std::shared_ptr<MemoryBudget> largeMessages_ = std::make_shared<MemoryBudget>(0);
    std::shared_ptr<MemoryBudget> readAhead_ = std::make_shared<MemoryBudget>(0);
    ListenerStats stats_;
    TimePoint nextBoundLog_;
    bool closing_ = false;
    std::size_t unwrittenBytes_ = 0; ///< Of the responses of all connections.
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    /// Each read is handled at once, so one buffer serves all connections.
    std::array<char, 65536> buffer_ {};

    /// Counts a request that was refused for its `bytes`.
    auto countRefused(std::size_t bytes) -> void;
    /// Refuses the request that has held most bytes of the budget for the longest time without having been
    /// read whole, if that is more than `cost` byteSeconds() and it is not that of `except`. Returns whether
    /// there was one.
    auto refuseDearest(const MemoryBudget& budget, const Connection* except, double cost, TimePoint now)
        -> bool;
};

/// Returns what it costs others that so many bytes are held for so long.
auto byteSeconds(std::size_t bytes, Duration time) -> double;

/// Memory for a request that runs beside others of its connection, or waits for them.
constexpr std::size_t aheadRequestBytes = 4096;

class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<ListenerState> listener);

    auto start() -> void;
    auto respond(RequestPipeline::Id id, Response response) -> void;
    auto onGone(RequestPipeline::Id id, std::function<void()> handler) -> void;
    /// Closes the connection if a time limit has passed.
    auto checkTime(TimePoint now) -> void;
    /// Returns how long the connection has waited for a request to be read whole, or nothing while one runs
    /// or is answered.
    auto waitingTime(TimePoint now) const -> std::optional<Duration>;
    /// Ends the connection without an answer; no request on it has been read whole.
    auto closeWaiting() -> void
    {
        close();
    }
    /// Returns the bytes that an unread request holds in a budget, times the seconds for which it has held
    /// them.
    auto unreadCost(const MemoryBudget& budget, TimePoint now) const -> double;
    /// Answers 503 to the request that is being read and gives its memory back.
    auto refuseUnread() -> void;
    /// Closes the connection unless a request has arrived on it.
    auto closeIfIdle() -> void;
    /// Returns whether a request has been read whose response has not been written completely.
    auto isUnanswered() const -> bool
    {
        return phase_ == Phase::Open && (!pipeline_.isEmpty() || writing_);
    }

private:
    enum class Phase {
        Open,
        Lingering, ///< The last response is sent; the caller closes first, so that nothing is reset.
        Closed,
    };

    auto waitReadable() -> void;
    auto onReadable() -> void;
    /// Returns whether another request may be read.
    auto mayTakeRequest() const -> bool
    {
        return pipeline_.hasRoom()
            && (pipeline_.isEmpty() || listener_->readAhead_->hasRoom(aheadRequestBytes));
    }
    /// Returns how many bytes may be read from the socket now.
    auto readableBytes() const -> std::size_t;
    /// Charges what is held in pending_.
    auto chargePending() -> void;
    /// Reads requests from the bytes as long as more may be read, and keeps the rest.
    auto take(std::string_view bytes) -> void;
    auto takePending() -> void;
    /// Gives back the memory of the request that is being read.
    auto releaseUnread() -> void;
    /// Charges what is held for the message that is being read. Returns false if it does not fit.
    auto chargeMessage() -> bool;
    auto addRequest() -> void;
    auto startRequests() -> void;
    /// Answers a request that cannot be read, after all others.
    auto refuse(int status) -> void;
    /// Writes the responses whose turn it is.
    auto writeResponses() -> void;
    auto write() -> void;
    /// Returns what is behind the first `written` bytes of the output.
    auto unwritten(std::size_t written) const -> std::array<asio::const_buffer, 2>;
    auto afterWrite() -> void;
    auto countUnwritten() -> void;
    auto linger() -> void;
    auto close() -> void;
    auto isIdle() const -> bool
    {
        return phase_ == Phase::Open && pipeline_.isEmpty() && !writing_
            && reader_.state() == ReadState::Empty;
    }

    asio::ip::tcp::socket socket_;
    std::shared_ptr<ListenerState> listener_;
    MessageReader reader_ { MessageReader::Kind::Requests };
    RequestPipeline pipeline_;
    std::shared_ptr<MemoryBudget> chargedBudget_;
    MemoryCharge charge_; ///< For the message that is being read.
    Phase phase_ = Phase::Open;
    std::string pending_; ///< Bytes that are not read as requests yet.
    MemoryCharge pendingCharge_; ///< For these.
    std::string
        output_; ///< Responses that are being written, the last one without its body if that is large.
    std::string outputBody_; ///< That body.
    std::size_t countedBytes_ = 0; ///< Part of ListenerState::unwrittenBytes_.
    TimePoint readStart_ = Clock::now(); ///< Of the message that is being read, or of the wait for one.
    TimePoint writeStart_;
    TimePoint lingerStart_;
    bool waiting_ = false;
    bool writing_ = false;
    bool starting_ = false;
    bool closeAfterWrite_ = false;
};

} // namespace wagtailhead::http1
