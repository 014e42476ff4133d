#include "wagtailhead/node.h"

#include "admin_server.h"
#include "backend_monitor.h"
#include "call_entry.h"
#include "caller_answer.h"
#include "ledger_service.h"
#include "node_control.h"
#include "node_dump.h"
#include "store_link.h"
#include "wagtailhead/log.h"
#include "wagtailhead/presence.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <thread>

namespace wagtailhead {

namespace {

/// How often the warm connections follow the membership and the services in use.
constexpr Duration warmInterval = seconds(1);
/// Warm connections are limited, because each costs memory and pings at both ends.
constexpr std::size_t maxWarmPeers = 48;
/// New calls still arrive from nodes that have not heard of the leave; they get a refusal in this time.
constexpr Duration leaveNotice = seconds(3);
/// Shards are handed over within a few seconds; without a successor they are given up after this.
constexpr Duration handoverLimit = seconds(10);
constexpr Duration leaveCheckInterval = milliseconds(50);

auto notRunHeaders() -> HttpHeaders
{
    return { { headers::outcome, outcomeName(Outcome::NotRun) }, { headers::reason, "malformed" } };
}

} // namespace

/// Owns all parts. They are declared in the order in which they depend on each other.
class NodeProcess final : public Node {
public:
    explicit NodeProcess(NodeSettings settings);
    ~NodeProcess() override;

    auto open() -> Result<Done>;
    auto run() -> void override;

private:
    auto openNetwork() -> Result<Done>;
    auto openServers() -> Result<Done>;
    auto connectParts() -> void;
    auto onPeerMessage(const NodeRef& from, Message message, PeerTransport::ReplyFunction reply) -> void;
    auto onBackendState(const BackendState& state) -> void;
    auto onConfig(const ActiveConfig& config) -> void;
    auto followWarmPeers() -> void;
    auto warmPeers() const -> std::vector<PeerTarget>;
    auto waitForSignal() -> void;
    auto leave(const char* reason) -> void;
    auto checkLeft() -> void;
    auto depart() -> void;
    auto isReady() const -> bool;
    auto dump() const -> nlohmann::json;

