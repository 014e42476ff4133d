/// Answers that the HTTP interfaces of all stand-ins have in common.
#pragma once

#include "wagtailhead/http.h"

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wagtailhead::standin {

using Responder = std::shared_ptr<HttpResponder>;

auto jsonResponse(int status, const nlohmann::json& body) -> HttpResponse;

/// Returns an answer with a body that is JSON text already.
auto jsonTextResponse(int status, std::string body) -> HttpResponse;

/// Returns `{"reason": reason}` with the given status.
auto reasonResponse(int status, std::string_view reason) -> HttpResponse;

/// Returns the answer to `GET /-/metrics`.
auto metricsResponse() -> HttpResponse;

/// Keeps requests that will never be answered, so that their connections stay open until the caller
/// closes them. Single-threaded; must outlive the server.
class UnansweredRequests {
public:
    auto keep(const Responder& responder) -> void;
    auto size() const -> std::size_t;

private:
    std::uint64_t next_ = 0;
    std::unordered_map<std::uint64_t, Responder> responders_;
};

} // namespace wagtailhead::standin
