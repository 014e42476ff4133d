#include "link_client.h"

#include "socket_options.h"
#include "transit_delay.h"
#include "wagtailhead/boot_clock.h"
#include "wagtailhead/log.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <deque>

namespace wagtailhead {

namespace {

/// Several round trips between regions; requests wait for it.
constexpr Duration connectTimeout = milliseconds(500);
/// A link that owes replies and is quiet for this long is asked for a sign of life.
constexpr Duration pingAfter = milliseconds(400);
/// A link that owes replies and is quiet for this long counts as broken.
constexpr Duration silentAfter = milliseconds(1200);
/// Bytes that may wait for a node that does not read. A link of 200 Mbit/s carries them in a second.
constexpr std::size_t mostUnsentBytes = std::size_t { 24 } << 20;
/// Links without use are closed, so that a node keeps links only to the nodes that it calls.
constexpr Duration idleLimit = std::chrono::minutes(2);

} // namespace

/// The link to one node: connecting, then open until it breaks.
class LinkClient::Link : public std::enable_shared_from_this<LinkClient::Link> {
public:
    Link(LinkClient& owner, const NodeEntry& node)
        : owner_(owner)
        , node_(node.node_)
        , address_(node.link_)
    {
    }

    auto connect() -> void;
    auto sendCall(CallId id, GateCall call, Callback callback) -> void;
    auto sendFence(CallId id, FenceFrame frame, TimePoint deadline, FenceCallback callback) -> void;
    auto send(const Frame& frame) -> void;
    auto ping(std::function<void()> answered) -> void;
    /// Keeps the link from being closed as unused.
    auto use() -> void
    {
        lastUse_ = Clock::now();
    }
    auto cancel(CallId id) -> void;
    auto tick(TimePoint now) -> void;
    auto close() -> void;
    /// Ends the link to an address that the node has left: its calls are lost, and the node stays reachable.
    auto supersede() -> void;
    auto isBroken() const -> bool
    {
        return broken_;
    }
    auto isOpen() const -> bool
    {
        return stream_ != nullptr && incarnation_ != 0;
    }
    auto isIdle(TimePoint now) const -> bool
    {
        return calls_.empty() && fences_.empty() && now - lastUse_ > idleLimit;
    }
    auto address() const -> const Address&
    {
        return address_;
    }

private:
    struct PendingCall {
        Callback callback_;
        /// Until the other side has said who it is, and has memory for a long body.
        std::optional<GateCall> unsent_;
        bool asked_ = false; ///< For that memory.
    };
    struct PendingFence {
        FenceCallback callback_;
        TimePoint deadline_;
        std::optional<FenceFrame> unsent_;
    };

    auto onConnected(asio::ip::tcp::socket socket) -> void;
    auto onFrame(Frame frame) -> void;
    auto onHello(const HelloFrame& hello) -> void;
    auto onRoomReply(const RoomReplyFrame& reply) -> void;
    /// Sends a call, or asks for memory for it first. Precondition: the link is open.
    auto sendOrAsk(CallId id, PendingCall& pending) -> void;
    auto transmit(CallId id, PendingCall& pending) -> void;
    auto fail(const std::string& reason) -> void;
    /// Closes the connection and runs the callbacks of what waits for a reply.
    auto endCalls(const std::string& reason) -> void;
    auto expireFences(TimePoint now) -> void;

