#include "admin_client.h"

#include "wagtailhead/http.h"

#include <asio/io_context.hpp>
#include <optional>

namespace wagtailhead {

class AdminClient::State {
public:
    State(Address node, std::string token)
        : node_(std::move(node))
        , token_(std::move(token))
        , http_(HttpClient::create(context_, {}))
    {
    }

    asio::io_context context_;
    Address node_;
    std::string token_;
    std::unique_ptr<HttpClient> http_;
};

AdminClient::AdminClient(Address node, std::string token)
    : state_(std::make_unique<State>(std::move(node), std::move(token)))
{
}

AdminClient::~AdminClient() = default;

auto AdminClient::call(const std::string& method, const std::string& path, const std::string& body,
    Duration timeout) -> Result<AdminAnswer>
{
    HttpRequest request { method, path, {}, body };
    if (!state_->token_.empty()) {
        request.headers_.emplace_back("Authorization", "Bearer " + state_->token_);
    }
    if (!body.empty()) {
        request.headers_.emplace_back("Content-Type", "application/json");
    }
    std::optional<HttpResult> result;
    state_->http_->send(state_->node_, std::move(request), timeout, [&](HttpResult answer) {
        result = std::move(answer);
    });
    state_->context_.restart();
    while (!result && state_->context_.run_one() > 0) { }
    const auto node = state_->node_.text();
    if (!result) {
        return Error { ErrorCode::Internal, "no result for the request to node " + node };
    }
    if (const auto* failure = std::get_if<HttpFailure>(&*result)) {
        return *failure == HttpFailure::NotSent
            ? Error { ErrorCode::Unavailable, "node " + node + " cannot be reached" }
            : Error { ErrorCode::Timeout, "node " + node + " gave no answer" };
    }
    const auto& response = std::get<HttpResponse>(*result);
    auto json = nlohmann::json::parse(response.body_, nullptr, false);
    if (json.is_discarded()) {
        return Error { ErrorCode::Internal,
            "node " + node + " answered status " + std::to_string(response.status_) + " without JSON" };
    }
    return AdminAnswer { response.status_, std::move(json) };
}

} // namespace wagtailhead
