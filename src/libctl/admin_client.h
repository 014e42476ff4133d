/// Blocking calls of the administration API. Internal to the program.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"
#include "wagtailhead/settings.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace wagtailhead {

struct AdminAnswer {
    int status_ = 0;
    nlohmann::json body_;
};

/// Not thread safe.
class AdminClient {
public:
    /// `token` may be empty for paths that need none.
    AdminClient(Address node, std::string token);
    ~AdminClient();
    AdminClient(const AdminClient&) = delete;
    auto operator=(const AdminClient&) -> AdminClient& = delete;

    /// Sends one request. Fails with Unavailable if the node was not reached, and with Timeout if it may
    /// have got the request but did not answer.
    auto call(const std::string& method, const std::string& path, const std::string& body, Duration timeout)
        -> Result<AdminAnswer>;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace wagtailhead
