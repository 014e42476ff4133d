#include "health_check.h"

#include "wagtailhead/log.h"

namespace wagtailhead {

namespace {

/// Between two checks of the same start.
constexpr Duration checkPause = seconds(1);
constexpr Duration checkTimeout = seconds(1);
constexpr int statusOk = 200;

} // namespace

auto HealthCheck::tick(TimePoint now) -> void
{
    if (waiting_ || !parts_.reports_.needsEvidence()) {
        return;
    }
    const auto& status = parts_.reports_.status();
    const bool asked = askedId_ == status.id_ && askedBornMs_ == status.bornMs_;
    auto path = parts_.path_();
    if (path.empty() || (asked && now < nextCheck_)) {
        return;
    }
    askedId_ = status.id_;
    askedBornMs_ = status.bornMs_;
    nextCheck_ = now + checkPause;
    waiting_ = true;
    http1::PoolCall call;
    call.request_.method_ = "GET";
    call.request_.target_ = std::move(path);
    call.request_.headers_.add("Host", status.address_.text());
    call.timeout_ = checkTimeout;
    call.done_ = [this, id = askedId_, bornMs = askedBornMs_](const http1::CallResult& result) {
        waiting_ = false;
        onResult(id, bornMs, result);
    };
    parts_.pool_->send(std::move(call));
}

auto HealthCheck::onResult(const std::string& id, std::uint64_t bornMs, const http1::CallResult& result)
    -> void
{
    const auto* response = std::get_if<http1::Response>(&result);
    const bool serves = response != nullptr && response->status_ == statusOk
        && response->headers_.find(parts_.headers_.instanceId_) == id;
    logEvent(LogLevel::Info, "health_checked",
        { { "backend", id }, { "born_ms", bornMs }, { "serves", static_cast<int>(serves) },
            { "status", response != nullptr ? response->status_ : 0 } });
    if (serves && parts_.reports_.onServing(id, bornMs)) {
        parts_.onServing_();
    }
}

} // namespace wagtailhead
