/// Bounds the running requests of the HTTP client to each address.
#pragma once

#include "wagtailhead/http.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace wagtailhead {

/// A request before it is handed to libcurl.
struct QueuedRequest {
    HttpClient::RequestId id_ = 0;
    Address address_;
    HttpRequest request_;
    TimePoint deadline_;
    HttpClient::Callback callback_;
};

/// Counts running requests and keeps those that wait for their turn, in order for each address. libcurl's
/// own limit is not used, because requests that wait for it are not timed out. Not thread safe.
class HostQueue {
public:
    explicit HostQueue(int maxRunningPerHost);

    /// Counts a request as running. Returns false if the limit is reached; it must wait then.
    auto tryStart(const Address& address) -> bool;

    auto wait(QueuedRequest request) -> void;

    /// Ends a running request. Returns the next one for the same address, which then counts as running.
    auto finish(const Address& address) -> std::optional<QueuedRequest>;

    /// Takes out a waiting request.
    auto remove(HttpClient::RequestId id) -> std::optional<QueuedRequest>;

    /// Takes out the waiting requests whose deadline has passed.
    auto takeExpired(TimePoint now) -> std::vector<QueuedRequest>;

    /// Returns the earliest deadline of a waiting request, or the end of time.
    auto nextDeadline() const -> TimePoint;

private:
    struct Host {
        int running_ = 0;
        std::deque<HttpClient::RequestId> waiting_; ///< May name requests that were removed.
    };

    /// The comparison that the compiler makes for Address fails clang-tidy 14 (modernize-use-nullptr).
    struct AddressLess {
        auto operator()(const Address& left, const Address& right) const -> bool
        {
            return std::tie(left.ip_, left.port_) < std::tie(right.ip_, right.port_);
        }
    };

    const int maxRunningPerHost_;
    std::map<Address, Host, AddressLess> hosts_;
    std::map<HttpClient::RequestId, QueuedRequest> waiting_;
    std::set<std::pair<TimePoint, HttpClient::RequestId>> deadlines_;
};

} // namespace wagtailhead
