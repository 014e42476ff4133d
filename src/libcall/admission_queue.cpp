#include "admission_queue.h"

#include <list>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace wagtailhead {

namespace {

/// Ordered by priority, then invested work (more first), then root hash (lower first). Indexes by
/// deadline and by arrival find expired and overdue calls without a scan.
class OrderedQueue final : public AdmissionQueue {
public:
    auto push(const QueuedCall& call) -> void override
    {
        const auto id = call.call_.id_;
        const auto [at, added] = calls_.emplace(rankOf(call.call_, false), call);
        if (!added) {
            return;
        }
        ranks_[id] = at;
        byDeadline_.emplace(call.call_.deadline_, id);
        byArrival(call.call_.priority_).emplace(call.arrivedAt_, id);
        ++counts_.at(indexOf(call.call_.priority_));
    }

    auto size() const -> std::size_t override
    {
        return calls_.size();
    }

    auto front() const -> const QueuedCall* override
    {
        return calls_.empty() ? nullptr : &calls_.begin()->second;
    }

    auto back() const -> const QueuedCall* override
    {
        return calls_.empty() ? nullptr : &calls_.rbegin()->second;
    }

    auto counts() const -> const PriorityCounts& override
    {
        return counts_;
    }

    auto remove(AdmissionId id) -> bool override
    {
        const auto found = ranks_.find(id);
        if (found == ranks_.end()) {
            return false;
        }
        take(found->second);
        return true;
    }

    auto takeExpired(TimePoint now) -> std::vector<QueuedCall> override
    {
        std::vector<QueuedCall> taken;
        while (!byDeadline_.empty() && byDeadline_.begin()->first <= now) {
            taken.push_back(take(ranks_.at(byDeadline_.begin()->second)));
        }
        return taken;
    }

    auto takeOverdue(TimePoint arrivedBefore) -> std::vector<QueuedCall> override
    {
        std::vector<QueuedCall> taken;
        bool overdue = false;
        for (const auto priority : allPriorities) {
            if (priority == Priority::Critical) {
                continue;
            }
            auto& arrivals = byArrival(priority);
            const bool moreImportantTaken = overdue;
            while (!arrivals.empty() && (moreImportantTaken || arrivals.begin()->first < arrivedBefore)) {
                taken.push_back(take(ranks_.at(arrivals.begin()->second)));
                overdue = true;
            }
        }
        return taken;
    }

    auto promoteOverdue(TimePoint arrivedBefore) -> void override
    {
        auto& arrivals = byArrival(Priority::Critical);
        while (!arrivals.empty() && arrivals.begin()->first < arrivedBefore) {
            auto& position = ranks_.at(arrivals.begin()->second);
            const auto call = position->second;
            calls_.erase(position);
            position = calls_.emplace(rankOf(call.call_, true), call).first;
            arrivals.erase(arrivals.begin());
        }
    }

    auto takeShed(const SheddingLevel& level) -> std::vector<QueuedCall> override
    {
        std::vector<QueuedCall> taken;
        for (auto at = calls_.begin(); at != calls_.end();) {
            const auto next = std::next(at);
            if (drops(level, at->second.call_.priority_, at->second.call_.rootHash_)) {
                taken.push_back(take(at));
            }
            at = next;
        }
        return taken;
    }

private:
    /// Priority, whether not promoted, negated invested work, root hash, id.
    using Rank = std::tuple<Priority, bool, int, std::uint64_t, AdmissionId>;
    using Calls = std::map<Rank, QueuedCall>;
    using TimeIndex = std::set<std::pair<TimePoint, AdmissionId>>;

    static auto indexOf(Priority priority) -> std::size_t
    {
        return static_cast<std::size_t>(priority);
    }

    static auto rankOf(const AdmissionCall& call, bool promoted) -> Rank
    {
        return { call.priority_, !promoted, -call.invested_, call.rootHash_, call.id_ };
    }

    auto byArrival(Priority priority) -> TimeIndex&
    {
        return byArrival_.at(indexOf(priority));
    }

    auto take(Calls::iterator at) -> QueuedCall
    {
        const auto taken = at->second;
        const auto id = taken.call_.id_;
        calls_.erase(at);
        ranks_.erase(id);
        byDeadline_.erase({ taken.call_.deadline_, id });
        byArrival(taken.call_.priority_).erase({ taken.arrivedAt_, id });
        --counts_.at(indexOf(taken.call_.priority_));
        return taken;
    }

    Calls calls_;
    std::unordered_map<AdmissionId, Calls::iterator> ranks_;
    TimeIndex byDeadline_;
    std::array<TimeIndex, priorityCount> byArrival_;
    PriorityCounts counts_ {};
};

/// First in, first out. Only cancelled calls are removed before they start.
class FifoQueue final : public AdmissionQueue {
public:
    auto push(const QueuedCall& call) -> void override
    {
        calls_.push_back(call);
        positions_[call.call_.id_] = std::prev(calls_.end());
        ++counts_.at(static_cast<std::size_t>(call.call_.priority_));
    }

    auto size() const -> std::size_t override
    {
        return calls_.size();
    }

    auto front() const -> const QueuedCall* override
    {
        return calls_.empty() ? nullptr : &calls_.front();
    }

    auto back() const -> const QueuedCall* override
    {
        return calls_.empty() ? nullptr : &calls_.back();
    }

    auto counts() const -> const PriorityCounts& override
    {
        return counts_;
    }

    auto remove(AdmissionId id) -> bool override
    {
        const auto found = positions_.find(id);
        if (found == positions_.end()) {
            return false;
        }
        --counts_.at(static_cast<std::size_t>(found->second->call_.priority_));
        calls_.erase(found->second);
        positions_.erase(found);
        return true;
    }

    auto takeExpired(TimePoint /*now*/) -> std::vector<QueuedCall> override
    {
        return {};
    }

    auto takeOverdue(TimePoint /*arrivedBefore*/) -> std::vector<QueuedCall> override
    {
        return {};
    }

    auto promoteOverdue(TimePoint /*arrivedBefore*/) -> void override { }

    auto takeShed(const SheddingLevel& /*level*/) -> std::vector<QueuedCall> override
    {
        return {};
    }

private:
    std::list<QueuedCall> calls_;
    std::unordered_map<AdmissionId, std::list<QueuedCall>::iterator> positions_;
    PriorityCounts counts_ {};
};

} // namespace

auto AdmissionQueue::create(Mechanism mechanism) -> std::unique_ptr<AdmissionQueue>
{
    if (mechanism == Mechanism::Naive) {
        return std::make_unique<FifoQueue>();
    }
    return std::make_unique<OrderedQueue>();
}

} // namespace wagtailhead
