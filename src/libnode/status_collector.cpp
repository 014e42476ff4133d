#include "status_collector.h"

#include "wagtailhead/ids.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <deque>

namespace wagtailhead {

namespace {

/// The node that is asked for a zone's report changes this often.
constexpr auto relayPeriod = std::chrono::minutes(1);

auto answersRequests(const Member& member) -> bool
{
    return member.state_ != MemberState::Dead;
}

} // namespace

auto rankRelays(const MemberList& members, const std::string& zone, WallClock::time_point now)
    -> std::vector<const Member*>
{
    const auto period = now.time_since_epoch() / relayPeriod;
    std::vector<std::pair<std::uint64_t, const Member*>> ranked;
    for (const auto& [id, member] : members.members_) {
        if (member.zone_ == zone && member.state_ == MemberState::Alive) {
            ranked.emplace_back(stableHash(id, static_cast<std::uint64_t>(period)), &member);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<const Member*> relays;
    relays.reserve(ranked.size());
    for (const auto& [rank, member] : ranked) {
        relays.push_back(member);
    }
    return relays;
}

/// Shared by the collector and the callbacks of its requests, which may come after its end.
class StatusCollector::State : public std::enable_shared_from_this<State> {
public:
    State(StatusCollectorParts parts, StatusCollectorOptions options)
        : parts_(std::move(parts))
        , options_(options)
    {
    }

    auto collectZone(ZoneCallback callback) -> void;
    auto collectMesh(MeshCallback callback) -> void;
    auto stop() -> void;
    auto ownReport() const -> ZoneReport
    {
        return parts_.ownReport_();
    }

private:
    /// One collection of the own zone.
    struct ZoneRun {
        explicit ZoneRun(asio::io_context& context)
            : limit_(context)
        {
        }

        TimePoint startedAt_ = Clock::now();
        std::shared_ptr<const MemberList> members_;
        std::deque<const Member*> waiting_;
        std::set<NodeId> asked_;
        bool probing_ = true; ///< The store has not answered yet.
        ZoneReport report_;
        asio::steady_timer limit_;
    };

    /// One collection of the mesh.
    struct MeshRun {
        TimePoint startedAt_ = Clock::now();
        std::shared_ptr<const MemberList> members_;
        MeshReport report_;
        std::size_t open_ = 0; ///< Zones without a result.
    };

    using ZoneRunPtr = std::shared_ptr<ZoneRun>;
    using MeshRunPtr = std::shared_ptr<MeshRun>;

    auto startZone() -> void;
    auto askNext(const ZoneRunPtr& run) -> void;
    auto askNode(const ZoneRunPtr& run, const Member& member) -> void;
    auto probeStore(const ZoneRunPtr& run) -> void;
    auto finishZone(const ZoneRunPtr& run) -> void;
    auto startMesh() -> void;
    auto askRelay(const MeshRunPtr& run, const std::string& zone, std::vector<const Member*> relays,
        int attempt) -> void;
    /// Notes the report of a zone, whose age counts up to `at`; null if the zone gave none.
    auto finishPart(const MeshRunPtr& run, const std::string& zone, const ZoneReport* report, TimePoint at)
        -> void;
    auto finishMesh(const MeshRunPtr& run) -> void;

    const StatusCollectorParts parts_;
    const StatusCollectorOptions options_;

    std::mutex mutex_; // Guards the fields below and the runs. Never held during a callback.
    bool stopped_ = false;
    ZoneRunPtr zoneRun_;
    std::vector<ZoneCallback> zoneWaiters_;
    std::optional<ZoneReport> lastZone_;
    TimePoint lastZoneAt_;
    MeshRunPtr meshRun_;
    std::vector<MeshCallback> meshWaiters_;
    std::optional<MeshReport> lastMesh_;
    std::uint64_t requests_ = 0;
};

auto StatusCollector::State::stop() -> void
{
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    zoneWaiters_.clear();
    meshWaiters_.clear();
    if (zoneRun_) {
        zoneRun_->limit_.cancel();
        zoneRun_.reset();
    }
}

auto StatusCollector::State::collectZone(ZoneCallback callback) -> void
{
    bool start = false;
    {
        const std::lock_guard lock(mutex_);
        const auto age = Clock::now() - lastZoneAt_;
        if (lastZone_ && age <= options_.reuse_) {
            auto report = *lastZone_;
            report.age_ += age;
            asio::post(parts_.context_, [callback = std::move(callback), report = std::move(report)] {
                callback(report);
            });
            return;
        }
        zoneWaiters_.push_back(std::move(callback));
        start = !zoneRun_;
        if (start) {
            zoneRun_ = std::make_shared<ZoneRun>(parts_.context_);
        }
    }
    if (start) {
        startZone();
    }
}

auto StatusCollector::State::startZone() -> void
{
    auto own = parts_.ownReport_();
    ZoneRunPtr run;
    {
        const std::lock_guard lock(mutex_);
        run = zoneRun_;
        if (!run) {
            return;
        }
        run->report_ = std::move(own);
        // Unless the store answers in time.
        run->report_.storeReachable_ = false;
        run->members_ = parts_.members_.snapshot();
        for (const auto& [id, member] : run->members_->members_) {
            if (member.zone_ == parts_.zone_ && id != parts_.self_.id_ && answersRequests(member)) {
                run->waiting_.push_back(&member);
            }
        }
        run->limit_.expires_after(options_.collectLimit_);
        run->limit_.async_wait([self = shared_from_this(), run](const asio::error_code& error) {
            if (!error) {
                self->finishZone(run);
            }
        });
    }
    probeStore(run);
    for (std::size_t i = 0; i < options_.window_; ++i) {
        askNext(run);
    }
}

auto StatusCollector::State::probeStore(const ZoneRunPtr& run) -> void
{
    parts_.probeStore_([self = shared_from_this(), run](bool reachable) {
        {
            const std::lock_guard lock(self->mutex_);
            if (self->zoneRun_ != run) {
                return;
            }
            run->probing_ = false;
            run->report_.storeReachable_ = reachable;
        }
        self->askNext(run);
    });
}

auto StatusCollector::State::askNext(const ZoneRunPtr& run) -> void
{
    const Member* next = nullptr;
    {
        const std::lock_guard lock(mutex_);
        if (zoneRun_ != run) {
            return;
        }
        if (!run->waiting_.empty()) {
            next = run->waiting_.front();
            run->waiting_.pop_front();
            run->asked_.insert(next->ref_.id_);
            ++requests_;
        } else if (!run->asked_.empty() || run->probing_) {
            return;
        }
    }
    if (next) {
        askNode(run, *next);
    } else {
        finishZone(run);
    }
}

auto StatusCollector::State::askNode(const ZoneRunPtr& run, const Member& member) -> void
{
    const auto askedAt = Clock::now();
    parts_.ask_(member, false, options_.nodeTimeout_,
        [self = shared_from_this(), run, id = member.ref_.id_, askedAt](std::optional<ZoneReport> report) {
            {
                const std::lock_guard lock(self->mutex_);
                if (self->zoneRun_ != run) {
                    return;
                }
                run->asked_.erase(id);
                if (report) {
                    report->age_ += Clock::now() - askedAt;
                    merge(run->report_, *report);
                } else {
                    addMissing(run->report_, id);
                }
            }
            self->askNext(run);
        });
}

auto StatusCollector::State::finishZone(const ZoneRunPtr& run) -> void
{
    std::vector<ZoneCallback> waiters;
    ZoneReport report;
    {
        const std::lock_guard lock(mutex_);
        if (zoneRun_ != run) {
            return;
        }
        zoneRun_.reset();
        run->limit_.cancel();
        for (const auto& id : run->asked_) {
            addMissing(run->report_, id);
        }
        for (const auto* member : run->waiting_) {
            addMissing(run->report_, member->ref_.id_);
        }
        // The own figures are as old as the collection.
        run->report_.age_ = std::max(run->report_.age_, Clock::now() - run->startedAt_);
        lastZone_ = run->report_;
        lastZoneAt_ = Clock::now();
        report = run->report_;
        waiters.swap(zoneWaiters_);
    }
    for (const auto& waiter : waiters) {
        waiter(report);
    }
}

auto StatusCollector::State::collectMesh(MeshCallback callback) -> void
{
    {
        const std::lock_guard lock(mutex_);
        if (lastMesh_ && Clock::now() - lastMesh_->collectedAt_ <= options_.reuse_) {
            asio::post(parts_.context_, [callback = std::move(callback), report = *lastMesh_] {
                callback(report);
            });
            return;
        }
        meshWaiters_.push_back(std::move(callback));
        if (meshRun_) {
            return;
        }
        meshRun_ = std::make_shared<MeshRun>();
    }
    startMesh();
}

auto StatusCollector::State::startMesh() -> void
{
    MeshRunPtr run;
    std::set<std::string> zones { parts_.zone_ };
    {
        const std::lock_guard lock(mutex_);
        run = meshRun_;
        run->members_ = parts_.members_.snapshot();
        for (const auto& [id, member] : run->members_->members_) {
            zones.insert(member.zone_);
        }
        run->open_ = zones.size();
        run->report_.requests_ = requests_;
    }
    collectZone([self = shared_from_this(), run](const ZoneReport& report) {
        self->finishPart(run, self->parts_.zone_, &report, Clock::now());
    });
    zones.erase(parts_.zone_);
    const auto now = WallClock::now();
    for (const auto& zone : zones) {
        askRelay(run, zone, rankRelays(*run->members_, zone, now), 0);
    }
}

auto StatusCollector::State::askRelay(
    const MeshRunPtr& run, const std::string& zone, std::vector<const Member*> relays, int attempt) -> void
{
    if (attempt >= options_.zoneAttempts_ || attempt >= static_cast<int>(relays.size())) {
        finishPart(run, zone, nullptr, Clock::now());
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        ++requests_;
    }
    const auto& relay = *relays.at(static_cast<std::size_t>(attempt));
    parts_.ask_(relay, true, options_.zoneTimeout_,
        [self = shared_from_this(), run, zone, relays = std::move(relays), attempt, askedAt = Clock::now()](
            const std::optional<ZoneReport>& report) mutable {
            if (report) {
                self->finishPart(run, zone, &*report, askedAt);
            } else {
                self->askRelay(run, zone, std::move(relays), attempt + 1);
            }
        });
}

auto StatusCollector::State::finishPart(
    const MeshRunPtr& run, const std::string& zone, const ZoneReport* report, TimePoint at) -> void
{
    bool last = false;
    {
        const std::lock_guard lock(mutex_);
        auto& part = run->report_.zones_[zone];
        if (report) {
            part = { *report, true, true, at - report->age_ };
        } else if (lastMesh_) {
            if (const auto before = lastMesh_->zones_.find(zone); before != lastMesh_->zones_.end()) {
                part = before->second;
            }
            part.reachable_ = false;
        }
        last = --run->open_ == 0;
    }
    if (last) {
        finishMesh(run);
    }
}

auto StatusCollector::State::finishMesh(const MeshRunPtr& run) -> void
{
    std::vector<MeshCallback> waiters;
    {
        const std::lock_guard lock(mutex_);
        run->report_.collectedAt_ = Clock::now();
        run->report_.took_ = run->report_.collectedAt_ - run->startedAt_;
        run->report_.requests_ = requests_ - run->report_.requests_;
        lastMesh_ = run->report_;
        meshRun_.reset();
        waiters.swap(meshWaiters_);
    }
    for (const auto& waiter : waiters) {
        waiter(run->report_);
    }
}

StatusCollector::StatusCollector(StatusCollectorParts parts, StatusCollectorOptions options)
    : state_(std::make_shared<State>(std::move(parts), options))
{
}

StatusCollector::~StatusCollector()
{
    state_->stop();
}

auto StatusCollector::collectZone(ZoneCallback callback) -> void
{
    state_->collectZone(std::move(callback));
}

auto StatusCollector::collectMesh(MeshCallback callback) -> void
{
    state_->collectMesh(std::move(callback));
}

auto StatusCollector::onRequest(const SummaryRequest& request, std::function<void(SummaryReply)> reply)
    -> void
{
    const auto answer = [id = request.requestId_, reply = std::move(reply)](const ZoneReport& report) {
        reply({ id, formatReport(report) });
    };
    if (request.wholeZone_) {
        collectZone(answer);
    } else {
        answer(state_->ownReport());
    }
}

} // namespace wagtailhead
