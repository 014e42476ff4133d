#include "wagtailhead/sidecar.h"

#include "caller_entry.h"
#include "health_check.h"
#include "link_server.h"
#include "node_gauges.h"
#include "report_server.h"
#include "stop_sequence.h"
#include "wagtailhead/log.h"
#include "wagtailhead/metrics.h"

#include <algorithm>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>

namespace wagtailhead {

namespace {

/// How often deadlines, idle connections and silent links are checked.
constexpr Duration tickInterval = milliseconds(50);
/// The slower checks run on each n-th tick.
constexpr int slowTicks = 2;
/// The settings file may change without a signal; it is looked at on each n-th tick.
constexpr int settingsTicks = 20;
/// With fewer answers the backend server's calls may not have been recognized yet.
constexpr std::uint64_t answersBeforeJudging = 500;
/// Levels that come in within this time are passed on together.
constexpr Duration spreadDelay = milliseconds(15);
/// The routes that only backend servers use are judged, and the load is logged, on each n-th tick.
constexpr int judgeTicks = 20;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// Served on the readiness address, and on the address for metrics if there is one.
constexpr auto metricsPath = "/-/metrics";
constexpr auto scraperPath = "/metrics";

auto nowMicroseconds() -> std::uint64_t
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<microseconds>(WallClock::now().time_since_epoch()).count());
}

/// A part of the memory of the process that responses may take until their callers have read them.
constexpr std::size_t unwrittenMemoryDivisor = 4;

/// A part of the memory of the process that responses of the backend server may take while they are read.
/// Each is held twice more on its way to the caller.
constexpr std::size_t bufferedMemoryDivisor = 5;

/// Parts of the memory that requests may take until the backend server has them: those of up to 64 KiB, and
/// longer ones. The longest body that a configuration of the platform allows (64 MiB) fits into the smallest
/// VM (160 MB).
constexpr std::size_t smallMessageDivisor = 16;
constexpr double largeMessageShare = 0.42;
/// Part of the sockets that callers may take; the others are for the backend server, links, reports and the
/// store.
constexpr double callerSocketShare = 0.6;

auto listenerBounds(const SidecarSettings& settings) -> http1::ListenerBounds
{
    return { .connections_
        = static_cast<std::size_t>(static_cast<double>(settings.sockets_) * callerSocketShare),
        .smallMessageBytes_ = settings.memoryBytes_ / smallMessageDivisor,
        .largeMessageBytes_
        = static_cast<std::size_t>(static_cast<double>(settings.memoryBytes_) * largeMessageShare),
        .readAheadBytes_ = settings.memoryBytes_ / smallMessageDivisor };
}

auto backendPoolOptions(const SidecarSettings& settings, const HeaderNames& headers) -> http1::PoolOptions
{
    http1::PoolOptions options {
        .server_ = settings.backend_, .serverPace_ = http1::PeerPace::Slow, .echoHeader_ = headers.attemptId_
    };
    if (settings.memoryBytes_ > 0) {
        options.maxBufferedBytes_ = settings.memoryBytes_ / bufferedMemoryDivisor;
        options.maxResponseBytes_ = std::min(options.maxResponseBytes_, options.maxBufferedBytes_);
    }
    return options;
}

} // namespace

/// Owns all parts, in the order in which they depend on each other.
class SidecarProcess final : public Sidecar {
public:
    SidecarProcess(SidecarSettings settings, PlatformInterface platform, const HeaderNames& headers);

    auto open() -> Result<Done>;
    auto run() -> void override;

private:
    auto openListeners() -> Result<Done>;
    auto makeSiteState() -> std::unique_ptr<SiteState>;
    auto linkEvents() -> LinkEvents;
    auto linkServerParts() -> LinkServerParts;
    auto onConfiguration(const SiteConfiguration& configuration) -> void;
    /// Takes changes of the configuration and of the membership into the quotas.
    auto refreshQuotas() -> void;
    auto onBackendStatus() -> void;
    /// Returns the path of the backend server's health check; empty without a configuration that names it.
    auto healthPath() const -> std::string;
    auto onLinkLost(const std::string& node, bool wasOpen) -> void;
    auto onReadinessRequest(const http1::Request& request, const std::shared_ptr<http1::Exchange>& exchange)
        -> void;
    auto isReady() const -> bool;
    auto waitForSignal() -> void;
    auto reload() -> void;
    /// Reloads if the settings file has changed since it was read.
    auto reloadIfChanged() -> void;
    auto beginStop() -> void;
    auto stopAccepting() -> void;
    auto checkStopped() -> void;
    auto tick() -> void;
    auto callsMade() const -> CallsMade;
    auto spreadLevels() -> void;
    auto spreadLevelsSoon() -> void;
    auto logLoad() -> void;
    auto publishMetrics() -> void;

