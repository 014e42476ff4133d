/// Requests to other nodes over one long-lived connection each.
#pragma once

#include "frame_stream.h"

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace wagtailhead {

/// Why no reply came over a link.
enum class LinkFailure : std::uint8_t {
    NotSent, ///< No connection: the other node has not seen the request.
    Lost, ///< The connection broke; `incarnation` tells whom to fence.
};

struct LinkResult {
    std::variant<GateReply, LinkFailure> value_;
    std::uint64_t incarnation_ = 0; ///< Of the process to which the request was sent; 0 if not sent.
};

struct LinkEvents {
    /// What this node says of itself when a link opens.
    std::function<HelloFrame()> hello_;
    /// A node says that it has this version of the configuration.
    std::function<void(const std::string& node, std::uint64_t version)> onConfigVersion_;
    std::function<void(const std::string& node, StateFrame state)> onState_;
    /// A node has changed its entry.
    std::function<void(const NodeEntry& entry)> onEntry_;
    std::function<void(const std::string& node, const BeatFrame& heartbeat)> onHeartbeat_;
    /// A node tells the load of its gate.
    std::function<void(const std::string& node, const GateLoad& load)> onLoad_;
    /// The address of a node belongs to another one now.
    std::function<void(const std::string& node, const std::string& owner)> onForeign_;
    /// A link broke, or could not be opened.
    std::function<void(const std::string& node, bool wasOpen)> onLost_;
    /// A link is open.
    std::function<void(const std::string& node)> onOpen_;
    /// What this node knows, for a node that asks.
    std::function<StateFrame(const StateRequestFrame& request)> state_;
    /// A custodian of an account has answered.
    std::function<void(const std::string& node, const QuotaGrantFrame& grant)> onQuotaGrant_ {};
};

struct LinkStats {
    std::uint64_t opened_ = 0;
    std::uint64_t lost_ = 0;
    std::uint64_t silent_ = 0;
};

/// The links from this node to others. All members and callbacks run in the context's single thread.
class LinkClient {
public:
    using CallId = std::uint64_t;
    using Callback = std::function<void(LinkResult)>;
    using FenceCallback = std::function<void(bool neverRuns)>;

    LinkClient(asio::io_context& context, LinkEvents events);
    ~LinkClient();
    LinkClient(const LinkClient&) = delete;
    auto operator=(const LinkClient&) -> LinkClient& = delete;

    /// Sends a call. The callback runs exactly once unless the call is cancelled, never inside call().
    auto call(const NodeEntry& node, GateCall call, Callback callback) -> CallId;

    /// Forgets the call and tells the other node.
    auto cancel(CallId id) -> void;

    /// Asks the node to make sure that the attempt never starts. Answers false if it may have started, or
    /// when no answer came in time.
    auto fence(const NodeEntry& node, std::uint64_t incarnation, const std::string& attemptId,
        Duration timeout, FenceCallback callback) -> void;

    /// Asks a node for what it knows; the answer goes to `onState_`.
    auto requestState(const NodeEntry& node, const StateRequestFrame& request) -> void;

    /// Opens the link to a node unless it is open or being opened.
    auto connect(const NodeEntry& node) -> void;

    /// Sends a frame to a node; it is lost if the link breaks.
    auto sendFrame(const NodeEntry& node, const Frame& frame) -> void;

    /// Runs `handled` once the node has handled all frames that were sent to it before. It does not run if
    /// the link breaks first.
    auto afterHandled(const NodeEntry& node, std::function<void()> handled) -> void;

    /// Sends a frame over all open links.
    auto broadcast(const Frame& frame) -> void;

    /// Probes links on which replies are due. Call it every 100 ms.
    auto tick(TimePoint now) -> void;

    auto stats() const -> const LinkStats&
    {
        return stats_;
    }

private:
    class Link;
    friend class Link;

    auto linkTo(const NodeEntry& node) -> std::shared_ptr<Link>;

    asio::io_context& context_;
    LinkEvents events_;
    std::map<std::string, std::shared_ptr<Link>> links_; ///< By node.
    std::unordered_map<CallId, std::weak_ptr<Link>> calls_;
    CallId lastId_ = 0;
    LinkStats stats_;
};

} // namespace wagtailhead
