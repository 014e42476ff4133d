/// Socket options that make a broken path visible.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/settings.h"

#include <asio/ip/tcp.hpp>

namespace wagtailhead::http1 {

/// How long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT) and how long an idle connection may stay
/// without an answer to keep-alive probes. Half of the shortest contact window seen in practice.
constexpr Duration silentPathLimit = seconds(2);

/// Sends small messages at once and has the kernel notice a path that has gone silent.
auto setPathOptions(asio::ip::tcp::socket& socket) -> void;

/// Precondition: the address has been checked by parseAddress().
auto endpointOf(const Address& address) -> asio::ip::tcp::endpoint;

} // namespace wagtailhead::http1
