#include "wagtailhead/presence.h"

#include "wagtailhead/log.h"

#include <algorithm>
#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace wagtailhead {

namespace {

/// Longest time that the announcement of a departure may take.
constexpr Duration departTimeout = seconds(1);

/// The pause after replacing the membership table, as a multiple of the time that took: at most 1% of a
/// core goes into it, also with thousands of members that change all the time.
constexpr int publishPauseFactor = 100;

/// The protocol on one strand. Lives as long as any handler that refers to it.
class PresenceEngine : public std::enable_shared_from_this<PresenceEngine> {
public:
    PresenceEngine(asio::io_context& context, PresenceOptions options, MemberTable& members, ItemTable& items)
        : strand_(asio::make_strand(context))
        , options_(std::move(options))
        , members_(members)
        , items_(items)
        , wakeTimer_(context)
        , publishTimer_(context)
        , departTimer_(context)
    {
    }

    auto open(asio::io_context& context) -> Result<Done>
    {
        auto transport = GossipTransport::open(context, options_.transport_,
            [weak = weak_from_this()](GossipMessage message, GossipTransport::ReplyFunction reply) {
                if (const auto self = weak.lock()) {
                    self->run([message = std::move(message), reply = std::move(reply)](
                                  PresenceEngine& engine) mutable {
                        engine.onRequest(message, std::move(reply));
                    });
                }
            });
        if (!isOk(transport)) {
            return errorOf(transport);
        }
        transport_ = valueOf(std::move(transport));
        auto& self = options_.self_;
        if (self.gossip_.port_ == 0) {
            self.gossip_.port_ = address().port_;
        }
        const auto now = Clock::now();
        protocol_ = std::make_unique<MembershipProtocol>(self, options_.membership_, options_.seed_, now);
        protocol_->addPeers(now, options_.peers_);
        for (const auto& item : items_.list()) {
            protocol_->publish(now, item);
        }
        items_.onChange("", [weak = weak_from_this()](const VersionedItem& item) {
            if (const auto engine = weak.lock()) {
                engine->run([item](PresenceEngine& self) {
                    self.protocol_->publish(Clock::now(), item);
                });
            }
        });
        publishMembers();
        run([](PresenceEngine&) {});
        return Done {};
    }

    /// Runs `step` on the strand and then sends what the protocol has put out.
    template <typename Step> auto run(Step step) -> void
    {
        asio::post(strand_, [self = shared_from_this(), step = std::move(step)]() mutable {
            if (!self->closed_) {
                step(*self);
                self->flush();
            }
        });
    }

    auto close() -> void
    {
        closed_ = true;
        std::shared_ptr<GossipTransport> transport;
        {
            const std::lock_guard lock(mutex_);
            transport.swap(transport_);
        }
        asio::post(strand_, [self = shared_from_this()] {
            self->wakeTimer_.cancel();
            self->publishTimer_.cancel();
            self->departTimer_.cancel();
        });
    }

    auto depart(std::function<void()> done) -> void
    {
        run([done = std::move(done)](PresenceEngine& self) mutable {
            self.departed_ = std::move(done);
            self.protocol_->depart(Clock::now());
            self.flush();
            if (self.departureRequests_.empty()) {
                self.finishDeparture();
                return;
            }
            self.departTimer_.expires_after(departTimeout);
            self.departTimer_.async_wait(
                asio::bind_executor(self.strand_, [engine = self.shared_from_this()](const auto& error) {
                    if (!error) {
                        engine->finishDeparture();
                    }
                }));
        });
    }

    auto stats() const -> PresenceStats
    {
        const std::lock_guard lock(mutex_);
        auto stats = stats_;
        if (transport_) {
            stats.transport_ = transport_->stats();
        }
        return stats;
    }

    auto address() const -> Address
    {
        const std::lock_guard lock(mutex_);
        return transport_->address();
    }

    asio::strand<asio::io_context::executor_type> strand_;
    PresenceOptions options_;
    MemberTable& members_;
    ItemTable& items_;
    std::unique_ptr<MembershipProtocol> protocol_; ///< Used on the strand only.
    PresenceService::MembersListener onMembersChange_;
    PresenceService::ReplacedListener onReplaced_;

private:
    auto onRequest(const GossipMessage& message, GossipTransport::ReplyFunction reply) -> void
    {
        const auto token = nextToken_++;
        replies_.emplace(token, std::move(reply));
        protocol_->onRequest(Clock::now(), token, message);
    }

    auto flush() -> void
    {
        auto output = protocol_->takeOutput();
        for (const auto& reply : output.replies_) {
            if (const auto taken = replies_.extract(reply.token_); !taken.empty()) {
                taken.mapped()(reply.message_);
            }
        }
        for (auto& request : output.requests_) {
            send(request);
        }
        for (const auto& item : output.items_) {
            items_.apply(item);
        }
        scheduleWake();
        schedulePublish();
        reportReplacement();
        const std::lock_guard lock(mutex_);
        stats_.membership_ = protocol_->stats();
        stats_.liveMembers_ = protocol_->liveCount();
        stats_.items_ = protocol_->itemCount();
    }

    auto send(const GossipRequest& request) -> void
    {
        std::shared_ptr<GossipTransport> transport;
        {
            const std::lock_guard lock(mutex_);
            transport = transport_;
        }
        if (!transport) {
            return;
        }
        if (departed_) {
            departureRequests_.insert(request.id_);
        }
        transport->request(request.to_, request.message_, request.timeout_,
            [self = shared_from_this(), id = request.id_](std::optional<GossipMessage> reply) {
                self->run([id, reply = std::move(reply)](PresenceEngine& engine) {
                    engine.onOutcome(id, reply);
                });
            });
    }

