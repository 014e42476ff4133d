/// The listeners, connections and control interface of the link stand-in.
#pragma once

#include "link_pairs.h"
#include "relay_connection.h"
#include "standin_http.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace wagtailhead::standin {

/// Listens on every route and relays its connections. Runs in the one thread of its context.
class LinkServer {
public:
    LinkServer(asio::io_context& context, const LinkRoutes& routes, const LinkDefaults& defaults);

    /// Opens all listeners. The error names the first address that is not free.
    auto open() -> Result<Done>;

    /// Handles a request of the control interface.
    auto handle(const HttpRequest& request) -> HttpResponse;

private:
    struct Listener {
        LinkRoute route_;
        ZonePair* there_;
        ZonePair* back_;
        asio::ip::tcp::acceptor acceptor_;
    };

    auto openListener(Listener& listener) -> Result<Done>;
    auto accept(Listener& listener) -> void;
    auto addConnection(const std::shared_ptr<RelayConnection>& connection) -> void;

    auto handlePairs(const HttpRequest& request) -> HttpResponse;
    auto change(const PairChange& change, ZonePair& pair) -> Result<Done>;
    auto dump() -> HttpResponse;

    asio::io_context& context_;
    LinkPairs pairs_;
    std::vector<std::unique_ptr<Listener>> listeners_;
    std::vector<std::weak_ptr<RelayConnection>> connections_;
    std::size_t pruneAt_ = 0; ///< Size of connections_ at which ended ones are removed.
};

} // namespace wagtailhead::standin
