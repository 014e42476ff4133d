#include "wagtailhead/directory.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

constexpr std::array<const char*, 4> phaseNames { "unknown", "ready", "draining", "gone" };

/// Added to the load share of nodes outside the own zone: the load difference that is worth the bytes
/// between zones of a region, and the round trip to another region.
constexpr double otherZonePenalty = 0.15;
constexpr double otherRegionPenalty = 0.8;
/// A node at level 1 refuses a whole rank; it counts as one whose slots are all taken once more.
constexpr double levelPenalty = 1.0;
/// A region whose level is lower by less than this is not worth the way for requests that are refused here.
constexpr double otherRegionLevel = 0.1;
/// A reported level holds for this time and then falls, so that a node that gets nothing is tried again.
constexpr Duration levelLife = seconds(1);
constexpr double levelFallPerSecond = 1.0;
/// Spreads equal loads over equally good nodes.
constexpr double jitter = 0.05;
/// A backend server with this share of failed requests counts as fully loaded twice over.
constexpr double failurePenalty = 2.0;
constexpr double failureWeight = 0.1; ///< Of the newest request in the moving share.
/// How long a node is avoided after its first failure to take a request; doubles up to the limit.
constexpr Duration avoidFirst = milliseconds(200);
constexpr int avoidDoublings = 4;
/// The capacity that is assumed until a report names it.
constexpr int assumedCapacity = 50;

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
    , random_(options_.seed_)
{
}

auto Directory::apply(const NodeEntry& entry) -> bool
{
    auto& known = nodes_[entry.node_];
    if (known.entry_.node_.empty() || entry.generation_ > known.entry_.generation_) {
        const bool newBackend = known.entry_.backendId_ != entry.backendId_
            || known.entry_.backendBornMs_ != entry.backendBornMs_;
        known.entry_ = entry;
        if (newBackend) {
            known.failures_ = 0;
            known.failureShare_ = 0;
            known.avoidUntil_ = {};
            known.unreachable_ = false;
        }
        return true;
    }
    return false;
}

auto Directory::remove(const std::string& node) -> void
{
    nodes_.erase(node);
}

auto Directory::find(const std::string& node) const -> const NodeEntry*
{
    const auto found = nodes_.find(node);
    return found == nodes_.end() ? nullptr : &found->second.entry_;
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
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& item) {
        return item.second.entry_.service_ == service;
    });
}

auto Directory::isUsable(const Known& known) -> bool
{
    return known.entry_.phase_ == BackendPhase::Ready && known.entry_.accepting_;
}

auto Directory::levelOf(const Known& known, TimePoint now) -> double
{
    const std::chrono::duration<double> over = now - known.loadTime_ - levelLife;
    return std::max(known.load_.level_ - std::max(over.count(), 0.0) * levelFallPerSecond, 0.0);
}

auto Directory::level(std::string_view service, TimePoint now) const -> double
{
    struct Sum {
        double levels_ = 0;
        int nodes_ = 0;
    };
    std::map<std::string_view, Sum> regions;
    for (const auto& [name, known] : nodes_) {
        if (known.entry_.service_ == service && isUsable(known) && !known.unreachable_) {
            auto& sum = regions[known.entry_.region_];
            sum.levels_ += levelOf(known, now);
            ++sum.nodes_;
        }
    }
    std::optional<double> lowest;
    for (const auto& [region, sum] : regions) {
        const double mean = sum.levels_ / sum.nodes_ + (region == options_.region_ ? 0 : otherRegionLevel);
        lowest = std::min(lowest.value_or(mean), mean);
    }
    return lowest.value_or(0);
}

auto Directory::nodeShares() const -> std::map<std::string, double>
{
    std::map<std::string, double> shares;
    for (const auto& [name, known] : nodes_) {
        shares[known.entry_.service_] += 1.0 / static_cast<double>(nodes_.size());
    }
    return shares;
}

auto Directory::score(const Known& known, TimePoint now) -> double
{
    const double capacity
        = std::max(known.entry_.capacity_ > 0 ? known.entry_.capacity_ : assumedCapacity, 1);
    const int sinceReport = known.inFlight_ - known.inFlightAtReport_;
    const int load = std::max(known.load_.running_ + known.load_.queued_ + sinceReport, known.inFlight_);
    double score = load / capacity;
    if (known.entry_.region_ != options_.region_) {
        score += otherRegionPenalty;
    } else if (known.entry_.zone_ != options_.zone_) {
        score += otherZonePenalty;
    }
    score += known.failureShare_ * failurePenalty + levelOf(known, now) * levelPenalty;
    return score + std::uniform_real_distribution<>(0, jitter)(random_);
}

auto Directory::pick(std::string_view service, const std::vector<std::string>& tried, TimePoint now)
    -> std::optional<NodeEntry>
{
    const Known* best = nullptr;
    double bestScore = 0;
    for (const auto& [name, known] : nodes_) {
        if (known.entry_.service_ != service || !isUsable(known)
            || std::find(tried.begin(), tried.end(), name) != tried.end()) {
            continue;
        }
        constexpr double avoided = 100;
        const double value
            = score(known, now) + (known.unreachable_ || now < known.avoidUntil_ ? avoided : 0);
        if (best == nullptr || value < bestScore) {
            best = &known;
            bestScore = value;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->entry_);
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
        found->second.load_ = load;
        found->second.loadTime_ = now;
        found->second.inFlightAtReport_ = found->second.inFlight_;
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

auto Directory::onUnreachable(const std::string& node) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        found->second.unreachable_ = true;
    }
}

auto Directory::onReachable(const std::string& node) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        found->second.unreachable_ = false;
    }
}

auto Directory::unreachable() const -> std::vector<NodeEntry>
{
    std::vector<NodeEntry> nodes;
    for (const auto& [name, known] : nodes_) {
        if (known.unreachable_ && isUsable(known)) {
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
    }
}

auto Directory::onSuccess(const std::string& node) -> void
{
    const auto found = nodes_.find(node);
    if (found != nodes_.end()) {
        found->second.failures_ = 0;
        found->second.avoidUntil_ = {};
        found->second.failureShare_ *= 1 - failureWeight;
    }
}

} // namespace wagtailhead
