/// HTTP towards callers, backend servers, operators and the platform.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"
#include "wagtailhead/settings.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace asio {
class io_context;
}

namespace wagtailhead {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the first header with this name (compared without case), or nothing.
auto findHeader(const HttpHeaders& headers, std::string_view name) -> std::optional<std::string>;

/// Removes hop-by-hop headers (Connection, Transfer-Encoding, Content-Length, Host and others), which
/// must not be forwarded.
auto removeHopHeaders(HttpHeaders headers) -> HttpHeaders;

struct HttpRequest {
    std::string method_;
    std::string target_; ///< Path with query, as received.
    HttpHeaders headers_;
    std::string body_;
};

struct HttpResponse {
    int status_ = 200;
    HttpHeaders headers_;
    std::string body_;
};

/// Answers one request of an HttpServer. Copyable; thread safe; the first answer counts.
class HttpResponder {
public:
    virtual ~HttpResponder() = default;
    virtual auto respond(HttpResponse response) -> void = 0;
    /// Registers a function that runs once if the caller closes its connection before the answer.
    /// It runs at once if the connection is closed already.
    virtual auto onCallerGone(std::function<void()> callback) -> void = 0;
};

struct HttpServerOptions {
    Address listen_;
    std::size_t maxBodyBytes_ = std::size_t { 1 } << 20;
    std::size_t maxHeaderBytes_ = std::size_t { 16 } << 10;
    /// Headers of the answers that the server itself gives: 400 malformed, 413 body, 431 headers.
    HttpHeaders errorHeaders_;
    /// If set, returns further headers for one such answer, given its reason. Runs in any thread of the
    /// context and must not block.
    std::function<HttpHeaders(std::string_view reason)> errorHeadersFor_;
    /// Connections without a request for this long are closed.
    Duration idleTimeout_ = seconds(60);
    /// A request that takes longer to arrive gets 408, and its connection is closed.
    Duration requestTimeout_ = seconds(10);
    /// Most open connections; further ones are closed as soon as they are accepted. 0 for no limit.
    std::size_t maxConnections_ = 0;
};

/// An HTTP/1.1 server in the given Asio context. Malformed HTTP gets 400, a body over the limit 413
/// and headers over the limit 431, each with `errorHeaders_` and a JSON body {"reason"}; such a
/// connection is then closed without harm to any other. Requests that came before on the same connection
/// are answered first. Destroy the server when no thread runs the context, or keep what its handler uses
/// until the context is gone.
class HttpServer {
public:
    /// Runs for every request, in a thread of the context. Must not block.
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

    /// Opens the listening socket. The context must outlive the server.
    static auto open(asio::io_context& context, HttpServerOptions options, Handler handler)
        -> Result<std::unique_ptr<HttpServer>>;

    virtual ~HttpServer() = default;

    /// Stops accepting connections; open ones go on. Thread safe.
    virtual auto stopAccepting() -> void = 0;

    /// Returns the bound address; the port is the real one if port 0 was asked for. Thread safe.
    virtual auto address() const -> Address = 0;
};

struct HttpClientOptions {
    /// Most connections to one address; requests beyond it wait inside the client.
    int maxConnectionsPerHost_ = 64;
    Duration connectTimeout_ = milliseconds(1000);
};

/// How a request of the client failed.
enum class HttpFailure {
    NotSent, ///< No byte of the request left (connection refused or not established).
    Lost, ///< The request may have reached the server; no whole answer came.
    Timeout, ///< As Lost, by time.
    Cancelled, ///< Cancelled by the user of the client; the server may have got it.
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// An HTTP/1.1 client on libcurl's multi interface, driven by the given Asio context without threads of
/// its own. Connections are kept open and reused. A request is never sent twice: it moves to another
/// connection only if no byte of it was sent. Thread safe. The context must outlive the client.
class HttpClient {
public:
    using Callback = std::function<void(HttpResult)>;
    using RequestId = std::uint64_t;

    static auto create(asio::io_context& context, HttpClientOptions options) -> std::unique_ptr<HttpClient>;

    virtual ~HttpClient() = default;

    /// Sends `request` to `address`. The callback runs once, in a thread of the context.
    virtual auto send(const Address& address, HttpRequest request, Duration timeout, Callback callback)
        -> RequestId = 0;

    /// Ends a request early; its callback runs with Cancelled. Unknown ids are ignored.
    virtual auto cancel(RequestId id) -> void = 0;
};

} // namespace wagtailhead
