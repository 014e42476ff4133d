/// Accepts links from other nodes and hands their calls to the gate.
#pragma once

#include "frame_stream.h"
#include "gate.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace wagtailhead {

struct LinkServerParts {
    std::string node_;
    std::uint64_t incarnation_ = 0; ///< Of this process.
    Gate& gate_;
    std::function<std::uint64_t()> configVersion_;
    std::function<StateFrame(std::uint64_t knownVersion)> state_;
    std::function<void(const NodeEntry& entry)> onEntry_;
};

/// All members and callbacks run in the context's single thread.
class LinkServer {
public:
    static auto open(asio::io_context& context, const Address& address, LinkServerParts parts)
        -> Result<std::unique_ptr<LinkServer>>;

    virtual ~LinkServer() = default;
};

} // namespace wagtailhead
