/// Watches whether the backend server of this node can be reached. Internal to the library.
#pragma once

#include "wagtailhead/http.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>

namespace wagtailhead {

/// What the monitor reports.
struct BackendState {
    bool up_ = false;
    bool draining_ = false;
    std::uint64_t readySinceMs_ = 0; ///< Unix time of the last change to up.

    auto operator==(const BackendState&) const -> bool = default;
};

/// Asks the health endpoint at a low rate, because a probe costs several milliseconds of the backend
/// server. Only two things count: a refused connection means down, and a reported drain is believed,
/// since health reports lag and mislead otherwise. Callbacks run in threads of the context.
class BackendMonitor {
public:
    using Listener = std::function<void(const BackendState&)>;

    BackendMonitor(asio::io_context& context, HttpClient& http, Address backend, Listener onChange);

    /// Starts probing. Call once.
    auto start() -> void;

private:
    auto probe() -> void;
    auto onResult(const HttpResult& result) -> void;

    HttpClient& http_;
    const Address backend_;
    Listener onChange_;
    asio::steady_timer timer_;
    BackendState state_; // One probe at a time, so no lock is needed.
};

} // namespace wagtailhead
