/// Frames over one TCP connection.
#pragma once

#include "link_frames.h"
#include "wagtailhead/clock.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wagtailhead {

/// Sends and receives frames until the connection breaks. Frames of one turn of the event loop go out in
/// one write. All members and callbacks run in the context's single thread.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
public:
    struct Events {
        std::function<void(Frame frame)> onFrame_;
        std::function<void(const std::string& reason)> onClosed_; ///< Runs once, unless close() was called.
    };

    explicit FrameStream(asio::ip::tcp::socket socket);

    /// Starts reading. Precondition: the socket is connected.
    auto start(Events events) -> void;
    auto send(const Frame& frame) -> void;
    /// Closes without calling `onClosed_`.
    auto close() -> void;

    auto lastReceived() const -> TimePoint
    {
        return lastReceived_;
    }
    auto unsentBytes() const -> std::size_t
    {
        return queued_.bytes_ + writing_.bytes_;
    }
    /// Returns the memory of the buffers, whether it is in use or kept. The bodies of calls are not copied to
    /// them.
    auto bufferBytes() const -> std::size_t
    {
        return input_.capacity() + queued_.capacity() + writing_.capacity();
    }

private:
    struct Piece {
        std::string text_;
        http1::Body body_; ///< Follows the text.
    };
    /// Frames to be written.
    struct Output {
        std::vector<Piece> pieces_;
        std::size_t bytes_ = 0;

        auto append(const Frame& frame) -> void;
        /// Returns what is behind the first `written` bytes.
        auto unwritten(std::size_t written) const -> std::vector<asio::const_buffer>;
        auto clear() -> void;
        auto capacity() const -> std::size_t;
    };

    auto read() -> void;
    auto handleBytes(std::size_t size) -> void;
    auto flush() -> void;
    auto write() -> void;
    auto fail(const std::string& reason) -> void;

    asio::ip::tcp::socket socket_;
    Events events_;
    std::string input_;
    Output queued_;
    Output writing_;
    TimePoint lastReceived_ = Clock::now();
    bool flushPosted_ = false;
    bool closed_ = false;
};

} // namespace wagtailhead
