#include "placement_policy.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace wagtailhead {

namespace {

/// Score of a candidate that is to be used only if there is no other.
constexpr double avoidedScore = 100;
/// A backend server with this share of failed requests counts as fully loaded twice over.
constexpr double failurePenalty = 2.0;
/// A node at level 1 refuses a whole rank; it counts as one whose slots are all taken once more.
constexpr double levelPenalty = 1.0;
/// Spreads equal loads over equally good nodes.
constexpr double jitter = 0.05;

/// Of LoadPlacement: added to the share of slots in use, for the bytes between zones of a region and the
/// round trip to another region.
constexpr std::array<double, 3> fixedPenalties { 0, 0.3, 1.3 };
/// A slow backend server that gets no requests is tried again after this time.
constexpr Duration slownessLife = seconds(3);

/// Of CompletionPlacement, by distance, in parts of the objective: what the bytes of a small request are
/// worth, and the bytes that are worth one objective.
constexpr std::array<double, 3> distancePenalties { 0, 0.2, 1.1 };
constexpr std::array<double, 3> bytesPerObjective { INFINITY, 500e3, 100e3 };
/// Round trip, by distance.
constexpr std::array<Duration, 3> roundTrips { Duration::zero(), milliseconds(2), milliseconds(62) };
/// Candidates that are compared, by distance.
constexpr std::array<std::size_t, 3> comparedNodes { 3, 2, 1 };
/// What lies beyond the objective counts this much more.
constexpr double latePenalty = 2;
/// Waiting begins before all slots are taken, as requests do not arrive evenly. A full server without a queue
/// counts as one that takes this much longer.
constexpr double fullPenalty = 1.0;
/// Of a backend server that has not answered anything yet.
constexpr Duration assumedServiceTime = milliseconds(30);

template <typename Values> auto of(const Values& values, Distance distance)
{
    return values.at(static_cast<std::size_t>(distance));
}

auto inSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

auto LoadPlacement::choose(const std::vector<PlacementCandidate>& candidates, const PlacementWork& work)
    -> std::size_t
{
    std::size_t best = 0;
    double bestScore = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        const double used = candidate.load_ / candidate.capacity_;
        double score = used * used * used * used + of(fixedPenalties, candidate.distance_);
        const double remembered
            = std::clamp(1 - inSeconds(candidate.loadAge_) / inSeconds(slownessLife), 0.0, 1.0);
        score += inSeconds(candidate.serviceTime_) / inSeconds(work.goal_) * remembered;
        score += candidate.failureShare_ * failurePenalty + candidate.level_ * levelPenalty;
        score += std::uniform_real_distribution<>(0, jitter)(random_);
        score += candidate.avoided_ ? avoidedScore : 0;
        if (i == 0 || score < bestScore) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

auto expectedCompletion(const PlacementCandidate& candidate, const PlacementWork& work) -> Duration
{
    const auto mean = candidate.serviceTime_ > Duration::zero() ? candidate.serviceTime_ : assumedServiceTime;
    // The mean time of the server holds its slowness already.
    const double own
        = work.cost_ > Duration::zero() ? inSeconds(work.cost_) * candidate.slowness_ : inSeconds(mean);
    const double used = candidate.load_ / candidate.slots_;
    const double full = std::min(used, 1.0);
    const double waiting = std::max(candidate.load_ + 1 - candidate.slots_, 0.0);
    const double wait = waiting / candidate.slots_ * inSeconds(mean);
    const double expected = own * (1 + fullPenalty * full * full * full * full) + wait;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(expected));
}

auto CompletionPlacement::score(const PlacementCandidate& candidate, const PlacementWork& work) -> double
{
    const double objective = inSeconds(work.goal_);
    const double time = inSeconds(expectedCompletion(candidate, work) + of(roundTrips, candidate.distance_));
    double score = time / objective + latePenalty * std::max(time / objective - 1, 0.0);
    score += of(distancePenalties, candidate.distance_)
        + static_cast<double>(work.bytes_) / of(bytesPerObjective, candidate.distance_);
    score += candidate.failureShare_ * failurePenalty + candidate.level_ * levelPenalty;
    score += std::uniform_real_distribution<>(0, jitter)(random_);
    return score + (candidate.avoided_ ? avoidedScore : 0);
}

auto CompletionPlacement::choose(const std::vector<PlacementCandidate>& candidates, const PlacementWork& work)
    -> std::size_t
{
    std::array<std::vector<std::size_t>, 3> places;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].avoided_) {
            places.at(static_cast<std::size_t>(candidates[i].distance_)).push_back(i);
        }
    }
    std::size_t best = candidates.size();
    double bestScore = 0;
    const auto consider = [&](std::size_t place) {
        const double value = score(candidates[place], work);
        if (best == candidates.size() || value < bestScore) {
            best = place;
            bestScore = value;
        }
    };
    for (std::size_t distance = 0; distance < places.size(); ++distance) {
        auto& near = places.at(distance);
        for (std::size_t n = 0; n < comparedNodes.at(distance) && n < near.size(); ++n) {
            const auto drawn = std::uniform_int_distribution<std::size_t>(n, near.size() - 1)(random_);
            std::swap(near[n], near[drawn]);
            consider(near[n]);
        }
    }
    if (best == candidates.size()) {
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            consider(i);
        }
    }
    return best;
}

} // namespace wagtailhead
