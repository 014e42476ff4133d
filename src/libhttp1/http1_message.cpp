#include "http1_message.h"

#include "wagtailhead/http_syntax.h"

#include <http_parser.h>

namespace wagtailhead::http1 {

auto reasonPhrase(int status) -> const char*
{
    const auto* text = http_status_str(static_cast<http_status>(status));
    return text != nullptr && *text != '<' ? text : "Status";
}

auto appendRequestHead(std::string& out, const Request& request) -> void
{
    out.append(request.method_).append(" ").append(request.target_).append(" HTTP/1.1\r\n");
    out.append(request.headers_.lines());
    const bool mayLackBody
        = request.method_ == "GET" || request.method_ == "HEAD" || request.method_ == "DELETE";
    if (!request.body_.empty() || !mayLackBody) {
        out.append("Content-Length: ").append(std::to_string(request.body_.size())).append("\r\n");
    }
    if (!request.keepAlive_) {
        out.append("Connection: close\r\n");
    }
    out.append("\r\n");
}

auto appendResponseHead(std::string& out, const Response& response, bool toHead) -> bool
{
    out.append("HTTP/1.1 ").append(std::to_string(response.status_)).append(" ");
    out.append(reasonPhrase(response.status_)).append("\r\n").append(response.headers_.lines());
    const bool bodiless = isBodilessStatus(response.status_);
    // The length that a GET request would have got is not known.
    const bool lengthKnown = !toHead || !response.body_.empty();
    if (!bodiless && lengthKnown) {
        out.append("Content-Length: ").append(std::to_string(response.body_.size())).append("\r\n");
    }
    if (!response.keepAlive_) {
        out.append("Connection: close\r\n");
    }
    out.append("\r\n");
    return !bodiless && !toHead;
}

auto appendResponse(std::string& out, const Response& response, bool toHead) -> void
{
    if (appendResponseHead(out, response, toHead)) {
        out.append(response.body_);
    }
}

} // namespace wagtailhead::http1