    SidecarSettings settings_;
    const PlatformInterface platform_;
    const HeaderNames headers_;
    const std::uint64_t incarnation_ = nowMicroseconds();
    asio::io_context context_ { 1 };
    asio::signal_set signals_;
    asio::steady_timer timer_;
    asio::steady_timer spreadTimer_;
    Directory directory_;
    BackendReports reports_;
    std::shared_ptr<http1::Pool> backendPool_;
    HealthCheck healthCheck_;
    RequestMetrics metrics_;
    Gate gate_;
    LinkClient links_;
    QuotaService quota_;
    std::unique_ptr<ObjectStore> store_;
    std::unique_ptr<SiteState> siteState_;
    CallerEntry entry_;
    std::unique_ptr<LinkServer> linkServer_;
    std::shared_ptr<http1::Listener> callers_;
    std::shared_ptr<http1::Listener> readiness_;
    std::shared_ptr<http1::Listener> scraper_; ///< Null without an address for metrics.
    std::unique_ptr<ReportServer> reportServer_;
    std::string settingsStamp_; ///< Of the settings file as it was read last.
    bool spreadDue_ = false;
    bool stopping_ = false;
    bool accepting_ = true; ///< The gate takes requests.
    bool listenerClosed_ = false;
    TimePoint configurationAdopted_;
    TimePoint stopStarted_;
    TimePoint stopSignalled_; ///< The same in bootNow() time.
    std::optional<StopSequence> stop_; ///< Set while stopping.
    int ticks_ = 0;
};

SidecarProcess::SidecarProcess(
    SidecarSettings settings, PlatformInterface platform, const HeaderNames& headers)
    : settings_(std::move(settings))
    , platform_(std::move(platform))
    , headers_(headers)
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
    , timer_(context_)
    , spreadTimer_(context_)
    , directory_({ settings_.node_, settings_.zone_, settings_.region_, settings_.seed_ })
    , reports_(settings_.service_,
          settings_.firstStart_ ? ReadyEvidence::Report : ReadyEvidence::AnswerOrLaterReport, Clock::now())
    , backendPool_(http1::Pool::create(context_, backendPoolOptions(settings_, headers_)))
    , healthCheck_({ backendPool_, headers_, reports_,
          [this] {
              return healthPath();
          },
          [this] {
              onBackendStatus();
              siteState_->publish(nullptr);
          } })
    , gate_({ .service_ = settings_.service_, .headers_ = headers_ }, backendPool_, metrics_)
    , links_(context_, linkEvents())
    , quota_({ { settings_.node_, settings_.zone_, settings_.region_ }, settings_.seed_ + 3,
                 { .over_ = settings_.quotaOver_, .slack_ = settings_.quotaSlack_ } },
          directory_, links_)
    , store_(platform_.openStore_(context_, settings_.store_))
    , siteState_(makeSiteState())
    , entry_({ .node_ = settings_.node_,
                 .service_ = settings_.service_,
                 .headers_ = headers_,
                 .retries_ = { .share_ = settings_.retryShare_,
                     .burst_ = settings_.retryBurst_,
                     .window_ = settings_.retryWindow_ },
                 .seed_ = settings_.seed_ + 1 },
          { directory_, links_, gate_, metrics_, quota_,
              [this] {
                  return siteState_->configuration();
              },
              [this](std::size_t bytes) {
                  return settings_.memoryBytes_ == 0
                      || callers_->unwrittenBytes() + bytes
                      <= settings_.memoryBytes_ / unwrittenMemoryDivisor;
              } })
{
}

