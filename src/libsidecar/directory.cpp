#include "wagtailhead/directory.h"

#include "placement_policy.h"
#include "wagtailhead/log.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace wagtailhead {

namespace {

constexpr std::array<const char*, 4> phaseNames { "unknown", "ready", "draining", "gone" };

/// What is known of the speed of a backend server that gets no requests fades in this time.
constexpr Duration slownessLife = seconds(3);
constexpr double slownessWeight = 0.15; ///< Of the newest answer in the moving average.
constexpr double smallestSlowness = 0.2;
constexpr double largestSlowness = 20;
/// A reported slowdown of a VM counts for this time.
constexpr Duration slowdownLife = milliseconds(500);
/// Of a backend server that has not answered anything yet.
constexpr Duration assumedServiceTime = milliseconds(30);
/// A reported level holds for this time and then falls, so that a node that gets nothing is tried again.
constexpr Duration levelLife = seconds(2);
constexpr double levelFallPerSecond = 1.0;
/// A reported share of failed requests counts for this time.
constexpr Duration failedShareLife = seconds(5);
/// A change of a reported level by this much is passed on at once.
constexpr double levelStep = 0.05;
constexpr double suspectedShare = 0.5; ///< From here on it is called suspected in the log,
constexpr double trustedShare = 0.2; ///< and from here on trusted again.
constexpr double failureWeight = 0.1; ///< Of the newest request in the moving share.
/// How long a node is avoided after its first failure to take a request; doubles up to the limit.
constexpr Duration avoidFirst = milliseconds(200);
constexpr int avoidDoublings = 4;
/// A node out of reach is tried again after the first interval, which doubles up to the longest.
constexpr Duration firstProbeInterval = milliseconds(250);
constexpr Duration longestProbeInterval = seconds(2);
/// How long a node that is gone is remembered; by then every node has heard of it.
constexpr Duration retiredLife = std::chrono::minutes(10);
/// The capacity that is assumed until a report names it.
constexpr int assumedCapacity = 50;

/// Returns whether `entry` says that the backend server leaves of which `other` speaks.
auto saysThatItLeaves(const NodeEntry& entry, const NodeEntry& other) -> bool
{
    const bool sameStart = !entry.backendId_.empty() && entry.backendId_ == other.backendId_
        && entry.backendBornMs_ != 0 && entry.backendBornMs_ == other.backendBornMs_;
    return sameStart && isLeaving(entry.phase_) && entry.phase_ > other.phase_;
}

/// Returns a level of this age as it still counts.
auto faded(double level, Duration age) -> double
{
    const std::chrono::duration<double> over = age - levelLife;
    return std::max(level - std::max(over.count(), 0.0) * levelFallPerSecond, 0.0);
}

} // namespace

auto backendPhaseName(BackendPhase phase) -> const char*
{
    return phaseNames.at(static_cast<std::size_t>(phase));
}

auto parseBackendPhase(std::string_view name) -> std::optional<BackendPhase>
{
    for (std::size_t i = 0; i < phaseNames.size(); ++i) {
        if (name == phaseNames.at(i)) {
            return static_cast<BackendPhase>(i);
        }
    }
    return std::nullopt;
}

Directory::Directory(DirectoryOptions options)
    : options_(std::move(options))
    , placement_(std::make_unique<LoadPlacement>(options_.seed_))
{
}

Directory::~Directory() = default;
Directory::Directory(Directory&&) noexcept = default;

auto Directory::setCostControl(bool on) -> void
{
    if (std::exchange(costControl_, on) == on) {
        return;
    }
    if (on) {
        placement_ = std::make_unique<CompletionPlacement>(options_.seed_);
    } else {
        placement_ = std::make_unique<LoadPlacement>(options_.seed_);
    }
}

