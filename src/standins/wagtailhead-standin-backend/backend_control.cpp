#include "backend_server.h"
#include "json_fields.h"
#include "wagtailhead/log.h"

#include <nlohmann/json.hpp>

namespace wagtailhead::standin {

auto BackendServer::handleControl(const HttpRequest& request, const RequestTarget& target)
    -> std::optional<HttpResponse>
{
    const bool isPost = request.method_ == "POST";
    if (target.path_ == "/audit" && request.method_ == "GET") {
        const auto skipped = queryNumber(target, "from", 0);
        return skipped ? jsonTextResponse(200, audit_.text(static_cast<AuditLog::Index>(*skipped)))
                       : reasonResponse(400, "bad-query");
    }
    if (!target.path_.starts_with("/-/")) {
        return std::nullopt;
    }
    if (target.path_ == "/-/faults") {
        return isPost ? handleFaults(request) : jsonResponse(200, toJson(faults_));
    }
    if (target.path_ == "/-/drain" && isPost) {
        return handleDrain(request);
    }
    if (target.path_ == "/-/dump") {
        return dump();
    }
    return target.path_ == "/-/metrics" ? metricsResponse() : reasonResponse(404, "unknown-path");
}

auto BackendServer::writeAuditTo(const std::string& path) -> Result<Done>
{
    return audit_.writeTo(path);
}

auto BackendServer::handleFaults(const HttpRequest& request) -> HttpResponse
{
    const auto parsed = parseBackendFaults(request.body_, faults_);
    if (!isOk(parsed)) {
        return reasonResponse(400, errorOf(parsed).text_);
    }
    faults_ = valueOf(parsed);
    logEvent(LogLevel::Info, "faults", { { "faults", toJson(faults_).dump() } });
    return jsonResponse(200, toJson(faults_));
}

auto BackendServer::handleDrain(const HttpRequest& request) -> HttpResponse
{
    bool draining = true;
    if (!request.body_.empty()) {
        JsonFields fields(request.body_);
        fields.readFlag("draining", draining);
        if (const auto error = fields.error()) {
            return reasonResponse(400, error->text_);
        }
    }
    draining_ = draining || stopping_;
    logEvent(LogLevel::Info, "drain", { { "draining", draining_ } });
    return jsonResponse(200, { { "draining", draining_ }, { "calls", calls_.size() } });
}

auto BackendServer::answerProbe(bool isHealth, const Responder& responder) -> void
{
    if (options_.probeTime_ == Duration::zero()) {
        responder->respond(isHealth ? health() : loadReport());
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, options_.probeTime_);
    timer->async_wait([this, timer, isHealth, responder](const std::error_code&) {
        responder->respond(isHealth ? health() : loadReport());
    });
}

auto BackendServer::health() const -> HttpResponse
{
    if (faults_.health_ != "true") {
        return jsonResponse(faults_.health_ == "up" ? 200 : 503, { { "status", faults_.health_ } });
    }
    return jsonResponse(draining_ ? 503 : 200, { { "status", draining_ ? "draining" : "up" } });
}

auto BackendServer::loadReport() const -> HttpResponse
{
    const auto load = loads_.at(Clock::now() - faults_.loadLag_);
    const auto slots = static_cast<double>(slots_.slots());
    const double trueShare = static_cast<double>(load.running_ + load.waiting_) / slots;
    const auto running = faults_.fixedLoad_
        ? static_cast<std::size_t>(std::min(*faults_.fixedLoad_, 1.0) * slots)
        : load.running_;
    return jsonResponse(200,
        { { "service", options_.service_ }, { "slots", slots_.slots() }, { "running", running },
            { "queued", faults_.fixedLoad_ ? 0 : load.waiting_ },
            { "load", faults_.fixedLoad_.value_or(trueShare) }, { "draining", draining_ } });
}

auto BackendServer::dump() const -> HttpResponse
{
    return jsonResponse(200,
        { { "service", options_.service_ }, { "slots", slots_.slots() }, { "running", slots_.running() },
            { "queued", slots_.waiting() }, { "draining", draining_ },
            { "coldFactor", serviceTimes_.coldFactor(Clock::now()) },
            { "done", audit_.count(ExecutionState::Done) },
            { "cancelled", audit_.count(ExecutionState::Cancelled) },
            { "failed", audit_.count(ExecutionState::Failed) }, { "unanswered", unanswered_.size() },
            { "faults", toJson(faults_) } });
}

} // namespace wagtailhead::standin
