#include "link_server.h"

#include "wagtailhead/log.h"

#include <nlohmann/json.hpp>

namespace wagtailhead::standin {

namespace {

constexpr std::size_t leastPruneSize = 64;

} // namespace

LinkServer::LinkServer(asio::io_context& context, const LinkRoutes& routes, const LinkDefaults& defaults)
    : context_(context)
    , pairs_(routes, defaults)
    , pruneAt_(leastPruneSize)
{
    for (const auto& route : routes.routes_) {
        listeners_.push_back(std::make_unique<Listener>(Listener { route, &pairs_.at(route.from_, route.to_),
            &pairs_.at(route.to_, route.from_), asio::ip::tcp::acceptor(context) }));
    }
}

auto LinkServer::open() -> Result<Done>
{
    for (const auto& listener : listeners_) {
        if (auto result = openListener(*listener); !isOk(result)) {
            return result;
        }
    }
    return Done();
}

auto LinkServer::openListener(Listener& listener) -> Result<Done>
{
    const auto& address = listener.route_.listen_;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip_), address.port_);
    auto& acceptor = listener.acceptor_;
    std::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        acceptor.close();
        return Error { ErrorCode::Unavailable,
            "cannot listen on " + address.text() + ": " + error.message() };
    }
    accept(listener);
    return Done();
}

auto LinkServer::accept(Listener& listener) -> void
{
    listener.acceptor_.async_accept([this, &listener](const std::error_code& error, TcpSocket socket) {
        if (!listener.acceptor_.is_open()) {
            return;
        }
        if (!error) {
            const auto connection = std::make_shared<RelayConnection>(
                context_, std::move(socket), *listener.there_, *listener.back_);
            addConnection(connection);
            connection->start(listener.route_.target_);
        }
        accept(listener);
    });
}

auto LinkServer::addConnection(const std::shared_ptr<RelayConnection>& connection) -> void
{
    if (connections_.size() >= pruneAt_) {
        std::erase_if(connections_, [](const auto& weak) {
            return weak.expired();
        });
        pruneAt_ = std::max(leastPruneSize, connections_.size() * 2);
    }
    connections_.push_back(connection);
}

auto LinkServer::handle(const HttpRequest& request) -> HttpResponse
{
    const auto path = request.target_.substr(0, request.target_.find('?'));
    if (path == "/-/pairs") {
        return request.method_ == "POST" ? handlePairs(request) : jsonResponse(200, pairs_.toJson());
    }
    if (path == "/-/dump") {
        return dump();
    }
    return path == "/-/metrics" ? metricsResponse() : reasonResponse(404, "unknown-path");
}

auto LinkServer::handlePairs(const HttpRequest& request) -> HttpResponse
{
    const auto parsed = parsePairChange(request.body_);
    if (!isOk(parsed)) {
        return reasonResponse(400, errorOf(parsed).text_);
    }
    const auto concerned = pairs_.matching(valueOf(parsed));
    if (concerned.empty()) {
        return reasonResponse(404, "no route joins these zones");
    }
    for (auto* pair : concerned) {
        if (const auto result = change(valueOf(parsed), *pair); !isOk(result)) {
            return reasonResponse(500, errorOf(result).text_);
        }
    }
    logEvent(LogLevel::Info, "pairs", { { "change", request.body_ }, { "pairs", concerned.size() } });
    return jsonResponse(200, pairs_.toJson());
}

auto LinkServer::change(const PairChange& change, ZonePair& pair) -> Result<Done>
{
    applyChange(change, pair);
    for (const auto& weak : connections_) {
        const auto connection = weak.lock();
        if (!connection || &connection->pair() != &pair) {
            continue;
        }
        if (pair.cut_) {
            connection->close();
        } else if (change.silenceExisting_) {
            connection->silence();
        }
    }
    for (const auto& listener : listeners_) {
        if (listener->there_ != &pair) {
            continue;
        }
        if (pair.cut_) {
            listener->acceptor_.close();
        } else if (!listener->acceptor_.is_open()) {
            if (auto result = openListener(*listener); !isOk(result)) {
                return result;
            }
        }
    }
    return Done();
}

auto LinkServer::dump() -> HttpResponse
{
    auto dump = pairs_.toJson();
    dump["routes"] = listeners_.size();
    return jsonResponse(200, dump);
}

} // namespace wagtailhead::standin