auto SidecarProcess::makeSiteState() -> std::unique_ptr<SiteState>
{
    NodeEntry self;
    self.node_ = settings_.node_;
    self.zone_ = settings_.zone_;
    self.region_ = settings_.region_;
    self.service_ = settings_.service_;
    self.link_ = settings_.announcedLink_.port_ != 0 ? settings_.announcedLink_ : settings_.link_;
    return std::make_unique<SiteState>(
        SiteStateOptions { std::move(self), incarnation_, settings_.firstStart_, settings_.seed_ + 2,
            settings_.applyBound_ },
        SiteStateParts { .context_ = context_,
            .store_ = *store_,
            .platform_ = platform_,
            .directory_ = directory_,
            .reports_ = reports_,
            .links_ = links_,
            .broadcast_ =
                [this](const Frame& frame) {
                    links_.broadcast(frame);
                    linkServer_->broadcast(frame);
                },
            .onConfiguration_ =
                [this](const SiteConfiguration& configuration) {
                    onConfiguration(configuration);
                },
            .onRestored_ =
                [this] {
                    onBackendStatus();
                } });
}

auto SidecarProcess::linkEvents() -> LinkEvents
{
    LinkEvents events;
    events.hello_ = [this] {
        return HelloFrame { settings_.node_, incarnation_, siteState_->version() };
    };
    events.onConfigVersion_ = [this](const std::string& node, std::uint64_t version) {
        siteState_->onPeerVersion(node, version);
    };
    events.onState_ = [this](const std::string& node, const StateFrame& state) {
        siteState_->onState(node, state);
    };
    events.onEntry_ = [this](const NodeEntry& entry) {
        siteState_->onEntry(entry);
    };
    events.onHeartbeat_ = [this](const std::string& node, const BeatFrame& heartbeat) {
        siteState_->onHeartbeat(node, heartbeat);
    };
    events.onLoad_ = [this](const std::string& node, const GateLoad& load) {
        directory_.onLoad(node, load, Clock::now());
    };
    events.onForeign_ = [this](const std::string& node, const std::string& owner) {
        siteState_->onAddressTaken(node, owner);
    };
    events.onLost_ = [this](const std::string& node, bool wasOpen) {
        onLinkLost(node, wasOpen);
    };
    events.onOpen_ = [this](const std::string& node) {
        directory_.onReachable(node);
        quota_.onLinkOpen(node);
    };
    events.onQuotaGrant_ = [this](const std::string& node, const QuotaGrantFrame& grant) {
        quota_.onGrant(node, grant);
    };
    events.state_ = [this](const StateRequestFrame& request) {
        return siteState_->stateFor(request);
    };
    return events;
}

auto SidecarProcess::linkServerParts() -> LinkServerParts
{
    return { .node_ = settings_.node_,
        .incarnation_ = incarnation_,
        .gate_ = gate_,
        .configVersion_ =
            [this] {
                return siteState_->version();
            },
        .state_ =
            [this](const StateRequestFrame& request) {
                return siteState_->stateFor(request);
            },
        .onEntry_ =
            [this](const NodeEntry& entry) {
                siteState_->onEntry(entry);
            },
        .onHeartbeat_ =
            [this](const std::string& node, const BeatFrame& heartbeat) {
                siteState_->onHeartbeat(node, heartbeat);
            },
        .lacksState_ =
            [this] {
                return !siteState_->configuration() || !siteState_->hasNodeList();
            },
        .onState_ =
            [this](const std::string& node, const StateFrame& state) {
                siteState_->onState(node, state);
            },
        .ownEntry_ =
            [this] {
                return siteState_->publishedEntry();
            },
        .onQuotaAsk_ =
            [this](const QuotaAskFrame& ask) {
                return quota_.onAsk(ask);
            },
        .takeRoom_ =
            [this](std::size_t bytes) {
                return callers_->takeRoom(bytes);
            } };
}

auto SidecarProcess::open() -> Result<Done>
{
    auto links = LinkServer::open(context_, settings_.link_, linkServerParts());
    if (!isOk(links)) {
        return errorOf(links);
    }
    linkServer_ = valueOf(std::move(links));
    return openListeners();
}