auto Directory::apply(const NodeEntry& entry) -> bool
{
    auto& known = nodes_[entry.node_];
    if (known.entry_.node_.empty() || entry.generation_ > known.entry_.generation_) {
        const bool newBackend = known.entry_.backendId_ != entry.backendId_
            || known.entry_.backendBornMs_ != entry.backendBornMs_;
        known.retiredAt_.reset();
        const bool moved = known.entry_.service_ != entry.service_ || known.entry_.node_.empty();
        const auto phase = saysThatItLeaves(known.entry_, entry) ? known.entry_.phase_ : entry.phase_;
        known.entry_ = entry;
        known.entry_.phase_ = phase;
        known.changedAt_ = Clock::now();
        if (moved) {
            indexServices();
        }
        if (newBackend) {
            known.failures_ = 0;
            known.failureShare_ = 0;
            known.slowness_ = 1;
            known.suspected_ = false;
            known.avoidUntil_ = {};
            known.unreachable_ = false;
        }
        return true;
    }
    if (saysThatItLeaves(entry, known.entry_)) {
        known.entry_.phase_ = entry.phase_;
        known.changedAt_ = Clock::now();
        return true;
    }
    return false;
}

auto Directory::retire(const std::string& node, TimePoint now) -> std::optional<NodeEntry>
{
    const auto found = nodes_.find(node);
    if (found == nodes_.end() || found->second.retiredAt_) {
        return std::nullopt;
    }
    auto& known = found->second;
    if (!isLeaving(known.entry_.phase_)) {
        // The backend server itself has not said that it leaves; its node may run after all.
        known.entry_.backendId_.clear();
        known.entry_.backendBornMs_ = 0;
    }
    known.entry_.phase_ = BackendPhase::Gone;
    known.entry_.accepting_ = false;
    ++known.entry_.generation_;
    known.retiredAt_ = now;
    return known.entry_;
}

auto Directory::purge(TimePoint now) -> void
{
    const auto count = std::erase_if(nodes_, [now](const auto& item) {
        return item.second.retiredAt_ && now - *item.second.retiredAt_ > retiredLife;
    });
    if (count > 0) {
        indexServices();
    }
}

auto Directory::digest() const -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto& [name, known] : nodes_) {
        if (known.entry_.phase_ != BackendPhase::Gone) {
            sum += XXH64(name.data(), name.size(), known.entry_.generation_);
        }
    }
    return sum;
}

auto Directory::indexServices() -> void
{
    byService_.clear();
    for (auto& [name, known] : nodes_) {
        byService_[known.entry_.service_].push_back(&known);
    }
}

