#include "backend_monitor.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

constexpr Duration probeIntervalUp = milliseconds(1000);
/// A backend server that is down costs nothing to probe and should be back in use soon.
constexpr Duration probeIntervalDown = milliseconds(200);
constexpr Duration probeTimeout = milliseconds(1000);

auto reportsDrain(const HttpResponse& response) -> bool
{
    const auto json = nlohmann::json::parse(response.body_, nullptr, false);
    return json.is_object() && json.value("status", "") == "draining";
}

auto unixMilliseconds() -> std::uint64_t
{
    const auto sinceEpoch = WallClock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
}

} // namespace

BackendMonitor::BackendMonitor(
    asio::io_context& context, HttpClient& http, Address backend, Listener onChange)
    : http_(http)
    , backend_(std::move(backend))
    , onChange_(std::move(onChange))
    , timer_(context)
{
}

auto BackendMonitor::start() -> void
{
    probe();
}

auto BackendMonitor::probe() -> void
{
    http_.send(backend_, { "GET", "/health", {}, {} }, probeTimeout, [this](const HttpResult& result) {
        onResult(result);
        timer_.expires_after(state_.up_ ? probeIntervalUp : probeIntervalDown);
        timer_.async_wait([this](const asio::error_code& error) {
            if (!error) {
                probe();
            }
        });
    });
}

auto BackendMonitor::onResult(const HttpResult& result) -> void
{
    auto next = state_;
    if (const auto* response = std::get_if<HttpResponse>(&result)) {
        next.up_ = true;
        next.draining_ = reportsDrain(*response);
    } else if (std::get<HttpFailure>(result) == HttpFailure::NotSent) {
        next.up_ = false;
    }
    if (next.up_ && !state_.up_) {
        next.readySinceMs_ = unixMilliseconds();
    }
    if (next != state_) {
        state_ = next;
        onChange_(state_);
    }
}

} // namespace wagtailhead
