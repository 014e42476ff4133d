/// The requests of a transport that wait for a reply. Internal to the library.
#pragma once

#include "peer_connection.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace wagtailhead {

/// One request that waits for its reply.
struct PendingRequest {
    PeerTransport::ReplyCallback callback_;
    /// The connection that carries it; empty while the connection is being opened.
    std::shared_ptr<PeerConnection> connection_;
    bool isCall_ = false;
    TimePoint deadline_;
};

/// Table of pending requests with their deadlines. Not thread safe; the transport's mutex guards it.
class PendingRequests {
public:
    auto insert(std::uint64_t id, PendingRequest request) -> void
    {
        deadlines_.emplace(request.deadline_, id);
        requests_.emplace(id, std::move(request));
    }

    auto find(std::uint64_t id) -> PendingRequest*
    {
        const auto found = requests_.find(id);
        return found == requests_.end() ? nullptr : &found->second;
    }

    /// Removes and returns a request, or nothing if it has ended already.
    auto take(std::uint64_t id) -> std::optional<PendingRequest>
    {
        auto node = requests_.extract(id);
        if (node.empty()) {
            return std::nullopt;
        }
        const auto [first, last] = deadlines_.equal_range(node.mapped().deadline_);
        for (auto at = first; at != last; ++at) {
            if (at->second == id) {
                deadlines_.erase(at);
                break;
            }
        }
        if (node.mapped().connection_) {
            node.mapped().connection_->addInFlight(-1);
        }
        return std::move(node.mapped());
    }

    /// Removes and returns the requests that a closed connection carried.
    auto takeAllOf(const std::shared_ptr<PeerConnection>& connection) -> std::vector<PendingRequest>
    {
        std::vector<std::uint64_t> ids;
        for (const auto& [id, request] : requests_) {
            if (request.connection_ == connection) {
                ids.push_back(id);
            }
        }
        std::vector<PendingRequest> taken;
        taken.reserve(ids.size());
        for (const auto id : ids) {
            taken.push_back(*take(id));
        }
        return taken;
    }

    /// Removes and returns the requests whose deadline has passed.
    auto takeExpired(TimePoint now) -> std::vector<PendingRequest>
    {
        std::vector<PendingRequest> taken;
        while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
            taken.push_back(*take(deadlines_.begin()->second));
        }
        return taken;
    }

    auto nextDeadline() const -> std::optional<TimePoint>
    {
        return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
    }

private:
    std::unordered_map<std::uint64_t, PendingRequest> requests_;
    std::multimap<TimePoint, std::uint64_t> deadlines_;
};

} // namespace wagtailhead
