#include "host_queue.h"

namespace wagtailhead {

HostQueue::HostQueue(int maxRunningPerHost)
    : maxRunningPerHost_(maxRunningPerHost)
{
}

auto HostQueue::tryStart(const Address& address) -> bool
{
    auto& host = hosts_[address];
    if (host.running_ >= maxRunningPerHost_) {
        return false;
    }
    ++host.running_;
    return true;
}

auto HostQueue::wait(QueuedRequest request) -> void
{
    hosts_[request.address_].waiting_.push_back(request.id_);
    deadlines_.emplace(request.deadline_, request.id_);
    const auto id = request.id_;
    waiting_.emplace(id, std::move(request));
}

auto HostQueue::finish(const Address& address) -> std::optional<QueuedRequest>
{
    const auto found = hosts_.find(address);
    auto& host = found->second;
    while (!host.waiting_.empty()) {
        const auto id = host.waiting_.front();
        host.waiting_.pop_front();
        if (auto next = remove(id)) {
            return next;
        }
    }
    if (--host.running_ == 0) {
        hosts_.erase(found);
    }
    return std::nullopt;
}

auto HostQueue::remove(HttpClient::RequestId id) -> std::optional<QueuedRequest>
{
    auto node = waiting_.extract(id);
    if (!node) {
        return std::nullopt;
    }
    deadlines_.erase({ node.mapped().deadline_, id });
    return std::move(node.mapped());
}

auto HostQueue::takeExpired(TimePoint now) -> std::vector<QueuedRequest>
{
    std::vector<QueuedRequest> expired;
    while (!deadlines_.empty() && nextDeadline() <= now) {
        expired.push_back(*remove(deadlines_.begin()->second));
    }
    return expired;
}

auto HostQueue::nextDeadline() const -> TimePoint
{
    return deadlines_.empty() ? TimePoint::max() : deadlines_.begin()->first;
}

} // namespace wagtailhead
