/// Messages of HTTP/1.1 as the nodes pass them on.
#pragma once

#include "http1_body.h"
#include "wagtailhead/header_block.h"

#include <string>

namespace wagtailhead::http1 {

/// Longer requests share a budget of their own, so that ordinary ones do not starve beside them.
constexpr std::size_t largestSmallMessage = 65536;

struct Request {
    std::string method_;
    std::string target_; ///< Path and query as received.
    HeaderBlock headers_;
    Body body_;
    bool keepAlive_ = true;
};

struct Response {
    int status_ = 0;
    HeaderBlock headers_;
    std::string body_;
    bool keepAlive_ = true;
};

/// Returns the reason phrase of a status, or "Status".
auto reasonPhrase(int status) -> const char*;

/// Appends the request as text without its body, with Content-Length if it has one. Sets `Connection: close`
/// if the request is not `keepAlive_`.
auto appendRequestHead(std::string& out, const Request& request) -> void;

/// Appends the response as text without its body, with Content-Length if its length is known. Adds
/// `Connection: close` if it is not `keepAlive_`. Returns whether the body follows: it is left out for
/// answers to HEAD and for statuses without one.
auto appendResponseHead(std::string& out, const Response& response, bool toHead) -> bool;

/// Appends the response as text.
auto appendResponse(std::string& out, const Response& response, bool toHead) -> void;

} // namespace wagtailhead::http1