    LinkClient& owner_;
    std::string node_;
    Address address_;
    std::shared_ptr<FrameStream> stream_;
    std::unique_ptr<asio::ip::tcp::socket> connecting_;
    std::uint64_t incarnation_ = 0;
    bool grantsRoom_ = false;
    TransitDelay transit_; ///< Of what arrives.
    std::unordered_map<CallId, PendingCall> calls_;
    std::unordered_map<CallId, PendingFence> fences_;
    std::vector<Frame> unsentOthers_;
    std::deque<std::function<void()>> pings_; ///< Not answered yet; each may have a callback.
    TimePoint connectDeadline_;
    TimePoint lastSent_ = Clock::now();
    TimePoint lastUse_ = Clock::now();
    bool pinged_ = false;
    bool broken_ = false;
};

auto LinkClient::Link::connect() -> void
{
    connectDeadline_ = Clock::now() + connectTimeout;
    connecting_ = std::make_unique<asio::ip::tcp::socket>(owner_.context_);
    connecting_->async_connect(
        http1::endpointOf(address_), [self = shared_from_this()](const asio::error_code& error) {
            if (self->broken_) {
                return;
            }
            if (error) {
                self->fail("connect: " + error.message());
                return;
            }
            self->onConnected(std::move(*self->connecting_));
        });
}

auto LinkClient::Link::onConnected(asio::ip::tcp::socket socket) -> void
{
    stream_ = std::make_shared<FrameStream>(std::move(socket));
    stream_->send(owner_.events_.hello_());
    const std::weak_ptr<Link> weak = weak_from_this();
    stream_->start({ [weak](Frame frame) {
                        if (const auto self = weak.lock()) {
                            self->onFrame(std::move(frame));
                        }
                    },
        [weak](const std::string& reason) {
            if (const auto self = weak.lock()) {
                self->fail(reason);
            }
        } });
}

auto LinkClient::Link::onHello(const HelloFrame& hello) -> void
{
    if (hello.node_ != node_) {
        const auto self = shared_from_this();
        fail("the address belongs to node " + hello.node_);
        owner_.events_.onForeign_(node_, hello.node_);
        return;
    }
    incarnation_ = hello.incarnation_;
    grantsRoom_ = hello.grantsRoom_;
    logEvent(LogLevel::Info, "link_open", { { "peer", node_ }, { "incarnation", incarnation_ } });
    for (auto& [id, pending] : calls_) {
        if (pending.unsent_) {
            sendOrAsk(id, pending);
        }
    }
    for (auto& [id, pending] : fences_) {
        if (pending.unsent_) {
            send(*pending.unsent_);
            pending.unsent_.reset();
        }
    }
    for (const auto& frame : std::exchange(unsentOthers_, {})) {
        send(frame);
    }
    owner_.events_.onOpen_(node_);
    owner_.events_.onConfigVersion_(node_, hello.configVersion_);
}

auto LinkClient::Link::onFrame(Frame frame) -> void
{
    pinged_ = false;
    if (const auto* hello = std::get_if<HelloFrame>(&frame)) {
        onHello(*hello);
    } else if (auto* reply = std::get_if<ReplyFrame>(&frame)) {
        const auto found = calls_.find(reply->id_);
        if (found != calls_.end()) {
            auto callback = std::move(found->second.callback_);
            calls_.erase(found);
            owner_.calls_.erase(reply->id_);
            callback({ std::move(reply->reply_), incarnation_ });
        }
        owner_.events_.onConfigVersion_(node_, reply->configVersion_);
    } else if (const auto* room = std::get_if<RoomReplyFrame>(&frame)) {
        onRoomReply(*room);
    } else if (const auto* fence = std::get_if<FenceReplyFrame>(&frame)) {
        const auto found = fences_.find(fence->id_);
        if (found != fences_.end()) {
            auto callback = std::move(found->second.callback_);
            fences_.erase(found);
            callback(fence->neverRuns_);
        }
    } else if (auto* state = std::get_if<StateFrame>(&frame)) {
        owner_.events_.onState_(node_, std::move(*state));
    } else if (const auto* entry = std::get_if<EntryFrame>(&frame)) {
        owner_.events_.onEntry_(entry->entry_);
    } else if (auto* heartbeat = std::get_if<BeatFrame>(&frame)) {
        addTransitTime(*heartbeat, transit_, bootNow());
        owner_.events_.onHeartbeat_(node_, *heartbeat);
    } else if (const auto* load = std::get_if<LoadFrame>(&frame)) {
        owner_.events_.onLoad_(node_, load->load_);
    } else if (const auto* grant = std::get_if<QuotaGrantFrame>(&frame)) {
        if (owner_.events_.onQuotaGrant_) {
            owner_.events_.onQuotaGrant_(node_, *grant);
        }
    } else if (std::holds_alternative<PongFrame>(frame) && !pings_.empty()) {
        const auto answered = std::move(pings_.front());
        pings_.pop_front();
        if (answered) {
            answered();
        }
    } else if (const auto* request = std::get_if<StateRequestFrame>(&frame)) {
        stream_->send(owner_.events_.state_(*request));
    }
}

auto LinkClient::Link::sendCall(CallId id, GateCall call, Callback callback) -> void
{
    lastUse_ = Clock::now();
    if (isOpen() && stream_->unsentBytes() > mostUnsentBytes) {
        // The node is slow to read, and not out of reach; the call has not left this one.
        asio::post(owner_.context_, [callback = std::move(callback)] {
            GateReply busy;
            busy.outcome_ = GateOutcome::NotRun;
            busy.reason_ = GateReason::Unavailable;
            callback({ std::move(busy), 0 });
        });
        owner_.calls_.erase(id);
        return;
    }
    auto& pending = calls_[id] = { std::move(callback), std::move(call) };
    if (isOpen()) {
        sendOrAsk(id, pending);
    }
}

auto LinkClient::Link::sendOrAsk(CallId id, PendingCall& pending) -> void
{
    const auto bytes = pending.unsent_->body_.size();
    if (!grantsRoom_ || bytes <= http1::largestSmallMessage) {
        transmit(id, pending);
        return;
    }
    pending.asked_ = true;
    send(RoomAskFrame { id, bytes });
}

auto LinkClient::Link::onRoomReply(const RoomReplyFrame& reply) -> void
{
    const auto found = calls_.find(reply.id_);
    if (found == calls_.end() || !found->second.unsent_) {
        return; // The call has been cancelled, which has given the memory back.
    }
    if (reply.granted_) {
        transmit(reply.id_, found->second);
        return;
    }
    auto callback = std::move(found->second.callback_);
    calls_.erase(found);
    owner_.calls_.erase(reply.id_);
    GateReply busy;
    busy.outcome_ = GateOutcome::NotRun;
    busy.reason_ = GateReason::Busy;
    busy.load_ = reply.load_;
    callback({ std::move(busy), incarnation_ });
}

auto LinkClient::Link::transmit(CallId id, PendingCall& pending) -> void
{
    auto call = std::move(*pending.unsent_);
    pending.unsent_.reset();
    const auto now = bootNow();
    const auto sentAt = std::chrono::duration_cast<microseconds>(now.time_since_epoch()).count();
    send(CallFrame { id, sentAt, std::move(call) });
}

auto LinkClient::Link::sendFence(CallId id, FenceFrame frame, TimePoint deadline, FenceCallback callback)
    -> void
{
    lastUse_ = Clock::now();
    frame.id_ = id;
    if (isOpen()) {
        fences_[id] = { std::move(callback), deadline, std::nullopt };
        send(frame);
    } else {
        fences_[id] = { std::move(callback), deadline, std::move(frame) };
    }
}

auto LinkClient::Link::send(const Frame& frame) -> void
{
    if (!isOpen()) {
        unsentOthers_.push_back(frame);
        return;
    }
    // The silence of the other side counts from the time when it first owes something.
    if (calls_.size() + fences_.size() + pings_.size() <= 1) {
        lastSent_ = Clock::now();
    }
    stream_->send(frame);
}

auto LinkClient::Link::ping(std::function<void()> answered) -> void
{
    pings_.push_back(std::move(answered));
    send(PingFrame {});
}

auto LinkClient::Link::cancel(CallId id) -> void
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const bool sent = !found->second.unsent_ || found->second.asked_;
    calls_.erase(found);
    if (sent && isOpen()) {
        send(CancelFrame { id });
    }
}

