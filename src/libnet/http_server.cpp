#include "http_connection.h"
#include "wagtailhead/log.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

namespace wagtailhead {

namespace {

/// With one more request than the running one allowed, the library keeps reading while a request runs
/// and so notices at once that the caller closed its connection.
constexpr std::size_t maxPipelinedRequests = 2;

/// Most requests fit; each connection has one such buffer.
constexpr std::size_t readBufferBytes = std::size_t { 8 } << 10;

constexpr auto acceptRetryDelay = milliseconds(50);

/// The stream socket that the server library works on.
class ServerSocket {
public:
    using executor_type = HttpStrand; // NOLINT(readability-identifier-naming): required by Asio.

    explicit ServerSocket(std::shared_ptr<HttpConnection> connection)
        : connection_(std::move(connection))
    {
    }

    // NOLINTBEGIN(readability-identifier-naming): names required by Asio and RESTinio.
    auto get_executor() -> executor_type
    {
        return connection_->executor();
    }
    auto is_open() const -> bool
    {
        return connection_->isOpen();
    }
    template <typename Handler> auto async_read_some(asio::mutable_buffer buffer, Handler handler) -> void
    {
        connection_->read(buffer, std::move(handler));
    }
    template <typename Buffers, typename Handler>
    auto async_write_some(const Buffers& buffers, Handler&& handler) -> void
    {
        connection_->write(buffers, std::forward<Handler>(handler));
    }
    // NOLINTEND(readability-identifier-naming)
    auto cancel(asio::error_code&) -> void
    {
        connection_->cancel();
    }
    auto shutdown(asio::ip::tcp::socket::shutdown_type, asio::error_code&) -> void { }
    auto close() -> void
    {
        connection_->close();
    }

private:
    std::shared_ptr<HttpConnection> connection_;
};

// NOLINTBEGIN(readability-identifier-naming): RESTinio finds these by name.
template <typename Connection, typename Start, typename Failed>
auto prepare_connection_and_start_read(ServerSocket&, Connection&, Start start, Failed) -> void
{
    start();
}

auto make_tls_socket_pointer_for_state_listener(ServerSocket&) noexcept -> restinio::impl::tls_socket_t*
{
    return nullptr;
}
// NOLINTEND(readability-identifier-naming)

auto statusLine(int status) -> restinio::http_status_line_t
{
    return { restinio::http_status_code_t(static_cast<std::uint16_t>(status)),
        http_status_str(static_cast<http_status>(status)) };
}

/// Returns whether the server itself writes this header of an answer.
auto isFramingHeader(const std::string& name) -> bool
{
    return strcasecmp(name.c_str(), "content-length") == 0
        || strcasecmp(name.c_str(), "transfer-encoding") == 0 || strcasecmp(name.c_str(), "connection") == 0
        || strcasecmp(name.c_str(), "keep-alive") == 0;
}

class Responder final : public HttpResponder {
public:
    Responder(restinio::request_handle_t request, std::shared_ptr<HttpConnection> connection,
        std::shared_ptr<CallerWatch> watch)
        : request_(std::move(request))
        , connection_(std::move(connection))
        , watch_(std::move(watch))
    {
    }

    auto respond(HttpResponse response) -> void override
    {
        if (!watch_->answer()) {
            return;
        }
        const auto request = std::move(request_);
        if (request->header().method() == restinio::http_method_head()) {
            // The length is that of the body which a GET would bring; none may follow.
            auto builder
                = request->create_response<restinio::user_controlled_output_t>(statusLine(response.status_));
            builder.set_content_length(response.body_.size());
            finish(std::move(builder), response);
            return;
        }
        auto builder = request->create_response(statusLine(response.status_));
        builder.set_body(std::move(response.body_));
        finish(std::move(builder), response);
    }

    auto onCallerGone(std::function<void()> callback) -> void override
    {
        watch_->onGone(std::move(callback));
    }

private:
    template <typename Builder> auto finish(Builder builder, HttpResponse& response) -> void
    {
        for (auto& [name, value] : response.headers_) {
            if (!isFramingHeader(name)) {
                builder.append_header(std::move(name), std::move(value));
            }
        }
        const auto keepAlive = builder.header().should_keep_alive();
        builder.done([connection = std::move(connection_), keepAlive](const asio::error_code& error) {
            connection->answerWritten(!error && keepAlive);
        });
    }

    restinio::request_handle_t request_;
    std::shared_ptr<HttpConnection> connection_;
    const std::shared_ptr<CallerWatch> watch_;
};

auto toRequest(const restinio::request_t& source) -> HttpRequest
{
    HttpRequest request;
    const auto& header = source.header();
    request.method_ = header.method().c_str();
    request.target_ = header.request_target();
    request.headers_.reserve(header.fields_count());
    header.for_each_field([&](const auto& field) {
        if (strcasecmp(field.name().c_str(), ignoredUpgradeHeader) != 0) {
            request.headers_.emplace_back(field.name(), field.value());
        }
    });
    request.body_ = source.body();
    return request;
}

/// The library's request handler of one connection.
struct RequestHandler {
    std::shared_ptr<HttpConnection> connection_;
    std::shared_ptr<const HttpServer::Handler> handler_;

