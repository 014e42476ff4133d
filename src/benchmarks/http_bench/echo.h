/// The reference of the benchmark: round trips over plain Asio TCP connections.
#pragma once

#include "round_trips.h"

#include <asio/io_context.hpp>
#include <cstddef>

namespace wagtailhead {

/// Measures round trips of `messageBytes` between two contexts that run in threads of their own.
auto measureEcho(asio::io_context& serverContext, asio::io_context& clientContext, const RoundTripPlan& plan,
    std::size_t messageBytes) -> RoundTripResult;

} // namespace wagtailhead