auto SidecarProcess::openListeners() -> Result<Done>
{
    auto callers = http1::Listener::open(context_, settings_.callers_, {},
        [this](http1::Request request, std::shared_ptr<http1::Exchange> exchange) {
            entry_.onRequest(std::move(request), std::move(exchange));
        });
    if (!isOk(callers)) {
        return errorOf(callers);
    }
    callers_ = valueOf(std::move(callers));
    callers_->setBounds(listenerBounds(settings_));
    callers_->setOverlap([this](const http1::Request& request) {
        return entry_.mayOverlap(request);
    });
    auto readiness = http1::Listener::open(context_, settings_.readiness_, {},
        [this](const http1::Request& request, const std::shared_ptr<http1::Exchange>& exchange) {
            onReadinessRequest(request, exchange);
        });
    if (!isOk(readiness)) {
        return errorOf(readiness);
    }
    readiness_ = valueOf(std::move(readiness));
    if (settings_.metrics_.port_ != 0) {
        auto scraper = http1::Listener::open(context_, settings_.metrics_, {},
            [this](const http1::Request& request, const std::shared_ptr<http1::Exchange>& exchange) {
                onReadinessRequest(request, exchange);
            });
        if (!isOk(scraper)) {
            return errorOf(scraper);
        }
        scraper_ = valueOf(std::move(scraper));
    }
    auto reports = ReportServer::open(context_, settings_.reports_,
        { platform_.decodeReport_, platform_.reportAnswer_, reports_,
            [this](std::function<void()> onWritten) {
                onBackendStatus();
                siteState_->publish(std::move(onWritten));
            },
            [this] {
                return siteState_->hasNodeList() || settings_.firstStart_;
            },
            [this](const std::string& id, std::uint64_t bornMs) {
                return siteState_->isLeaveHeld(id, bornMs);
            } });
    if (!isOk(reports)) {
        return errorOf(reports);
    }
    reportServer_ = valueOf(std::move(reports));
    return Done {};
}

auto SidecarProcess::run() -> void
{
    logEvent(LogLevel::Info, "started",
        { { "incarnation", incarnation_ }, { "zone", settings_.zone_ }, { "service", settings_.service_ },
            { "callers", settings_.callers_.text() },
            { "first_start", static_cast<int>(settings_.firstStart_) } });
    settingsStamp_ = platform_.settingsStamp_();
    waitForSignal();
    directory_.onLevelStep([this] {
        spreadLevelsSoon();
    });
    siteState_->start();
    tick();
    context_.run();
    logEvent(LogLevel::Info, "stopped", { { "requests", entry_.inFlight() } });
    flushLog();
}

auto SidecarProcess::refreshQuotas() -> void
{
    if (siteState_->hasNodeList()) {
        quota_.refresh(siteState_->configuration(), siteState_->isNewMember());
    }
}

auto SidecarProcess::onConfiguration(const SiteConfiguration& configuration) -> void
{
    refreshQuotas();
    gate_.setCostControl(configuration.asksForCostControl());
    directory_.setCostControl(settings_.completionPlacement_ && configuration.asksForCostControl());
    entry_.setCostControl(configuration.asksForCostControl());
    configurationAdopted_ = Clock::now();
    const auto& limits = configuration.limits();
    callers_->setLimits(
        { { limits.headerBytes_, limits.bodyBytes_ }, limits.headerTimeout_, limits.idleTimeout_ });
    if (const auto* service = configuration.service(settings_.service_)) {
        gate_.setMaxConnections(service->maxConnections_);
    }
}

auto SidecarProcess::onBackendStatus() -> void
{
    const auto& status = reports_.status();
    logEvent(LogLevel::Info, "backend_changed",
        { { "backend", status.id_ }, { "born_ms", status.bornMs_ },
            { "phase", backendPhaseName(status.phase_) }, { "capacity", status.capacity_ },
            { "sequence", status.sequence_ } });
    gate_.setInstance({ status.id_, status.bornMs_,
        status.address_.port_ == 0 ? settings_.backend_ : status.address_, status.capacity_, status.phase_ });
    healthCheck_.tick(Clock::now());
}

auto SidecarProcess::healthPath() const -> std::string
{
    const auto& configuration = siteState_->configuration();
    const auto* service = configuration ? configuration->service(settings_.service_) : nullptr;
    return service != nullptr ? service->healthPath_ : std::string();
}

auto SidecarProcess::onLinkLost(const std::string& node, bool wasOpen) -> void
{
    directory_.onUnreachable(node, Clock::now());
    quota_.onLinkLost(node);
    const auto* entry = directory_.find(node);
    if (wasOpen && entry != nullptr && entry->accepting_ && !stopping_) {
        links_.connect(*entry);
    }
}

