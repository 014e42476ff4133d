/// From whom a node takes a newer configuration.
#pragma once

#include "wagtailhead/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace wagtailhead {

/// How near another node is.
enum class Proximity : std::uint8_t {
    Zone,
    Region,
    Elsewhere,
};

/// Remembers which nodes have said that they have a newer configuration, and picks one at a time to ask. Near
/// nodes are asked at once; farther ones only when no nearer one has it after a while, since the
/// configuration may be large and the way to another region is narrow. Not thread safe.
class NewerVersions {
public:
    /// A node has said which version it has. Versions up to `own` are of no interest.
    auto onVersion(const std::string& node, Proximity proximity, std::uint64_t version, std::uint64_t own,
        TimePoint now) -> void;

    /// This node has adopted a version.
    auto onAdopted(std::uint64_t version) -> void;

    /// Returns the node to ask now, or nothing while an answer is awaited or no node is near enough.
    auto takeNext(TimePoint now) -> std::optional<std::string>;

private:
    struct Holder {
        Proximity proximity_ = Proximity::Elsewhere;
        std::uint64_t version_ = 0;
    };

    std::map<std::string, Holder> holders_; ///< By node.
    TimePoint behindSince_; ///< Valid unless holders_ is empty.
    TimePoint nextQuestion_;
};

} // namespace wagtailhead
