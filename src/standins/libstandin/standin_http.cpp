#include "standin_http.h"

#include "wagtailhead/metrics.h"

#include <nlohmann/json.hpp>

namespace wagtailhead::standin {

auto jsonTextResponse(int status, std::string body) -> HttpResponse
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

auto jsonResponse(int status, const nlohmann::json& body) -> HttpResponse
{
    // Texts of callers may be no UTF-8, on which a strict dump would throw.
    return jsonTextResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

auto reasonResponse(int status, std::string_view reason) -> HttpResponse
{
    return jsonResponse(status, { { "reason", reason } });
}

auto metricsResponse() -> HttpResponse
{
    return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, metricsText() };
}

auto UnansweredRequests::keep(const Responder& responder) -> void
{
    const auto id = next_++;
    responders_[id] = responder;
    responder->onCallerGone([this, id] {
        responders_.erase(id);
    });
}

auto UnansweredRequests::size() const -> std::size_t
{
    return responders_.size();
}

} // namespace wagtailhead::standin