auto SidecarProcess::isReady() const -> bool
{
    return siteState_->configuration() && siteState_->hasNodeList() && !stopping_;
}

auto SidecarProcess::onReadinessRequest(
    const http1::Request& request, const std::shared_ptr<http1::Exchange>& exchange) -> void
{
    http1::Response response;
    if (request.target_ == platform_.readinessPath_) {
        response.status_ = isReady() ? statusOk : statusUnavailable;
    } else if (request.target_ == metricsPath || request.target_ == scraperPath) {
        response.status_ = statusOk;
        response.headers_.add("Content-Type", "text/plain; version=0.0.4");
        response.body_ = metricsText();
    } else {
        response.status_ = statusNotFound;
    }
    exchange->respond(std::move(response));
}

auto SidecarProcess::waitForSignal() -> void
{
    signals_.async_wait([this](const asio::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reload();
        } else {
            beginStop();
        }
        waitForSignal();
    });
}

auto SidecarProcess::reload() -> void
{
    settingsStamp_ = platform_.settingsStamp_();
    const auto read = platform_.readSettings_();
    if (!isOk(read)) {
        logEvent(LogLevel::Error, "reload_refused", { { "error", errorOf(read).text_ } });
        return;
    }
    // Addresses and names stay those of the process's start; the bounds may move.
    const auto& settings = valueOf(read);
    if (settings.retryShare_ != settings_.retryShare_ || settings.retryBurst_ != settings_.retryBurst_
        || settings.stopTime_ != settings_.stopTime_ || settings.applyBound_ != settings_.applyBound_) {
        settings_.retryShare_ = settings.retryShare_;
        settings_.retryBurst_ = settings.retryBurst_;
        settings_.stopTime_ = settings.stopTime_;
        settings_.applyBound_ = settings.applyBound_;
        siteState_->setApplyBound(settings_.applyBound_);
        entry_.retryBudgets().setBounds(settings.retryShare_, settings.retryBurst_);
    }
    logEvent(LogLevel::Info, "reloaded",
        { { "retry_share", settings_.retryShare_ }, { "retry_burst", settings_.retryBurst_ },
            { "stop_ms", toMilliseconds(settings_.stopTime_) },
            { "apply_ms", toMilliseconds(settings_.applyBound_) } });
}

auto SidecarProcess::reloadIfChanged() -> void
{
    if (platform_.settingsStamp_() != settingsStamp_) {
        reload();
    }
}

auto SidecarProcess::beginStop() -> void
{
    if (std::exchange(stopping_, true)) {
        return;
    }
    // The time until SIGKILL may have changed without a signal.
    reloadIfChanged();
    logEvent(LogLevel::Info, "stopping",
        { { "requests", entry_.inFlight() }, { "backend_requests", gate_.inFlight() } });
    stopStarted_ = Clock::now();
    stopSignalled_ = bootNow();
    stop_.emplace(settings_.stopTime_);
    callers_->startClosing();
    gate_.admitUntil(stopSignalled_ + stop_->lastEnd());
    entry_.expectResponsesUntil(stopSignalled_ + stop_->latestResponse());
}

auto SidecarProcess::stopAccepting() -> void
{
    if (std::exchange(accepting_, false)) {
        gate_.stopAdmitting();
        siteState_->stopAccepting();
    }
}

auto SidecarProcess::checkStopped() -> void
{
    const auto spent = Clock::now() - stopStarted_;
    if (const auto latest = stop_->latestDeadline(spent)) {
        entry_.admitUntil(stopSignalled_ + *latest);
    }
    const auto requests = std::max(entry_.inFlight(), callers_->unansweredCount());
    const bool responsesUnread = callers_->unwrittenBytes() > 0;
    switch (stop_->next(spent, requests, gate_.inFlight(), responsesUnread)) {
    case StopStep::Serve:
        break;
    case StopStep::Drain:
        stopAccepting();
        break;
    case StopStep::Refuse:
        stopAccepting();
        entry_.refuseFurther();
        break;
    case StopStep::Finish:
        stopAccepting();
        entry_.refuseFurther();
        if (!std::exchange(listenerClosed_, true)) {
            callers_->stop();
        }
        break;
    case StopStep::End:
        context_.stop();
        break;
    }
}

