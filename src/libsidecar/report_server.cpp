#include "report_server.h"

#include "wagtailhead/log.h"

#include <deque>

namespace wagtailhead {

namespace {

/// How long the store is waited for alone.
constexpr Duration storeTime = milliseconds(500);
/// The backend server waits a second for the confirmation of a report.
constexpr Duration longestConfirmation = milliseconds(800);
constexpr int statusUnavailable = 503;

class AsioReportServer final : public ReportServer {
public:
    AsioReportServer(ReportServerParts parts)
        : parts_(std::move(parts))
    {
    }

    auto listen(asio::io_context& context, const Address& address) -> Result<Done>;
    auto tick(TimePoint now) -> void override;

private:
    /// A confirmation that waits for the store.
    struct Waiting {
        std::shared_ptr<http1::Exchange> exchange_;
        std::string id_; ///< Of the backend server.
        std::uint64_t bornMs_ = 0;
        TimePoint since_;
        bool answered_ = false;
    };

    auto onRequest(const http1::Request& request, const std::shared_ptr<http1::Exchange>& exchange) -> void;
    auto onReport(const BackendReport& report, const std::shared_ptr<http1::Exchange>& exchange) -> void;
    auto refuse(const std::shared_ptr<http1::Exchange>& exchange) -> void;
    auto confirm(const std::shared_ptr<Waiting>& waiting) -> void;
    /// Returns whether the current backend server leaves and would be in use again after a restart.
    auto isLeaveAtRisk() const -> bool;

    ReportServerParts parts_;
    std::shared_ptr<http1::Listener> listener_;
    std::deque<std::shared_ptr<Waiting>> waiting_;
    std::string securedId_; ///< Backend server whose leave has been confirmed.
    std::uint64_t securedBornMs_ = 0;
};

auto AsioReportServer::listen(asio::io_context& context, const Address& address) -> Result<Done>
{
    auto listener = http1::Listener::open(context, address, {},
        [this](const http1::Request& request, const std::shared_ptr<http1::Exchange>& exchange) {
            onRequest(request, exchange);
        });
    if (!isOk(listener)) {
        return errorOf(listener);
    }
    listener_ = valueOf(std::move(listener));
    return Done {};
}

auto AsioReportServer::onRequest(
    const http1::Request& request, const std::shared_ptr<http1::Exchange>& exchange) -> void
{
    const auto decoded = parts_.decode_(request);
    if (const auto* error = std::get_if<ReportError>(&decoded)) {
        logEvent(
            LogLevel::Warning, "report_refused", { { "error", error->text_ }, { "status", error->status_ } });
        http1::Response response;
        response.status_ = error->status_;
        exchange->respond(std::move(response));
        return;
    }
    const auto& report = std::get<BackendReport>(decoded);
    if (!parts_.isRestored_() && report.phase_ == BackendPhase::Ready) {
        refuse(exchange); // Whether this backend server has left before is not known yet.
        return;
    }
    onReport(report, exchange);
}

auto AsioReportServer::refuse(const std::shared_ptr<http1::Exchange>& exchange) -> void
{
    http1::Response response;
    response.status_ = statusUnavailable;
    exchange->respond(std::move(response));
}

auto AsioReportServer::isLeaveAtRisk() const -> bool
{
    const auto& status = parts_.reports_.status();
    return isLeaving(status.phase_) && (securedId_ != status.id_ || securedBornMs_ != status.bornMs_);
}

auto AsioReportServer::onReport(const BackendReport& report, const std::shared_ptr<http1::Exchange>& exchange)
    -> void
{
    const auto verdict = parts_.reports_.take(report, Clock::now());
    const bool leaving = report.phase_ != BackendPhase::Ready;
    if (verdict != ReportVerdict::Confirmed) {
        logEvent(LogLevel::Info, "report_taken",
            { { "backend", report.id_ }, { "phase", backendPhaseName(report.phase_) },
                { "sequence", report.sequence_ }, { "born_ms", report.bornMs_ },
                { "verdict", reportVerdictName(verdict) } });
    }
    if (leaving && isLeaveAtRisk()) {
        const auto& status = parts_.reports_.status();
        auto waiting
            = std::make_shared<Waiting>(Waiting { exchange, status.id_, status.bornMs_, Clock::now() });
        waiting_.push_back(waiting);
        parts_.onChanged_([this, waiting] {
            confirm(waiting);
        });
        return;
    }
    if (verdict == ReportVerdict::Changed || verdict == ReportVerdict::Unproven) {
        parts_.onChanged_(nullptr);
    }
    exchange->respond(parts_.answer_());
}

auto AsioReportServer::confirm(const std::shared_ptr<Waiting>& waiting) -> void
{
    securedId_ = waiting->id_;
    securedBornMs_ = waiting->bornMs_;
    if (!std::exchange(waiting->answered_, true)) {
        waiting->exchange_->respond(parts_.answer_());
    }
}

auto AsioReportServer::tick(TimePoint now) -> void
{
    listener_->tick(now);
    while (!waiting_.empty()) {
        const auto first = waiting_.front();
        const auto waited = now - first->since_;
        const bool held = waited >= storeTime && parts_.isLeaveHeld_(first->id_, first->bornMs_);
        if (!first->answered_ && !held && waited < longestConfirmation) {
            return;
        }
        if (!first->answered_ && held) {
            logEvent(LogLevel::Warning, "leave_confirmed_unwritten", { { "backend", first->id_ } });
            confirm(first);
        } else if (!std::exchange(first->answered_, true)) {
            logEvent(LogLevel::Warning, "leave_not_confirmed", { { "backend", first->id_ } });
            refuse(first->exchange_);
        }
        waiting_.pop_front();
    }
}

} // namespace

auto ReportServer::open(asio::io_context& context, const Address& address, ReportServerParts parts)
    -> Result<std::unique_ptr<ReportServer>>
{
    auto server = std::make_unique<AsioReportServer>(std::move(parts));
    auto listening = server->listen(context, address);
    if (!isOk(listening)) {
        return errorOf(listening);
    }
    return std::unique_ptr<ReportServer>(std::move(server));
}

} // namespace wagtailhead