auto Directory::nodesOf(std::string_view service) const -> const std::vector<Known*>&
{
    static const std::vector<Known*> none;
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

auto Directory::find(const std::string& node) const -> const NodeEntry*
{
    const auto found = nodes_.find(node);
    return found == nodes_.end() ? nullptr : &found->second.entry_;
}

auto Directory::changedAt(const std::string& node) const -> TimePoint
{
    const auto found = nodes_.find(node);
    return found == nodes_.end() ? TimePoint {} : found->second.changedAt_;
}

auto Directory::entries() const -> std::vector<NodeEntry>
{
    std::vector<NodeEntry> all;
    all.reserve(nodes_.size());
    for (const auto& [name, known] : nodes_) {
        all.push_back(known.entry_);
    }
    return all;
}

auto Directory::serves(std::string_view service) const -> bool
{
    return !nodesOf(service).empty();
}

auto Directory::isUsable(const Known& known) -> bool
{
    return known.entry_.phase_ == BackendPhase::Ready && known.entry_.accepting_;
}

auto Directory::levelOf(const Known& known, TimePoint now, LevelPart part) -> ReportedLevel
{
    const auto since = now - known.loadTime_;
    const ReportedLevel own { faded(known.load_.level_, since), since };
    const auto calledAge = known.load_.called_.age_ + since;
    const ReportedLevel called { faded(known.load_.called_.level_, calledAge), calledAge };
    switch (part) {
    case LevelPart::Own:
        return own;
    case LevelPart::Called:
        return called;
    case LevelPart::Highest:
        break;
    }
    return own.level_ >= called.level_ ? own : called;
}

auto Directory::level(std::string_view service, TimePoint now, LevelPart part) const -> ReportedLevel
{
    struct Sum {
        double levels_ = 0;
        Duration ages_ {};
        double rates_ = 0;
    };
    std::map<std::string_view, Sum> regions;
    for (const auto* known : nodesOf(service)) {
        if (isUsable(*known) && !known->unreachable_) {
            auto& sum = regions[known->entry_.region_];
            const auto level = levelOf(*known, now, part);
            const double rate = rateOf(*known);
            sum.levels_ += level.level_ * rate;
            sum.ages_ += std::chrono::duration_cast<Duration>(level.age_ * (level.level_ * rate));
            sum.rates_ += rate;
        }
    }
    std::optional<ReportedLevel> lowest;
    for (const auto& [region, sum] : regions) {
        const double mean = sum.levels_ / sum.rates_;
        if (!lowest || mean < lowest->level_) {
            const auto age = sum.levels_ > 0 ? sum.ages_ / sum.levels_ : Duration::zero();
            lowest = { mean, std::chrono::duration_cast<Duration>(age) };
        }
    }
    return lowest.value_or(ReportedLevel {});
}

auto Directory::failedShare(std::string_view service, TimePoint now) const -> double
{
    double sum = 0;
    int reports = 0;
    for (const auto* known : nodesOf(service)) {
        if (isUsable(*known) && now - known->loadTime_ < failedShareLife) {
            sum += known->load_.failedShare_;
            ++reports;
        }
    }
    return reports > 0 ? sum / reports : 0;
}

auto Directory::callsNothing(std::string_view service) const -> bool
{
    bool known = false;
    for (const auto* node : nodesOf(service)) {
        if (node->load_.calls_ == CallsMade::Some) {
            return false;
        }
        known = known || node->load_.calls_ == CallsMade::None;
    }
    return known;
}

auto Directory::rateOf(const Known& known) -> double
{
    const int limit = known.load_.limit_ > 0 ? known.load_.limit_ : std::max(known.entry_.capacity_, 1);
    const auto time
        = known.load_.serviceTime_ > Duration::zero() ? known.load_.serviceTime_ : assumedServiceTime;
    return limit / std::chrono::duration<double>(time).count();
}

auto Directory::usedShare(const Known& known) -> double
{
    const double capacity
        = std::max(known.entry_.capacity_ > 0 ? known.entry_.capacity_ : assumedCapacity, 1);
    const int sinceReport = known.inFlight_ - known.inFlightAtReport_;
    return std::max(known.load_.running_ + known.load_.queued_ + sinceReport, known.inFlight_) / capacity;
}

auto Directory::slownessOf(const Known& known, TimePoint now) -> double
{
    const std::chrono::duration<double> age = now - known.slownessTime_;
    const double remembered = std::clamp(1 - age / std::chrono::duration<double>(slownessLife), 0.0, 1.0);
    const double learned = 1 + (known.slowness_ - 1) * remembered;
    return learned * (now - known.slowdownTime_ < slowdownLife ? known.slowdown_ : 1);
}

auto Directory::candidateOf(const Known& known, TimePoint now) const -> PlacementCandidate
{
    PlacementCandidate candidate;
    const bool sameRegion = known.entry_.region_ == options_.region_;
    const bool sameZone = sameRegion && known.entry_.zone_ == options_.zone_;
    candidate.distance_ = sameZone ? Distance::SameZone : Distance::SameRegion;
    if (!sameRegion) {
        candidate.distance_ = Distance::OtherRegion;
    }
    candidate.capacity_ = std::max(known.entry_.capacity_ > 0 ? known.entry_.capacity_ : assumedCapacity, 1);
    candidate.slots_ = known.load_.limit_ > 0 ? known.load_.limit_ : candidate.capacity_;
    candidate.load_ = usedShare(known) * candidate.capacity_;
    candidate.serviceTime_ = known.load_.serviceTime_;
    candidate.loadAge_ = now - known.loadTime_;
    candidate.slowness_ = slownessOf(known, now);
    candidate.failureShare_ = known.failureShare_;
    candidate.level_ = levelOf(known, now).level_;
    candidate.avoided_ = known.unreachable_ || now < known.avoidUntil_;
    return candidate;
}

auto Directory::pick(std::string_view service, Duration goal, const std::vector<std::string>& tried,
    TimePoint now) -> std::optional<PickedNode>
{
    PlacementWork work;
    work.goal_ = goal;
    return pick(service, work, tried, now);
}

auto Directory::pick(std::string_view service, const PlacementWork& work,
    const std::vector<std::string>& tried, TimePoint now) -> std::optional<PickedNode>
{
    std::vector<const Known*> usable;
    std::vector<PlacementCandidate> candidates;
    for (const auto* known : nodesOf(service)) {
        if (isUsable(*known) && std::find(tried.begin(), tried.end(), known->entry_.node_) == tried.end()) {
            usable.push_back(known);
            candidates.push_back(candidateOf(*known, now));
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    const auto& best = *usable[placement_->choose(candidates, work)];
    return PickedNode { best.entry_, usedShare(best), levelOf(best, now).level_, now - best.loadTime_,
        usable.size() };
}

auto Directory::onSlowness(const std::string& node, double slowness, TimePoint now) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        auto& known = found->second;
        const double before = now - known.slownessTime_ < slownessLife ? known.slowness_ : 1;
        known.slowness_
            = std::clamp(before + (slowness - before) * slownessWeight, smallestSlowness, largestSlowness);
        known.slownessTime_ = now;
    }
}

auto Directory::started(const std::string& node) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        ++found->second.inFlight_;
    }
}

