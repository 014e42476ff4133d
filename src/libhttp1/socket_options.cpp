#include "socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wagtailhead::http1 {

namespace {

constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

auto setOption(int descriptor, int level, int name, int value) -> void
{
    // A kernel without the option only notices a broken path later.
    setsockopt(descriptor, level, name, &value, sizeof(value));
}

} // namespace

auto setPathOptions(asio::ip::tcp::socket& socket, PeerPace pace) -> void
{
    const int descriptor = socket.native_handle();
    const auto limit = std::chrono::duration_cast<milliseconds>(silentPathLimit).count();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    if (pace == PeerPace::Prompt) {
        setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit));
    }
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

auto isPathSilent(asio::ip::tcp::socket& socket) -> bool
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return false; // The limits of the call or the response end the connection.
    }
    // A closed window leaves nothing in flight: what it has no room for is not sent.
    return info.tcpi_unacked > 0 && milliseconds(info.tcpi_last_ack_recv) >= silentPathLimit;
}

auto endpointOf(const Address& address) -> asio::ip::tcp::endpoint
{
    return { asio::ip::make_address(address.ip_), address.port_ };
}

} // namespace wagtailhead::http1
