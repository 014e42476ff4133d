#include "relay_connection.h"

#include <array>

namespace wagtailhead::standin {

namespace {

constexpr std::size_t discardBytesAtOnce = std::size_t { 16 } << 10;

auto endpointOf(const Address& address) -> asio::ip::tcp::endpoint
{
    return { asio::ip::make_address(address.ip_), address.port_ };
}

auto prepare(TcpSocket& socket) -> void
{
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
}

} // namespace

RelayConnection::RelayConnection(asio::io_context& context, TcpSocket opener, ZonePair& there, ZonePair& back)
    : pair_(there)
    , opener_(std::move(opener))
    , target_(context)
    , handshake_(context)
    , there_(context, opener_, target_, there)
    , back_(context, target_, opener_, back)
{
    ++pair_.opened_;
    ++pair_.open_;
}

RelayConnection::~RelayConnection()
{
    --pair_.open_;
}

auto RelayConnection::start(const Address& target) -> void
{
    prepare(opener_);
    if (pair_.silent_) {
        silence();
        return;
    }
    // The kernel has completed the handshake at once; over the link it takes one round trip.
    handshake_.expires_after(pair_.delay_ * 2);
    handshake_.async_wait([self = shared_from_this(), target](const std::error_code& error) {
        if (!error && !self->silent_ && self->opener_.is_open()) {
            self->connect(target);
        }
    });
}

auto RelayConnection::connect(const Address& target) -> void
{
    target_.async_connect(endpointOf(target), [self = shared_from_this()](const std::error_code& error) {
        if (error) {
            self->close();
        } else if (!self->silent_ && self->opener_.is_open()) {
            self->relay();
        }
    });
}

auto RelayConnection::relay() -> void
{
    prepare(target_);
    relaying_ = true;
    const auto ended = [weak = weak_from_this()](bool failed) {
        if (const auto self = weak.lock()) {
            self->flowEnded(failed);
        }
    };
    there_.start(shared_from_this(), ended);
    back_.start(shared_from_this(), ended);
}

auto RelayConnection::flowEnded(bool failed) -> void
{
    ++endedFlows_;
    if (failed || endedFlows_ == 2) {
        close();
    }
}

auto RelayConnection::silence() -> void
{
    if (silent_ || closed_) {
        return;
    }
    silent_ = true;
    if (relaying_) {
        there_.silence();
        back_.silence();
    } else {
        discard();
    }
}

auto RelayConnection::discard() -> void
{
    opener_.async_wait(TcpSocket::wait_read, [self = shared_from_this()](const std::error_code& waitError) {
        std::array<char, discardBytesAtOnce> buffer;
        std::error_code error = waitError;
        if (!error) {
            self->opener_.read_some(asio::buffer(buffer), error);
        }
        if (!error || error == asio::error::would_block) {
            self->discard();
        } else {
            self->close();
        }
    });
}

auto RelayConnection::close() -> void
{
    if (closed_) {
        return;
    }
    closed_ = true;
    handshake_.cancel();
    there_.stop();
    back_.stop();
    std::error_code ignored;
    opener_.close(ignored);
    target_.close(ignored);
}

auto RelayConnection::pair() const -> const ZonePair&
{
    return pair_;
}

} // namespace wagtailhead::standin
