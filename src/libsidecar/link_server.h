/// Accepts links from other nodes and hands their calls to the gate.
#pragma once

#include "frame_stream.h"
#include "gate.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace wagtailhead {

struct LinkServerParts {
    std::string node_;
    std::uint64_t incarnation_ = 0; ///< Of this process.
    Gate& gate_;
    std::function<std::uint64_t()> configVersion_;
    std::function<StateFrame(const StateRequestFrame& request)> state_;
    std::function<void(const NodeEntry& entry)> onEntry_;
    std::function<void(const std::string& node, const BeatFrame& heartbeat)> onHeartbeat_;
    /// Whether this node lacks the configuration or the entries; it then asks the nodes that call it.
    std::function<bool()> lacksState_;
    std::function<void(const std::string& node, const StateFrame& state)> onState_;
    /// The entry of this node, or nothing before it has one; told when a link opens.
    std::function<std::optional<NodeEntry>()> ownEntry_;
    /// Another node asks for tokens of an account.
    std::function<QuotaGrantFrame(const QuotaAskFrame& ask)> onQuotaAsk_ {};
    /// Takes memory for a body of so many bytes that another node is going to send; nothing if there is none.
    std::function<std::optional<MemoryCharge>(std::size_t bytes)> takeRoom_ {};
};

/// All members and callbacks run in the context's single thread.
class LinkServer {
public:
    static auto open(asio::io_context& context, const Address& address, LinkServerParts parts)
        -> Result<std::unique_ptr<LinkServer>>;

    virtual ~LinkServer() = default;

    /// Sends a frame to all nodes that have a link to this one.
    virtual auto broadcast(const Frame& frame) -> void = 0;

    /// Tells all nodes that call this one about its load while it refuses requests. Call it every 100 ms,
    /// and when a level has changed.
    virtual auto tick(TimePoint now) -> void = 0;
};

} // namespace wagtailhead
