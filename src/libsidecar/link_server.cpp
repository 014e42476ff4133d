#include "link_server.h"

#include "outcome_share.h"
#include "socket_options.h"
#include "transit_delay.h"
#include "wagtailhead/boot_clock.h"
#include "wagtailhead/log.h"

#include <asio/ip/tcp.hpp>
#include <cmath>
#include <limits>
#include <unordered_set>

namespace wagtailhead {

namespace {

constexpr int backlog = 512;
/// Bytes of replies that may wait for a node that does not read.
constexpr std::size_t mostUnsentBytes = std::size_t { 24 } << 20;
/// A load is told again after this time as long as requests are refused, and at once after such a step.
constexpr Duration loadInterval = milliseconds(500);
constexpr double toldLevelStep = 0.05;

auto differs(double level, double told) -> bool
{
    return std::abs(level - told) >= toldLevelStep || (level > 0) != (told > 0);
}

/// One accepted link: the calls of one node.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(asio::ip::tcp::socket socket, const LinkServerParts& parts,
        std::unordered_set<std::shared_ptr<Session>>& all)
        : stream_(std::make_shared<FrameStream>(std::move(socket)))
        , parts_(parts)
        , all_(all)
    {
    }

    auto start() -> void;
    auto send(const Frame& frame) -> void
    {
        stream_->send(frame);
    }
    auto close() -> void
    {
        stream_->close();
    }

private:
    auto onFrame(Frame frame) -> void;
    auto onCall(CallFrame frame) -> void;
    auto onRoomAsk(const RoomAskFrame& ask) -> void;
    /// Charges the body of a call. Returns false if there is no memory for it.
    auto chargeBody(CallFrame& frame) -> bool;
    /// Refuses a call that has not been handed to the gate.
    auto refuse(std::uint64_t id) -> void;
    auto onFence(const FenceFrame& frame) -> void;
    auto onClosed(const std::string& reason) -> void;
    auto deadlineOf(const CallFrame& frame) -> TimePoint;

    std::shared_ptr<FrameStream> stream_;
    const LinkServerParts& parts_;
    std::unordered_set<std::shared_ptr<Session>>& all_;
    std::string callerNode_;
    std::unordered_map<std::uint64_t, Gate::TicketId> tickets_; ///< By call id of the sender.
    std::unordered_map<std::uint64_t, MemoryCharge> rooms_; ///< For calls to come, by the same.
    TransitDelay transit_; ///< Of what arrives.
};

auto Session::start() -> void
{
    const std::weak_ptr<Session> weak = weak_from_this();
    stream_->start({ [weak](Frame frame) {
                        if (const auto self = weak.lock()) {
                            self->onFrame(std::move(frame));
                        }
                    },
        [weak](const std::string& reason) {
            if (const auto self = weak.lock()) {
                self->onClosed(reason);
            }
        } });
    const bool grantsRoom = parts_.takeRoom_ != nullptr;
    stream_->send(HelloFrame { parts_.node_, parts_.incarnation_, parts_.configVersion_(), grantsRoom });
    if (const auto entry = parts_.ownEntry_()) {
        stream_->send(EntryFrame { *entry });
    }
    if (parts_.lacksState_()) {
        stream_->send(StateRequestFrame { parts_.configVersion_(), true });
    }
}

auto Session::onFrame(Frame frame) -> void
{
    if (auto* call = std::get_if<CallFrame>(&frame)) {
        onCall(std::move(*call));
    } else if (const auto* hello = std::get_if<HelloFrame>(&frame)) {
        callerNode_ = hello->node_;
    } else if (const auto* ask = std::get_if<RoomAskFrame>(&frame)) {
        onRoomAsk(*ask);
    } else if (const auto* cancel = std::get_if<CancelFrame>(&frame)) {
        rooms_.erase(cancel->id_);
        const auto found = tickets_.find(cancel->id_);
        if (found != tickets_.end()) {
            const auto ticket = found->second;
            tickets_.erase(found);
            parts_.gate_.cancel(ticket);
        }
    } else if (const auto* fence = std::get_if<FenceFrame>(&frame)) {
        onFence(*fence);
    } else if (std::holds_alternative<PingFrame>(frame)) {
        stream_->send(PongFrame {});
    } else if (const auto* request = std::get_if<StateRequestFrame>(&frame)) {
        stream_->send(parts_.state_(*request));
    } else if (const auto* entry = std::get_if<EntryFrame>(&frame)) {
        parts_.onEntry_(entry->entry_);
    } else if (auto* heartbeat = std::get_if<BeatFrame>(&frame)) {
        addTransitTime(*heartbeat, transit_, bootNow());
        parts_.onHeartbeat_(callerNode_, *heartbeat);
    } else if (const auto* quotaAsk = std::get_if<QuotaAskFrame>(&frame)) {
        if (parts_.onQuotaAsk_) {
            stream_->send(parts_.onQuotaAsk_(*quotaAsk));
        }
    } else if (const auto* state = std::get_if<StateFrame>(&frame)) {
        parts_.onState_(callerNode_, *state);
    }
}

auto Session::deadlineOf(const CallFrame& frame) -> TimePoint
{
    const auto now = bootNow();
    return now + frame.call_.deadline_.time_since_epoch() - transit_.of(frame.sentAtUs_, now);
}

