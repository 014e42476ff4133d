#include "relay_connection.h"

#include <array>
#include <asio/write.hpp>

namespace wagtailhead::standin {

namespace {

constexpr std::size_t readBytesAtOnce = std::size_t { 16 } << 10;

/// Bytes of one direction that may be on their way at a time, as a TCP window. It is above the product of
/// 30 Mbit/s and 30 ms (112 KB), so that one connection can fill the link between regions.
constexpr std::size_t windowBytes = std::size_t { 256 } << 10;

} // namespace

RelayFlow::RelayFlow(asio::io_context& context, TcpSocket& source, TcpSocket& target, ZonePair& pair)
    : source_(source)
    , target_(target)
    , pair_(pair)
    , timer_(context)
{
}

auto RelayFlow::start(const std::shared_ptr<void>& owner, Ended ended) -> void
{
    owner_ = owner;
    ended_ = std::move(ended);
    waitForBytes();
}

auto RelayFlow::silence() -> void
{
    silent_ = true;
    chunks_.clear();
    underWay_ = writing_.size();
    timer_.cancel();
    waitForBytes();
}

auto RelayFlow::stop() -> void
{
    timer_.cancel();
    chunks_.clear();
    sourceEnded_ = true;
}

auto RelayFlow::waitForBytes() -> void
{
    if (reading_ || sourceEnded_ || underWay_ >= windowBytes) {
        return;
    }
    reading_ = true;
    // Waiting without a buffer keeps idle connections small.
    source_.async_wait(TcpSocket::wait_read, [this, owner = owner_.lock()](const std::error_code& error) {
        reading_ = false;
        if (error) {
            fail();
        } else if (!sourceEnded_) {
            readBytes();
        }
    });
}

auto RelayFlow::readBytes() -> void
{
    static std::array<char, readBytesAtOnce> buffer;
    std::error_code error;
    const auto size = source_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        waitForBytes();
        return;
    }
    if (error && error != asio::error::eof) {
        fail();
        return;
    }
    sourceEnded_ = error == asio::error::eof;
    if (silent_) {
        sourceEnded_ ? fail() : waitForBytes();
        return;
    }
    pair_.bytes_ += size;
    pair_.region_->bytes_ += size;
    enqueue({ buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(size) });
    waitForBytes();
}

auto RelayFlow::enqueue(std::vector<char> bytes) -> void
{
    const auto departure = pair_.region_->rate_.reserve(bytes.size(), Clock::now());
    underWay_ += bytes.size();
    chunks_.push_back({ departure + pair_.delay_, std::move(bytes) });
    deliverNext();
}

auto RelayFlow::deliverNext() -> void
{
    if (delivering_ || chunks_.empty()) {
        return;
    }
    delivering_ = true;
    if (chunks_.front().due_ <= Clock::now()) {
        deliver();
        return;
    }
    timer_.expires_at(chunks_.front().due_);
    timer_.async_wait([this, owner = owner_.lock()](const std::error_code&) {
        deliver();
    });
}

auto RelayFlow::deliver() -> void
{
    if (chunks_.empty()) {
        delivering_ = false;
        return;
    }
    writing_ = std::move(chunks_.front().bytes_);
    chunks_.pop_front();
    if (writing_.empty()) {
        delivering_ = false;
        std::error_code ignored;
        target_.shutdown(TcpSocket::shutdown_send, ignored);
        ended_(false);
        return;
    }
    asio::async_write(target_, asio::buffer(writing_),
        [this, owner = owner_.lock()](const std::error_code& error, std::size_t size) {
            error ? fail() : delivered(size);
        });
}

auto RelayFlow::delivered(std::size_t size) -> void
{
    underWay_ -= size;
    writing_.clear();
    delivering_ = false;
    deliverNext();
    waitForBytes();
}

auto RelayFlow::fail() -> void
{
    sourceEnded_ = true;
    if (silent_) {
        // One side of a silent connection must not learn that the other has gone.
        std::error_code ignored;
        source_.close(ignored);
        return;
    }
    ended_(true);
}

} // namespace wagtailhead::standin