auto SidecarProcess::logLoad() -> void
{
    const auto load = gate_.load();
    const auto& callers = entry_.stats();
    const auto& gate = gate_.stats();
    logEvent(LogLevel::Info, "load",
        { { "running", load.running_ }, { "queued", load.queued_ }, { "limit", load.limit_ },
            { "shed_level", load.level_ }, { "called_level", load.called_.level_ },
            { "requests", callers.requests_ }, { "answered", callers.answered_ },
            { "refused", callers.refused_ }, { "shed", callers.shed_ }, { "failed", callers.failed_ },
            { "retries", callers.retries_ }, { "gate_admitted", gate.admitted_ },
            { "gate_refused", gate.refused_ }, { "backend_rejected", gate.rejectedByBackend_ },
            { "lines_left_out", entry_.requestLog().takeDropped() + gate_.takeDroppedLines() } });
    publishMetrics();
}

auto SidecarProcess::publishMetrics() -> void
{
    NodeGauges now;
    now.load_ = gate_.load();
    now.gate_ = gate_.stats();
    now.callers_ = entry_.stats();
    now.connections_ = backendPool_->stats();
    now.links_ = links_.stats();
    now.store_ = store_->stats();
    now.callerConnections_ = callers_->connectionCount();
    now.unwrittenBytes_ = callers_->unwrittenBytes();
    now.callerBounds_ = callers_->stats();
    now.configVersion_ = siteState_->version();
    now.configAge_ = Clock::now() - configurationAdopted_;
    now.nodes_ = directory_.size();
    now.watching_ = siteState_->isWatching();
    now.storeReadAge_ = siteState_->readAge();
    now.storeChecks_ = siteState_->checkStats();
    now.ready_ = isReady();
    publishGauges(now);
}

auto SidecarProcess::callsMade() const -> CallsMade
{
    if (entry_.shedding().makesCalls(Clock::now())) {
        return CallsMade::Some;
    }
    return gate_.stats().answered_ > answersBeforeJudging ? CallsMade::None : CallsMade::Unknown;
}

auto SidecarProcess::spreadLevels() -> void
{
    gate_.setCalledLevel(entry_.shedding().calledLevel(Clock::now()));
    linkServer_->tick(Clock::now());
}

auto SidecarProcess::spreadLevelsSoon() -> void
{
    if (std::exchange(spreadDue_, true)) {
        return;
    }
    spreadTimer_.expires_after(spreadDelay);
    spreadTimer_.async_wait([this](const asio::error_code& error) {
        spreadDue_ = false;
        if (!error) {
            spreadLevels();
        }
    });
}

auto SidecarProcess::tick() -> void
{
    const auto now = Clock::now();
    entry_.tick();
    quota_.tick();
    entry_.retryBudgets().setBackendFails(gate_.failedShare() >= failingShare);
    if (++ticks_ % slowTicks == 0) {
        spreadLevels();
        gate_.tick();
        backendPool_->tick(now);
        healthCheck_.tick(now);
        links_.tick(now);
        for (const auto& entry : directory_.takeDueProbes(now)) {
            links_.connect(entry);
        }
        callers_->tick(now);
        readiness_->tick(now);
        if (scraper_) {
            scraper_->tick(now);
        }
        reportServer_->tick(now);
        store_->tick(now);
        siteState_->tick(now);
    }
    if (ticks_ % judgeTicks == 0) {
        refreshQuotas();
        gate_.judgeOrigins();
        gate_.setCallsMade(callsMade());
        logLoad();
    }
    if (ticks_ % settingsTicks == 0) {
        reloadIfChanged();
    }
    if (stopping_) {
        checkStopped();
    }
    flushLog();
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](const asio::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

auto Sidecar::start(SidecarSettings settings, PlatformInterface platform, const HeaderNames& headers)
    -> Result<std::unique_ptr<Sidecar>>
{
    auto process = std::make_unique<SidecarProcess>(std::move(settings), std::move(platform), headers);
    auto opened = process->open();
    if (!isOk(opened)) {
        return errorOf(opened);
    }
    return std::unique_ptr<Sidecar>(std::move(process));
}

} // namespace wagtailhead