    auto onOutcome(std::uint64_t id, const std::optional<GossipMessage>& reply) -> void
    {
        reply ? protocol_->onReply(Clock::now(), id, *reply) : protocol_->onFailure(Clock::now(), id);
        if (departureRequests_.erase(id) > 0 && departureRequests_.empty()) {
            finishDeparture();
        }
    }

    auto scheduleWake() -> void
    {
        const auto wake = protocol_->nextWake();
        if (wake == wakeAt_) {
            return;
        }
        wakeAt_ = wake;
        if (wake == TimePoint::max()) {
            wakeTimer_.cancel();
            return;
        }
        wakeTimer_.expires_at(wake);
        wakeTimer_.async_wait(asio::bind_executor(strand_, [self = shared_from_this()](const auto& error) {
            if (error || self->closed_) {
                return;
            }
            self->wakeAt_ = TimePoint::min();
            self->protocol_->tick(Clock::now());
            self->flush();
        }));
    }

    /// Replaces the table at once if the last time is long enough ago, or else at the end of the interval.
    auto schedulePublish() -> void
    {
        if (publishScheduled_ || protocol_->membersVersion() == publishedVersion_) {
            return;
        }
        publishScheduled_ = true;
        publishTimer_.expires_at(nextPublish_);
        publishTimer_.async_wait(asio::bind_executor(strand_, [self = shared_from_this()](const auto& error) {
            if (error || self->closed_) {
                return;
            }
            self->publishScheduled_ = false;
            self->publishMembers();
        }));
    }

    auto publishMembers() -> void
    {
        const auto start = Clock::now();
        publishedVersion_ = protocol_->membersVersion();
        auto list = members_.replace(protocol_->members());
        const auto end = Clock::now();
        nextPublish_ = end + std::max(options_.publishInterval_, (end - start) * publishPauseFactor);
        if (onMembersChange_) {
            onMembersChange_(std::move(list));
        }
    }

    auto reportReplacement() -> void
    {
        const auto by = protocol_->replacedBy();
        if (!by || std::exchange(replacementReported_, true)) {
            return;
        }
        logEvent(LogLevel::Error, "node-replaced",
            { { "node", protocol_->self().ref_.id_ }, { "incarnation", protocol_->self().ref_.incarnation_ },
                { "by", *by } });
        if (onReplaced_) {
            onReplaced_(*by);
        }
    }

    auto finishDeparture() -> void
    {
        if (const auto done = std::exchange(departed_, nullptr)) {
            departTimer_.cancel();
            done();
        }
    }

    asio::steady_timer wakeTimer_;
    asio::steady_timer publishTimer_;
    asio::steady_timer departTimer_;
    std::atomic<bool> closed_ = false;
    TimePoint wakeAt_ = TimePoint::min();
    TimePoint nextPublish_;
    std::uint64_t publishedVersion_ = 0;
    bool publishScheduled_ = false;
    bool replacementReported_ = false;
    std::map<std::uint64_t, GossipTransport::ReplyFunction> replies_;
    std::uint64_t nextToken_ = 1;
    std::function<void()> departed_;
    std::set<std::uint64_t> departureRequests_;
    mutable std::mutex mutex_; ///< Guards the members below.
    std::shared_ptr<GossipTransport> transport_;
    PresenceStats stats_;
};

class PresenceServiceImplementation : public PresenceService {
public:
    explicit PresenceServiceImplementation(std::shared_ptr<PresenceEngine> engine)
        : engine_(std::move(engine))
        , address_(engine_->address())
    {
    }
    ~PresenceServiceImplementation() override
    {
        engine_->close();
    }
    PresenceServiceImplementation(const PresenceServiceImplementation&) = delete;
    auto operator=(const PresenceServiceImplementation&) -> PresenceServiceImplementation& = delete;

    auto onMembersChange(MembersListener listener) -> void override
    {
        engine_->onMembersChange_ = std::move(listener);
    }
    auto onReplaced(ReplacedListener listener) -> void override
    {
        engine_->onReplaced_ = std::move(listener);
    }
    auto addSeeds(std::vector<SeedAddress> seeds) -> void override
    {
        engine_->run([seeds = std::move(seeds)](PresenceEngine& engine) {
            engine.protocol_->addSeeds(Clock::now(), seeds);
        });
    }
    auto updateBackend(bool up, int slots, std::uint64_t readySinceMs) -> void override
    {
        engine_->run([up, slots, readySinceMs](PresenceEngine& engine) {
            engine.protocol_->updateSelf(Clock::now(), up, slots, readySinceMs);
        });
    }
    auto leave() -> void override
    {
        engine_->run([](PresenceEngine& engine) {
            engine.protocol_->leave(Clock::now());
        });
    }
    auto depart(std::function<void()> done) -> void override
    {
        engine_->depart(std::move(done));
    }
    auto address() const -> Address override
    {
        return address_;
    }
    auto stats() const -> PresenceStats override
    {
        return engine_->stats();
    }

private:
    std::shared_ptr<PresenceEngine> engine_;
    Address address_;
};

} // namespace

auto PresenceService::open(asio::io_context& context, PresenceOptions options, MemberTable& members,
    ItemTable& items) -> Result<std::unique_ptr<PresenceService>>
{
    auto engine = std::make_shared<PresenceEngine>(context, std::move(options), members, items);
    if (auto opened = engine->open(context); !isOk(opened)) {
        return errorOf(opened);
    }
    return std::unique_ptr<PresenceService>(
        std::make_unique<PresenceServiceImplementation>(std::move(engine)));
}

} // namespace wagtailhead