    const NodeSettings settings_;
    asio::io_context context_;
    asio::signal_set signals_;
    asio::steady_timer warmTimer_;
    asio::steady_timer leaveTimer_;
    MemberTable members_;
    ItemTable items_;
    ConfigView config_;
    ShardMap shards_;
    CallTable calls_;
    LevelTable levels_;
    std::unique_ptr<Router> router_;
    std::unique_ptr<RetryPolicy> retryPolicy_;
    std::unique_ptr<HttpClient> backendHttp_;
    std::unique_ptr<HttpClient> storeHttp_;
    std::unique_ptr<PeerTransport> transport_;
    std::unique_ptr<PresenceService> presence_;
    std::unique_ptr<StoreLink> store_;
    std::unique_ptr<LedgerService> ledger_;
    std::unique_ptr<CallExecutor> executor_;
    std::unique_ptr<CallSender> sender_;
    std::unique_ptr<OnceSender> onceSender_;
    std::unique_ptr<CallEntry> entry_;
    std::unique_ptr<BackendMonitor> monitor_;
    std::unique_ptr<NodeControl> control_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> subCallServer_;
    const TimePoint startedAt_ = Clock::now();
    std::atomic<bool> leaving_ { false };
    TimePoint leaveStarted_;
};

NodeProcess::NodeProcess(NodeSettings settings)
    : settings_(std::move(settings))
    , context_(settings_.workers_)
    , signals_(context_, SIGTERM, SIGINT)
    , warmTimer_(context_)
    , leaveTimer_(context_)
    , calls_(settings_.seed_)
    , levels_({ .mechanism_ = settings_.shedding_ }, settings_.seed_ + 1)
{
}

NodeProcess::~NodeProcess() = default;

auto NodeProcess::open() -> Result<Done>
{
    RouterOptions router;
    router.zone_ = settings_.zone_;
    router.region_ = settings_.region_;
    router.mechanism_ = settings_.routing_;
    router_ = Router::create(router, settings_.seed_ + 2);
    RetryOptions retry;
    retry.mechanism_ = settings_.retries_;
    retryPolicy_ = RetryPolicy::create(retry, settings_.seed_ + 3);
    HttpClientOptions http;
    http.maxConnectionsPerHost_ = settings_.connections_ > 0 ? settings_.connections_ : settings_.slots_ * 2;
    backendHttp_ = HttpClient::create(context_, http);
    storeHttp_ = HttpClient::create(context_, {});
    config_.follow(items_);
    config_.onChange([this](const std::shared_ptr<const ActiveConfig>& config) {
        onConfig(*config);
    });
    items_.onChange("shards/", [this](const VersionedItem& item) {
        ledger_->onMapItem(item);
    });
    auto network = openNetwork();
    if (!isOk(network)) {
        return network;
    }
    connectParts();
    return openServers();
}

auto NodeProcess::openNetwork() -> Result<Done>
{
    PeerTransportOptions peer;
    peer.self_ = settings_.self_;
    peer.zone_ = settings_.zone_;
    peer.listen_ = settings_.peerListen_;
    peer.translations_ = settings_.translations_;
    auto transport = PeerTransport::open(
        context_, peer, [this](const NodeRef& from, Message message, PeerTransport::ReplyFunction reply) {
            onPeerMessage(from, std::move(message), std::move(reply));
        });
    if (!isOk(transport)) {
        return errorOf(transport);
    }
    transport_ = valueOf(std::move(transport));
    PresenceOptions presence;
    presence.self_ = memberOf(settings_);
    presence.transport_.listen_ = settings_.gossipListen_;
    presence.transport_.translate_ = [this](const Address& announced, const std::string& zone) {
        return translateAddress(announced, zone, settings_.translations_);
    };
    for (const auto& peerAddress : settings_.peers_) {
        presence.peers_.push_back({ peerAddress, {} });
    }
    presence.seed_ = settings_.seed_ + 4;
    auto opened = PresenceService::open(context_, presence, members_, items_);
    if (!isOk(opened)) {
        return errorOf(opened);
    }
    presence_ = valueOf(std::move(opened));
    presence_->onReplaced([this](Incarnation) {
        leave("replaced");
    });
    return Done {};
}

auto NodeProcess::connectParts() -> void
{
    store_ = std::make_unique<StoreLink>(context_, *storeHttp_, settings_, members_, items_, *presence_);
    ledger_
        = std::make_unique<LedgerService>(LedgerServiceParts { context_, *transport_, members_, config_,
                                              shards_, store_->shards(), settings_.self_, settings_.service_,
                                              [this](const VersionedItem& item) {
                                                  items_.apply(item);
                                              } },
            settings_.seed_ + 5);
    executor_ = std::make_unique<CallExecutor>(CallExecutorParts { context_, *backendHttp_, calls_, *ledger_,
                                                   [this](const std::vector<SubCallId>& ids) {
                                                       entry_->cancelSubCalls(ids);
                                                   } },
        settings_);
    sender_ = std::make_unique<CallSender>(CallSenderParts {
        context_, *transport_, *router_, *retryPolicy_, members_, config_, *executor_, settings_.self_ });
    onceSender_ = std::make_unique<OnceSender>(
        OnceSenderParts { context_, *transport_, members_, config_, shards_, *executor_, *sender_,
            settings_.self_, [this](const Fence& fence, std::function<void(FenceReply)> reply) {
                ledger_->fenceHere(fence, std::move(reply));
            } });
    entry_ = std::make_unique<CallEntry>(
        CallEntryParts { config_, calls_, *sender_, *onceSender_, levels_ }, settings_.seed_ + 6);
    monitor_ = std::make_unique<BackendMonitor>(
        context_, *backendHttp_, settings_.backend_, [this](const BackendState& state) {
            onBackendState(state);
        });
    control_ = std::make_unique<NodeControl>(NodeControlParts { context_, settings_, *storeHttp_, *transport_,
                                                 items_, config_, members_, shards_, *executor_ },
        settings_.seed_ + 7);
}

auto NodeProcess::openServers() -> Result<Done>
{
    HttpServerOptions options;
    options.listen_ = settings_.listen_;
    options.errorHeaders_ = notRunHeaders();
    auto callers = HttpServer::open(
        context_, options, [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
            if (isNodePath(request.target_)) {
                serveNodePath(
                    std::move(request), responder,
                    [this] {
                        return dump();
                    },
                    [this](const HttpRequest& admin, const std::shared_ptr<HttpResponder>& answer) {
                        control_->handle(admin, answer);
                    });
                return;
            }
            entry_->onCallerRequest(std::move(request), responder);
        });
    if (!isOk(callers)) {
        return errorOf(callers);
    }
    callerServer_ = valueOf(std::move(callers));
    options.listen_ = settings_.subcallListen_;
    auto subCalls = HttpServer::open(
        context_, options, [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
            entry_->onSubCall(std::move(request), responder);
        });
    if (!isOk(subCalls)) {
        return errorOf(subCalls);
    }
    subCallServer_ = valueOf(std::move(subCalls));
    return Done {};
}

auto NodeProcess::run() -> void
{
    logEvent(LogLevel::Info, "started",
        { { "node", settings_.self_.id_ }, { "incarnation", settings_.self_.incarnation_ },
            { "zone", settings_.zone_ }, { "service", settings_.service_ },
            { "listen", settings_.listen_.text() } });
    waitForSignal();
    monitor_->start();
    store_->start();
    ledger_->start();
    followWarmPeers();
    std::vector<std::thread> workers;
    for (int i = 1; i < settings_.workers_; ++i) {
        workers.emplace_back([this] {
            context_.run();
        });
    }
    context_.run();
    for (auto& worker : workers) {
        worker.join();
    }
    logEvent(LogLevel::Info, "stopped", { { "node", settings_.self_.id_ } });
}

auto NodeProcess::onPeerMessage(const NodeRef& from, Message message, PeerTransport::ReplyFunction reply)
    -> void
{
    if (auto* call = std::get_if<CallRequest>(&message)) {
        executor_->execute(from, std::move(*call), [reply = std::move(reply)](CallReply answer) {
            reply(std::move(answer));
        });
    } else if (const auto* cancel = std::get_if<CancelCall>(&message)) {
        executor_->cancel(from, cancel->callId_);
    } else if (const auto* summary = std::get_if<SummaryRequest>(&message)) {
        control_->onRequest(*summary, std::move(reply));
    } else {
        ledger_->onMessage(message, reply);
    }
}

auto NodeProcess::onBackendState(const BackendState& state) -> void
{
    logEvent(state.up_ ? LogLevel::Info : LogLevel::Warning, "backend_state",
        { { "up", static_cast<int>(state.up_) }, { "draining", static_cast<int>(state.draining_) } });
    executor_->setBackendUp(state.up_);
    presence_->updateBackend(state.up_, settings_.slots_, state.readySinceMs_);
    if (state.draining_) {
        leave("backend-draining");
    }
}

auto NodeProcess::onConfig(const ActiveConfig& config) -> void
{
    if (config.links_) {
        router_->setLinkBudget(static_cast<double>(config.links_->linkBytesPerSecond_));
    }
    const auto& nodes = config.leaving_.nodes_;
    if (std::find(nodes.begin(), nodes.end(), settings_.self_.id_) != nodes.end()) {
        leave("intent");
    }
}

auto NodeProcess::followWarmPeers() -> void
{
    transport_->keepWarm(warmPeers());
    warmTimer_.expires_after(warmInterval);
    warmTimer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            followWarmPeers();
        }
    });
}

