/// Where the next attempt of a request goes.
///
/// The directory describes the nodes that take requests of the service as PlacementCandidate and the request
/// as PlacementWork; a policy returns the place of the best one.
#pragma once

#include "wagtailhead/clock.h"

#include <cstddef>
#include <memory>
#include <random>
#include <vector>

namespace wagtailhead {

enum class Distance : std::uint8_t {
    SameZone,
    SameRegion,
    OtherRegion,
};

/// A node as the sender knows it.
struct PlacementCandidate {
    Distance distance_ = Distance::SameZone;
    double load_ = 0; ///< Requests running and waiting there, with what has been sent since its last report.
    double slots_ = 1; ///< Requests that its backend server runs at once.
    double capacity_ = 1; ///< Slots that the backend server states.
    Duration serviceTime_ {}; ///< Mean time of its backend server over all requests; 0 if not known.
    Duration loadAge_ {}; ///< Since its last report.
    double slowness_
        = 1; ///< Time that it takes for a request over the time that the service takes on average.
    double failureShare_ = 0; ///< Of recent requests.
    double level_ = 0; ///< Shedding level.
    bool avoided_ = false; ///< Out of reach, or it has refused requests without cause.
};

/// A request as far as its place depends on it.
struct PlacementWork {
    Duration goal_ = seconds(1); ///< Latency objective.
    Duration cost_ {}; ///< Time that a backend server of mean speed is expected to take; 0 if not known.
    std::size_t bytes_ = 0; ///< Of request and response together.
};

/// Chooses one of several nodes. Not thread safe.
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    /// Returns the place of the chosen candidate. Precondition: there is at least one.
    virtual auto choose(const std::vector<PlacementCandidate>& candidates, const PlacementWork& work)
        -> std::size_t = 0;
};

/// Scores all candidates by the share of slots in use, the mean time against the objective, and fixed
/// penalties for other zones and regions.
class LoadPlacement final : public PlacementPolicy {
public:
    explicit LoadPlacement(std::uint64_t seed)
        : random_(seed)
    {
    }

    auto choose(const std::vector<PlacementCandidate>& candidates, const PlacementWork& work)
        -> std::size_t override;

private:
    std::mt19937_64 random_;
};

/// Compares a few candidates, drawn at random from each distance, by the time in which they are expected to
/// complete the request, and by the bytes that go to another zone or region. Few are compared, so that
/// senders with reports of the same age do not all choose the same node.
class CompletionPlacement final : public PlacementPolicy {
public:
    explicit CompletionPlacement(std::uint64_t seed)
        : random_(seed)
    {
    }

    auto choose(const std::vector<PlacementCandidate>& candidates, const PlacementWork& work)
        -> std::size_t override;

private:
    auto score(const PlacementCandidate& candidate, const PlacementWork& work) -> double;

    std::mt19937_64 random_;
};

/// Returns the time in which a candidate is expected to complete a request, without the way there. Thread
/// safe.
auto expectedCompletion(const PlacementCandidate& candidate, const PlacementWork& work) -> Duration;

} // namespace wagtailhead