auto LinkClient::Link::tick(TimePoint now) -> void
{
    expireFences(now);
    if (broken_) {
        return;
    }
    if (!isOpen()) {
        if (now > connectDeadline_) {
            fail("no connection in time");
        }
        return;
    }
    if (calls_.empty() && fences_.empty() && pings_.empty()) {
        return;
    }
    const auto quiet = now - std::max(stream_->lastReceived(), lastSent_);
    if (quiet > silentAfter) {
        ++owner_.stats_.silent_;
        fail("silent");
    } else if (quiet > pingAfter && !pinged_) {
        pinged_ = true;
        pings_.emplace_back(nullptr);
        stream_->send(PingFrame {});
    }
}

auto LinkClient::Link::expireFences(TimePoint now) -> void
{
    std::vector<FenceCallback> late;
    for (auto it = fences_.begin(); it != fences_.end();) {
        if (now > it->second.deadline_) {
            late.push_back(std::move(it->second.callback_));
            it = fences_.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto& callback : late) {
        callback(false);
    }
}

auto LinkClient::Link::fail(const std::string& reason) -> void
{
    if (broken_) {
        return;
    }
    const auto self = shared_from_this();
    endCalls(reason);
    owner_.events_.onLost_(node_, incarnation_ != 0);
}

auto LinkClient::Link::supersede() -> void
{
    // Not at once: the callbacks may make calls of their own.
    asio::post(owner_.context_, [self = shared_from_this()] {
        if (!self->broken_) {
            self->endCalls("the node has another address");
        }
    });
}

auto LinkClient::Link::endCalls(const std::string& reason) -> void
{
    broken_ = true;
    ++owner_.stats_.lost_;
    logEvent(LogLevel::Warning, "link_lost",
        { { "peer", node_ }, { "reason", reason }, { "calls", calls_.size() } });
    if (stream_) {
        stream_->close();
    }
    if (connecting_) {
        asio::error_code ignored; // Nothing is left to do with the socket.
        connecting_->close(ignored);
    }
    auto calls = std::exchange(calls_, {});
    auto fences = std::exchange(fences_, {});
    for (auto& [id, pending] : calls) {
        owner_.calls_.erase(id);
        const auto failure = pending.unsent_ ? LinkFailure::NotSent : LinkFailure::Lost;
        pending.callback_({ failure, pending.unsent_ ? 0 : incarnation_ });
    }
    for (auto& [id, pending] : fences) {
        pending.callback_(false);
    }
}

auto LinkClient::Link::close() -> void
{
    broken_ = true;
    if (stream_) {
        stream_->close();
    }
    if (connecting_) {
        asio::error_code ignored; // Nothing is left to do with the socket.
        connecting_->close(ignored);
    }
}

LinkClient::LinkClient(asio::io_context& context, LinkEvents events)
    : context_(context)
    , events_(std::move(events))
{
}

LinkClient::~LinkClient()
{
    for (const auto& [node, link] : links_) {
        link->close();
    }
}

auto LinkClient::linkTo(const NodeEntry& node) -> std::shared_ptr<Link>
{
    auto& link = links_[node.node_];
    if (!link || link->isBroken() || !(link->address() == node.link_)) {
        if (link && !link->isBroken()) {
            link->supersede();
        }
        ++stats_.opened_;
        link = std::make_shared<Link>(*this, node);
        link->connect();
    }
    return link;
}

auto LinkClient::call(const NodeEntry& node, GateCall call, Callback callback) -> CallId
{
    const auto id = ++lastId_;
    const auto link = linkTo(node);
    calls_[id] = link;
    link->sendCall(id, std::move(call), std::move(callback));
    return id;
}

auto LinkClient::cancel(CallId id) -> void
{
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    if (const auto link = found->second.lock()) {
        link->cancel(id);
    }
    calls_.erase(id);
}

auto LinkClient::fence(const NodeEntry& node, std::uint64_t incarnation, const std::string& attemptId,
    Duration timeout, FenceCallback callback) -> void
{
    FenceFrame frame;
    frame.incarnation_ = incarnation;
    frame.attemptId_ = attemptId;
    linkTo(node)->sendFence(++lastId_, std::move(frame), Clock::now() + timeout, std::move(callback));
}

auto LinkClient::requestState(const NodeEntry& node, const StateRequestFrame& request) -> void
{
    const auto link = linkTo(node);
    link->send(request);
    link->ping(nullptr); // The state itself may be missing; a reply is owed in any case.
}

auto LinkClient::connect(const NodeEntry& node) -> void
{
    linkTo(node);
}

auto LinkClient::sendFrame(const NodeEntry& node, const Frame& frame) -> void
{
    const auto link = linkTo(node);
    link->use();
    link->send(frame);
}

auto LinkClient::afterHandled(const NodeEntry& node, std::function<void()> handled) -> void
{
    linkTo(node)->ping(std::move(handled));
}

auto LinkClient::broadcast(const Frame& frame) -> void
{
    for (const auto& [node, link] : links_) {
        if (link->isOpen()) {
            link->send(frame);
        }
    }
}

auto LinkClient::tick(TimePoint now) -> void
{
    std::vector<std::shared_ptr<Link>> links;
    links.reserve(links_.size());
    for (const auto& [node, link] : links_) {
        links.push_back(link);
    }
    for (const auto& link : links) {
        link->tick(now);
    }
    std::erase_if(links_, [&](const auto& item) {
        if (!item.second->isBroken() && item.second->isIdle(now)) {
            item.second->close();
        }
        return item.second->isBroken();
    });
}

} // namespace wagtailhead