auto NodeProcess::warmPeers() const -> std::vector<PeerTarget>
{
    std::vector<PeerTarget> near;
    std::vector<PeerTarget> region;
    const auto members = members_.snapshot();
    for (const auto& service : sender_->calledServices()) {
        const auto found = members->byService_.find(service);
        if (found == members->byService_.end()) {
            continue;
        }
        for (const auto* member : found->second) {
            const bool usable = member->state_ == MemberState::Alive && member->ref_ != settings_.self_;
            if (usable && member->region_ == settings_.region_) {
                (member->zone_ == settings_.zone_ ? near : region).push_back(peerTargetOf(*member));
            }
        }
    }
    near.insert(near.end(), region.begin(), region.end());
    near.resize(std::min(near.size(), maxWarmPeers));
    return near;
}

auto NodeProcess::waitForSignal() -> void
{
    signals_.async_wait([this](const asio::error_code& error, int) {
        if (error) {
            return;
        }
        // Later signals change nothing: the calls in flight are still finished.
        leave("signal");
        waitForSignal();
    });
}

auto NodeProcess::leave(const char* reason) -> void
{
    if (leaving_.exchange(true)) {
        return;
    }
    logEvent(LogLevel::Info, "leaving", { { "node", settings_.self_.id_ }, { "reason", reason } });
    leaveStarted_ = Clock::now();
    executor_->startLeaving();
    entry_->startLeaving();
    presence_->leave();
    checkLeft();
}

auto NodeProcess::checkLeft() -> void
{
    const auto waited = Clock::now() - leaveStarted_;
    const bool idle = entry_->inFlight() == 0 && executor_->inFlight() == 0;
    const bool handedOver = ledger_->activeShards() == 0 || waited > handoverLimit;
    if (idle && handedOver && waited > leaveNotice) {
        depart();
        return;
    }
    leaveTimer_.expires_after(leaveCheckInterval);
    leaveTimer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            checkLeft();
        }
    });
}

auto NodeProcess::depart() -> void
{
    callerServer_->stopAccepting();
    subCallServer_->stopAccepting();
    transport_->stopAccepting();
    presence_->depart([this] {
        logEvent(LogLevel::Info, "departed",
            { { "node", settings_.self_.id_ },
                { "seconds", toMilliseconds(Clock::now() - leaveStarted_) / 1000 } });
        context_.stop();
    });
}

auto NodeProcess::isReady() const -> bool
{
    return executor_->isBackendUp() && !leaving_ && config_.current()->isComplete()
        && ledger_->allShardsOwned();
}

auto NodeProcess::dump() const -> nlohmann::json
{
    return dumpNode({ settings_, isReady(), leaving_, Clock::now() - startedAt_, *members_.snapshot(),
        *config_.current(), *executor_, *entry_, *router_, *transport_, *presence_, *ledger_, *store_ });
}

auto Node::start(NodeSettings settings) -> Result<std::unique_ptr<Node>>
{
    auto node = std::make_unique<NodeProcess>(std::move(settings));
    auto opened = node->open();
    if (!isOk(opened)) {
        return errorOf(opened);
    }
    return std::unique_ptr<Node>(std::move(node));
}

} // namespace wagtailhead