    auto operator()(const restinio::request_handle_t& request) const -> restinio::request_handling_status_t
    {
        auto watch = std::make_shared<CallerWatch>();
        connection_->requestStarted(watch);
        (*handler_)(toRequest(*request), std::make_shared<Responder>(request, connection_, std::move(watch)));
        return restinio::request_accepted();
    }
};

/// HttpConnection does the time checks, so the library needs no timers.
struct ServerTraits : restinio::traits_t<restinio::null_timer_manager_t, restinio::null_logger_t,
                          RequestHandler, HttpStrand, ServerSocket> { };

using LibraryConnection = restinio::impl::connection_t<ServerTraits>;
using LibrarySettings = restinio::impl::connection_settings_t<ServerTraits>;

auto reasonOf(HttpRefusal refusal) -> const char*
{
    switch (refusal) {
    case HttpRefusal::BodyTooLarge:
        return "body-too-large";
    case HttpRefusal::HeadersTooLarge:
        return "headers-too-large";
    case HttpRefusal::TooSlow:
        return "request-too-slow";
    case HttpRefusal::Malformed:
        break;
    }
    return "malformed-request";
}

auto statusOf(HttpRefusal refusal) -> int
{
    switch (refusal) {
    case HttpRefusal::BodyTooLarge:
        return 413;
    case HttpRefusal::HeadersTooLarge:
        return 431;
    case HttpRefusal::TooSlow:
        return 408;
    case HttpRefusal::Malformed:
        break;
    }
    return 400;
}

auto refusalText(const HttpServerOptions& options, HttpRefusal refusal) -> std::string
{
    const auto body = nlohmann::json { { "reason", reasonOf(refusal) } }.dump();
    restinio::http_response_header_t header(statusLine(statusOf(refusal)));
    header.should_keep_alive(false);
    header.content_length(body.size());
    header.add_field(restinio::http_field::content_type, "application/json");
    auto headers = options.errorHeaders_;
    if (options.errorHeadersFor_) {
        auto more = options.errorHeadersFor_(reasonOf(refusal));
        std::move(more.begin(), more.end(), std::back_inserter(headers));
    }
    for (auto& [name, value] : headers) {
        header.add_field(std::move(name), std::move(value));
    }
    return restinio::impl::create_header_string(header) + body;
}

/// Accepts connections. Kept alive by its pending operations.
class Listener : public std::enable_shared_from_this<Listener> {
public:
    Listener(asio::io_context& context, HttpServerOptions options, HttpServer::Handler handler)
        : context_(context)
        , acceptor_(asio::make_strand(context))
        , retryTimer_(acceptor_.get_executor())
        , handler_(std::make_shared<const HttpServer::Handler>(std::move(handler)))
        , maxConnections_(options.maxConnections_)
    {
        auto connectionOptions = std::make_shared<HttpConnectionOptions>();
        connectionOptions->maxBodyBytes_ = options.maxBodyBytes_;
        connectionOptions->maxHeaderBytes_ = options.maxHeaderBytes_;
        connectionOptions->idleTimeout_ = options.idleTimeout_;
        connectionOptions->requestTimeout_ = options.requestTimeout_;
        connectionOptions->refusalAnswer_ = [options = std::move(options)](HttpRefusal refusal) {
            return refusalText(options, refusal);
        };
        connectionOptions_ = std::move(connectionOptions);
    }

    auto listen(const Address& address) -> asio::error_code
    {
        asio::error_code error;
        const auto ip = asio::ip::make_address(address.ip_, error);
        if (error) {
            return error;
        }
        const asio::ip::tcp::endpoint endpoint(ip, address.port_);
        acceptor_.open(endpoint.protocol(), error);
        if (!error) {
            acceptor_.set_option(Acceptor::reuse_address(true), error);
        }
        if (!error) {
            acceptor_.bind(endpoint, error);
        }
        if (!error) {
            acceptor_.listen(Acceptor::max_listen_connections, error);
        }
        return error;
    }

    auto address() const -> Address
    {
        asio::error_code ignored;
        const auto endpoint = acceptor_.local_endpoint(ignored);
        return { endpoint.address().to_string(), endpoint.port() };
    }

    auto accept() -> void
    {
        acceptor_.async_accept(asio::make_strand(context_),
            [self = shared_from_this()](asio::error_code error, HttpSocket socket) {
                if (!error) {
                    self->startConnection(std::move(socket));
                }
                if (!self->acceptor_.is_open()) {
                    return;
                }
                if (error) {
                    self->retryLater(error);
                } else {
                    self->accept();
                }
            });
    }

