#include "frame_stream.h"

#include "socket_options.h"

#include <array>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace wagtailhead {

namespace {

constexpr std::size_t readBytes = 65536;
/// Buffers of up to this size are kept for the next frames.
constexpr std::size_t keptBytes = 65536;

/// Each read is handled at once, so one buffer serves all streams of the thread.
auto readBuffer() -> std::array<char, readBytes>&
{
    static thread_local std::array<char, readBytes> buffer;
    return buffer;
}

} // namespace

FrameStream::FrameStream(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{
}

auto FrameStream::start(Events events) -> void
{
    events_ = std::move(events);
    lastReceived_ = Clock::now();
    http1::setPathOptions(socket_, http1::PeerPace::Prompt);
    asio::error_code ignored; // A socket that stays blocking would fail on its first read.
    socket_.non_blocking(true, ignored);
    read();
}

auto FrameStream::read() -> void
{
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code& error) {
            if (self->closed_ || error) {
                return;
            }
            asio::error_code failed;
            const auto size = self->socket_.read_some(asio::buffer(readBuffer()), failed);
            if (failed && failed != asio::error::would_block && failed != asio::error::try_again) {
                self->fail(failed.message());
                return;
            }
            if (!failed) {
                self->handleBytes(size);
            }
            if (!self->closed_) {
                self->read();
            }
        });
}

auto FrameStream::handleBytes(std::size_t size) -> void
{
    lastReceived_ = Clock::now();
    input_.append(readBuffer().data(), size);
    std::string_view rest = input_;
    while (!closed_) {
        auto frame = takeFrame(rest);
        if (!isOk(frame)) {
            fail(errorOf(frame).text_);
            return;
        }
        if (!valueOf(frame)) {
            break;
        }
        events_.onFrame_(std::move(*valueOf(frame)));
    }
    if (!closed_) {
        input_.erase(0, input_.size() - rest.size());
        if (input_.empty() && input_.capacity() > keptBytes) {
            input_.shrink_to_fit();
        }
    }
}

auto FrameStream::send(const Frame& frame) -> void
{
    if (closed_) {
        return;
    }
    appendFrame(queued_, frame);
    flush();
}

auto FrameStream::flush() -> void
{
    if (flushPosted_ || !writing_.empty()) {
        return;
    }
    flushPosted_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->flushPosted_ = false;
        self->write();
    });
}

auto FrameStream::write() -> void
{
    if (closed_ || queued_.empty() || !writing_.empty()) {
        return;
    }
    writing_.swap(queued_);
    asio::error_code error;
    const auto size = socket_.write_some(asio::buffer(writing_), error);
    if (!error && size == writing_.size()) {
        afterWrite();
        return;
    }
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        fail(error.message());
        return;
    }
    asio::async_write(socket_, asio::buffer(writing_.data() + size, writing_.size() - size),
        [self = shared_from_this()](const asio::error_code& failed, std::size_t) {
            self->afterWrite();
            if (failed) {
                self->fail(failed.message());
            } else {
                self->write();
            }
        });
}

auto FrameStream::afterWrite() -> void
{
    writing_.clear();
    // Clearing keeps the memory. A link would hold that of its longest frame as long as it is open.
    if (writing_.capacity() > keptBytes) {
        writing_.shrink_to_fit();
    }
}

auto FrameStream::fail(const std::string& reason) -> void
{
    if (closed_) {
        return;
    }
    const auto self = shared_from_this();
    close();
    if (events_.onClosed_) {
        events_.onClosed_(reason);
    }
}

auto FrameStream::close() -> void
{
    if (closed_) {
        return;
    }
    closed_ = true;
    asio::error_code ignored; // Nothing is left to do with the socket.
    socket_.close(ignored);
    // The handlers own their users; drop them once the current callback has returned.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->events_ = {};
    });
}

} // namespace wagtailhead
