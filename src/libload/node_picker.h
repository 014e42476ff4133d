/// The node to which a caller sends an attempt.
#pragma once

#include "mesh_rows.h"
#include "scenario.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace wagtailhead::load {

/// Spreads callers evenly over zones, and over the nodes of each zone. Not thread safe.
class NodePicker {
public:
    /// Precondition: there is at least one node.
    NodePicker(const std::vector<MeshProcess>& nodes, std::uint64_t seed);

    /// Returns the position of a node for the first attempt of a request.
    auto first() -> std::size_t;

    /// Returns the position of the node for a repeat after an attempt through `previous`. It is `previous`
    /// if there is no other node of the wanted kind.
    auto repeat(std::size_t previous, RepeatThrough through) -> std::size_t;

    /// Returns the position of any node of a zone. Precondition: the zone has a node.
    auto inZone(const std::string& zone) -> std::size_t;

private:
    auto below(std::size_t count) -> std::size_t;
    auto otherInZone(std::size_t previous) -> std::size_t;

    std::vector<std::string> zoneOf_; ///< By node.
    std::vector<std::string> zones_;
    std::map<std::string, std::vector<std::size_t>> byZone_;
    std::mt19937_64 random_;
};

} // namespace wagtailhead::load
