#include "frame_stream.h"

#include "socket_options.h"

#include <algorithm>
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

auto FrameStream::Output::append(const Frame& frame) -> void
{
    if (pieces_.empty()) {
        pieces_.emplace_back();
    }
    auto& text = pieces_.back().text_;
    const auto* call = std::get_if<CallFrame>(&frame);
    if (call == nullptr || call->call_.body_.size() <= http1::largestSmallMessage) {
        const auto before = text.size();
        appendFrame(text, frame);
        bytes_ += text.size() - before;
        return;
    }
    auto encoded = encodeCall(*call);
    bytes_ += encoded.head_.size() + encoded.body_.size() + encoded.tail_.size();
    text += encoded.head_;
    pieces_.back().body_ = std::move(encoded.body_);
    pieces_.push_back({ std::move(encoded.tail_), {} });
}

auto FrameStream::Output::unwritten(std::size_t written) const -> std::vector<asio::const_buffer>
{
    std::vector<asio::const_buffer> buffers;
    for (const auto& piece : pieces_) {
        for (const auto& buffer : { asio::buffer(piece.text_), asio::buffer(piece.body_.text()) }) {
            const auto skipped = std::min(written, buffer.size());
            written -= skipped;
            if (buffer.size() > skipped) {
                buffers.push_back(buffer + skipped);
            }
        }
    }
    return buffers;
}

auto FrameStream::Output::clear() -> void
{
    bytes_ = 0;
    if (pieces_.empty()) {
        return;
    }
    pieces_.resize(1);
    pieces_.front().body_ = {};
    auto& text = pieces_.front().text_;
    text.clear();
    // Clearing keeps the memory. A link would hold that of its longest frame as long as it is open.
    if (text.capacity() > keptBytes) {
        text.shrink_to_fit();
    }
}

auto FrameStream::Output::capacity() const -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto& piece : pieces_) {
        bytes += piece.text_.capacity();
    }
    return bytes;
}

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
    if (closed_) {
        return;
    }
    input_.erase(0, input_.size() - rest.size());
    const auto wanted = std::max(announcedFrameBytes(input_), keptBytes);
    if (input_.capacity() > wanted && input_.size() <= keptBytes) {
        input_.shrink_to_fit();
    }
    if (wanted > keptBytes) {
        input_.reserve(wanted); // Growing by doubling would hold up to three times the frame.
    }
}

auto FrameStream::send(const Frame& frame) -> void
{
    if (closed_) {
        return;
    }
    queued_.append(frame);
    flush();
}

auto FrameStream::flush() -> void
{
    if (flushPosted_ || writing_.bytes_ > 0) {
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
    if (closed_ || queued_.bytes_ == 0 || writing_.bytes_ > 0) {
        return;
    }
    std::swap(writing_, queued_);
    asio::error_code error;
    const auto size = socket_.write_some(writing_.unwritten(0), error);
    if (!error && size == writing_.bytes_) {
        writing_.clear();
        return;
    }
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        fail(error.message());
        return;
    }
    asio::async_write(socket_, writing_.unwritten(size),
        [self = shared_from_this()](const asio::error_code& failed, std::size_t) {
            self->writing_.clear();
            if (failed) {
                self->fail(failed.message());
            } else {
                self->write();
            }
        });
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