    auto stop() -> void
    {
        asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
            self->stopNow();
        });
    }

private:
    using Acceptor = asio::basic_socket_acceptor<asio::ip::tcp, HttpStrand>;

    /// Serves the callers whose connection the kernel has accepted, since closing resets them.
    auto stopNow() -> void
    {
        asio::error_code error;
        acceptor_.cancel(error);
        acceptor_.non_blocking(true, error);
        while (!error) {
            HttpSocket socket(asio::make_strand(context_));
            acceptor_.accept(socket, error);
            if (!error) {
                startConnection(std::move(socket));
            }
        }
        acceptor_.close(error);
        retryTimer_.cancel();
    }

    /// An accept fails for instance when all file descriptors are in use, which passes.
    auto retryLater(asio::error_code error) -> void
    {
        logEvent(LogLevel::Warning, "http.accept-failed", { { "error", error.message() } });
        retryTimer_.expires_after(acceptRetryDelay);
        retryTimer_.async_wait([self = shared_from_this()](asio::error_code) {
            if (self->acceptor_.is_open()) {
                self->accept();
            }
        });
    }

    /// Hands the socket to the library on the connection's own strand. The library's own acceptor is
    /// not used, because it stops for good after the first failed accept.
    auto startConnection(HttpSocket socket) -> void
    {
        auto place = takePlace();
        if (!place) {
            return; // Destroying the socket closes the connection.
        }
        const auto strand = socket.get_executor();
        asio::dispatch(strand,
            [self = shared_from_this(), socket = std::move(socket), place = std::move(place)]() mutable {
                asio::error_code error;
                const auto remote = socket.remote_endpoint(error);
                if (error) {
                    return;
                }
                const auto connection
                    = std::make_shared<HttpConnection>(std::move(socket), self->connectionOptions_);
                connection->start(std::move(place));
                std::make_shared<LibraryConnection>(self->connectionCount_++, ServerSocket(connection),
                    self->librarySettings(connection), remote, LibraryConnection::lifetime_monitor_t(nullptr))
                    ->init();
            });
    }

    /// Returns a place below the connection limit, or null. The place is free again when the last
    /// reference to it is gone.
    auto takePlace() -> std::shared_ptr<void>
    {
        const auto open = openConnections_;
        if (++*open > maxConnections_ && maxConnections_ > 0) {
            --*open;
            return nullptr;
        }
        return { open.get(), [open](void*) {
                    --*open;
                } };
    }

    auto librarySettings(const std::shared_ptr<HttpConnection>& connection)
        -> std::shared_ptr<LibrarySettings>
    {
        restinio::server_settings_t<ServerTraits> settings;
        settings.request_handler(RequestHandler { connection, handler_ })
            .buffer_size(readBufferBytes)
            .max_pipelined_requests(maxPipelinedRequests);
        return std::make_shared<LibrarySettings>(std::move(settings),
            restinio::impl::create_parser_settings<restinio::default_http_methods_t>(),
            std::make_shared<restinio::null_timer_manager_t>());
    }

    asio::io_context& context_;
    Acceptor acceptor_;
    HttpTimer retryTimer_;
    std::shared_ptr<const HttpServer::Handler> handler_;
    std::shared_ptr<const HttpConnectionOptions> connectionOptions_;
    std::atomic<std::uint64_t> connectionCount_ = 1;
    const std::size_t maxConnections_;
    /// Shared with the connections, which may outlive the listener.
    std::shared_ptr<std::atomic<std::size_t>> openConnections_
        = std::make_shared<std::atomic<std::size_t>>(0);
};

class RestinioServer final : public HttpServer {
public:
    explicit RestinioServer(std::shared_ptr<Listener> listener)
        : listener_(std::move(listener))
        , address_(listener_->address())
    {
    }
    ~RestinioServer() override
    {
        listener_->stop();
    }

    auto stopAccepting() -> void override
    {
        listener_->stop();
    }

    auto address() const -> Address override
    {
        return address_;
    }

private:
    std::shared_ptr<Listener> listener_;
    Address address_;
};

} // namespace

auto HttpServer::open(asio::io_context& context, HttpServerOptions options, Handler handler)
    -> Result<std::unique_ptr<HttpServer>>
{
    const auto address = options.listen_;
    auto listener = std::make_shared<Listener>(context, std::move(options), std::move(handler));
    if (const auto error = listener->listen(address)) {
        return Error { ErrorCode::Unavailable,
            "cannot listen on " + address.text() + ": " + error.message() };
    }
    listener->accept();
    return std::make_unique<RestinioServer>(std::move(listener));
}

} // namespace wagtailhead
