/// One connection of a caller.
#pragma once

#include "http1_listener.h"

#include <array>

namespace wagtailhead::http1 {

/// What the connections of a listener share.
struct ListenerState {
    ListenerLimits limits_;
    Listener::Handler handler_;
    bool closing_ = false;
    std::size_t unwrittenBytes_ = 0; ///< Of the responses of all connections.
    std::unordered_set<std::shared_ptr<Connection>> connections_;
    /// Each read is handled at once, so one buffer serves all connections.
    std::array<char, 65536> buffer_ {};
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<ListenerState> listener);

    auto start() -> void;
    auto respond(Response response) -> void;
    auto onGone(std::function<void()> handler) -> void;
    /// Closes the connection if a time limit has passed.
    auto checkTime(TimePoint now) -> void;
    /// Closes the connection unless a request has arrived on it.
    auto closeIfIdle() -> void;
    /// Returns whether a request has been read whose response has not been written completely.
    auto isUnanswered() const -> bool
    {
        return phase_ == Phase::Running || phase_ == Phase::Writing;
    }

private:
    enum class Phase {
        Reading, ///< Waits for a request or reads one.
        Running, ///< The handler has the request.
        Writing,
        Lingering, ///< The last response is sent; the caller closes first, so that nothing is reset.
        Closed,
    };

    auto waitReadable() -> void;
    auto onReadable() -> void;
    auto take(std::string_view bytes) -> void;
    auto dispatch() -> void;
    auto refuse(int status) -> void;
    auto write() -> void;
    auto afterWrite() -> void;
    auto releaseOutput() -> void;
    auto linger() -> void;
    auto callerGone() -> void;
    auto close() -> void;

    asio::ip::tcp::socket socket_;
    std::shared_ptr<ListenerState> listener_;
    MessageReader reader_ { MessageReader::Kind::Requests };
    Phase phase_ = Phase::Reading;
    std::string pending_; ///< Bytes behind the present request.
    std::string output_;
    std::function<void()> goneHandler_;
    TimePoint phaseStart_ = Clock::now();
    bool waiting_ = false;
    bool keepAlive_ = true;
    bool toHead_ = false;
};

} // namespace wagtailhead::http1
