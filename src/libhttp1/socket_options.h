/// Socket options that make a broken path visible.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/settings.h"

#include <asio/ip/tcp.hpp>
#include <cstdint>

namespace wagtailhead::http1 {

/// How the peer of a connection reads.
enum class PeerPace : std::uint8_t {
    Prompt, ///< At once, as nodes and the store do.
    Slow, ///< As it likes, with pauses, as callers and backend servers may.
};

/// How long sent bytes may stay unacknowledged and how long an idle connection may stay without an answer to
/// keep-alive probes. Half of the shortest contact window seen in practice.
constexpr Duration silentPathLimit = seconds(2);

/// Sends small messages at once and has the kernel notice a path that has gone silent. The kernel's limit for
/// unacknowledged bytes (TCP_USER_TIMEOUT) also ends a connection whose peer keeps its receive window closed,
/// so it is set for prompt peers only. For slow peers there are keep-alive probes, and isPathSilent() while
/// bytes are in flight. Precondition: the socket is open.
auto setPathOptions(asio::ip::tcp::socket& socket, PeerPace pace) -> void;

/// Returns whether bytes are in flight and the peer has acknowledged nothing for silentPathLimit. A peer that
/// does not read still acknowledges what it has room for. Precondition: the transmission began at least
/// silentPathLimit ago. Call it in the thread that uses the socket.
auto isPathSilent(asio::ip::tcp::socket& socket) -> bool;

/// Precondition: the address has been checked by parseAddress().
auto endpointOf(const Address& address) -> asio::ip::tcp::endpoint;

} // namespace wagtailhead::http1