auto Directory::ended(const std::string& node) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        found->second.inFlight_ = std::max(found->second.inFlight_ - 1, 0);
    }
}

auto Directory::onLoad(const std::string& node, const GateLoad& load, TimePoint now) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        auto& known = found->second;
        const double before = std::max(known.load_.level_, known.load_.called_.level_);
        const double after = std::max(load.level_, load.called_.level_);
        known.load_ = load;
        known.loadTime_ = now;
        if (load.slowdown_ > 0) {
            known.slowdown_ = load.slowdown_;
            known.slowdownTime_ = now;
        }
        known.inFlightAtReport_ = known.inFlight_;
        if (onLevelStep_ && (std::abs(after - before) >= levelStep || (after > 0) != (before > 0))) {
            onLevelStep_();
        }
    }
}

auto Directory::onUnavailable(const std::string& node, TimePoint now) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end() && now >= found->second.avoidUntil_) {
        auto& known = found->second;
        known.failures_ = std::min(known.failures_ + 1, avoidDoublings);
        known.avoidUntil_ = now + avoidFirst * (1 << (known.failures_ - 1));
    }
}

auto Directory::onUnreachable(const std::string& node, TimePoint now) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end() && !found->second.unreachable_) {
        auto& known = found->second;
        known.unreachable_ = true;
        known.unreachableSince_ = now;
        known.probeInterval_ = firstProbeInterval;
        known.nextProbe_ = now + known.probeInterval_;
    }
}

auto Directory::onReachable(const std::string& node) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        found->second.unreachable_ = false;
    }
}

auto Directory::takeDueProbes(TimePoint now) -> std::vector<NodeEntry>
{
    std::vector<NodeEntry> nodes;
    for (auto& [name, known] : nodes_) {
        if (known.unreachable_ && !isLeaving(known.entry_.phase_) && now >= known.nextProbe_) {
            nodes.push_back(known.entry_);
            known.probeInterval_ = std::min(known.probeInterval_ * 2, longestProbeInterval);
            known.nextProbe_ = now + known.probeInterval_;
        }
    }
    return nodes;
}

auto Directory::unreachableSince(const std::string& node) const -> std::optional<TimePoint>
{
    const auto found = nodes_.find(node);
    return found != nodes_.end() && found->second.unreachable_
        ? std::optional(found->second.unreachableSince_)
        : std::nullopt;
}

auto Directory::reachable() const -> std::vector<NodeEntry>
{
    std::vector<NodeEntry> nodes;
    for (const auto& [name, known] : nodes_) {
        if (!known.unreachable_) {
            nodes.push_back(known.entry_);
        }
    }
    return nodes;
}

auto Directory::onFailure(const std::string& node, TimePoint /*now*/) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        auto& share = found->second.failureShare_;
        share += (1 - share) * failureWeight;
        if (share >= suspectedShare && !std::exchange(found->second.suspected_, true)) {
            logEvent(LogLevel::Warning, "backend_suspected",
                { { "peer", node }, { "backend", found->second.entry_.backendId_ },
                    { "failure_share", share } });
        }
    }
}

auto Directory::onSuccess(const std::string& node) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        found->second.failures_ = 0;
        found->second.avoidUntil_ = {};
        auto& share = found->second.failureShare_;
        share *= 1 - failureWeight;
        if (share <= trustedShare && std::exchange(found->second.suspected_, false)) {
            logEvent(LogLevel::Info, "backend_trusted",
                { { "peer", node }, { "backend", found->second.entry_.backendId_ },
                    { "failure_share", share } });
        }
    }
}

} // namespace wagtailhead
