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

auto setPathOptions(asio::ip::tcp::socket& socket) -> void
{
    const int descriptor = socket.native_handle();
    const auto limit = std::chrono::duration_cast<milliseconds>(silentPathLimit).count();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

auto endpointOf(const Address& address) -> asio::ip::tcp::endpoint
{
    return { asio::ip::make_address(address.ip_), address.port_ };
}

} // namespace wagtailhead::http1