auto Session::onCall(CallFrame frame) -> void
{
    frame.call_.deadline_ = deadlineOf(frame);
    frame.call_.callerNode_ = callerNode_;
    const auto id = frame.id_;
    // Beyond that many bytes its response could not be held.
    if (!chargeBody(frame) || stream_->unsentBytes() > mostUnsentBytes) {
        refuse(id);
        return;
    }
    auto answered = std::make_shared<bool>(false);
    const auto ticket = parts_.gate_.submit(
        std::move(frame.call_), [weak = weak_from_this(), id, answered](GateReply reply) {
            *answered = true;
            if (const auto self = weak.lock()) {
                self->tickets_.erase(id);
                self->stream_->send(ReplyFrame { id, self->parts_.configVersion_(), std::move(reply) });
            }
        });
    if (!*answered) {
        tickets_[id] = ticket;
    }
}

auto Session::onRoomAsk(const RoomAskFrame& ask) -> void
{
    auto room = parts_.takeRoom_ ? parts_.takeRoom_(ask.bytes_) : MemoryCharge();
    stream_->send(RoomReplyFrame { ask.id_, room.has_value(), parts_.gate_.load() });
    if (room) {
        rooms_.insert_or_assign(ask.id_, std::move(*room));
    }
}

auto Session::chargeBody(CallFrame& frame) -> bool
{
    auto& body = frame.call_.body_;
    if (auto asked = rooms_.extract(frame.id_)) {
        body.hold(std::move(asked.mapped()));
        return true;
    }
    if (body.size() <= http1::largestSmallMessage || !parts_.takeRoom_) {
        return true;
    }
    // Processes of earlier versions do not ask.
    auto room = parts_.takeRoom_(body.size());
    if (room) {
        body.hold(std::move(*room));
    }
    return room.has_value();
}

auto Session::refuse(std::uint64_t id) -> void
{
    GateReply busy;
    busy.outcome_ = GateOutcome::NotRun;
    busy.reason_ = GateReason::Busy;
    busy.load_ = parts_.gate_.load();
    stream_->send(ReplyFrame { id, parts_.configVersion_(), std::move(busy) });
}

auto Session::onFence(const FenceFrame& frame) -> void
{
    // Another process had the attempt; what it did with it is not known here.
    const bool neverRuns = frame.incarnation_ == parts_.incarnation_ && parts_.gate_.fence(frame.attemptId_);
    logEvent(LogLevel::Info, "fence",
        { { "attempt", frame.attemptId_ }, { "never_runs", static_cast<int>(neverRuns) } });
    stream_->send(FenceReplyFrame { frame.id_, neverRuns });
}

auto Session::onClosed(const std::string& reason) -> void
{
    logEvent(LogLevel::Info, "link_closed", { { "reason", reason }, { "calls", tickets_.size() } });
    const auto self = shared_from_this();
    rooms_.clear();
    for (const auto& [id, ticket] : std::exchange(tickets_, {})) {
        parts_.gate_.cancel(ticket);
    }
    all_.erase(self);
}

class AsioLinkServer final : public LinkServer {
public:
    AsioLinkServer(asio::io_context& context, LinkServerParts parts)
        : acceptor_(context)
        , parts_(std::move(parts))
    {
    }

    ~AsioLinkServer() override
    {
        for (const auto& session : sessions_) {
            session->close();
        }
    }
    AsioLinkServer(const AsioLinkServer&) = delete;
    auto operator=(const AsioLinkServer&) -> AsioLinkServer& = delete;

    auto listen(const Address& address) -> Result<Done>;
    auto accept() -> void;
    auto broadcast(const Frame& frame) -> void override
    {
        for (const auto& session : sessions_) {
            session->send(frame);
        }
    }

    auto tick(TimePoint now) -> void override;

private:
    asio::ip::tcp::acceptor acceptor_;
    LinkServerParts parts_;
    GateLoad told_;
    TimePoint toldAt_;
    std::unordered_set<std::shared_ptr<Session>> sessions_;
};

auto AsioLinkServer::listen(const Address& address) -> Result<Done>
{
    asio::error_code error;
    const auto endpoint = http1::endpointOf(address);
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(backlog, error);
    }
    if (error) {
        return Error { ErrorCode::Unavailable,
            "cannot listen on " + address.text() + ": " + error.message() };
    }
    return Done {};
}

auto AsioLinkServer::tick(TimePoint now) -> void
{
    const auto load = parts_.gate_.load();
    const bool changed = differs(load.level_, told_.level_)
        || differs(load.called_.level_, told_.called_.level_)
        || (load.failedShare_ >= failingShare) != (told_.failedShare_ >= failingShare);
    const bool refuses = load.level_ > 0 || load.called_.level_ > 0;
    if (!changed && (!refuses || now - toldAt_ < loadInterval)) {
        return;
    }
    told_ = load;
    toldAt_ = now;
    broadcast(LoadFrame { load });
}

auto AsioLinkServer::accept() -> void
{
    acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            logEvent(LogLevel::Warning, "accept_failed", { { "error", error.message() } });
        } else {
            auto session = std::make_shared<Session>(std::move(socket), parts_, sessions_);
            sessions_.insert(session);
            session->start();
        }
        accept();
    });
}

} // namespace

auto LinkServer::open(asio::io_context& context, const Address& address, LinkServerParts parts)
    -> Result<std::unique_ptr<LinkServer>>
{
    auto server = std::make_unique<AsioLinkServer>(context, std::move(parts));
    auto listening = server->listen(address);
    if (!isOk(listening)) {
        return errorOf(listening);
    }
    server->accept();
    return std::unique_ptr<LinkServer>(std::move(server));
}

} // namespace wagtailhead
