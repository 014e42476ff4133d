/// A whole node: everything behind the program wagtailhead-node.
#pragma once

#include "wagtailhead/node_settings.h"
#include "wagtailhead/result.h"

#include <memory>

namespace wagtailhead {

/// One node process. Start it once; `run` returns after a graceful stop.
class Node {
public:
    /// Opens all listening sockets and connects the parts. Fails if an address cannot be used.
    static auto start(NodeSettings settings) -> Result<std::unique_ptr<Node>>;

    virtual ~Node() = default;

    /// Serves until the node has left: SIGTERM, SIGINT or an intent starts leaving, and the function
    /// returns when no call is in flight any more. Further signals do not cut calls in flight.
    virtual auto run() -> void = 0;
};

} // namespace wagtailhead
