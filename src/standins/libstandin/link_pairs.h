/// The state of the link stand-in between each two zones.
#pragma once

#include "byte_rate.h"
#include "link_routes.h"
#include "wagtailhead/clock.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace wagtailhead::standin {

/// The bytes that flow from one region to another.
struct RegionLink {
    ByteRate rate_ { 0 };
    std::uint64_t bytes_ = 0;
};

/// One direction between two zones: the bytes that flow from `from` to `to` on all connections, and the
/// connections that `from` opens to `to`.
struct ZonePair {
    std::string from_;
    std::string to_;
    microseconds delay_ { 0 }; ///< One way.
    bool cut_ = false; ///< Connections are refused.
    bool silent_ = false; ///< New connections are accepted, but pass nothing.
    std::uint64_t bytes_ = 0;
    std::uint64_t opened_ = 0; ///< Connections since the start.
    std::int64_t open_ = 0; ///< Connections now.
    RegionLink* region_ = nullptr;
};

struct LinkDefaults {
    microseconds zoneDelay_ { 0 }; ///< Between zones of a region.
    microseconds regionDelay_ { 0 }; ///< Between regions.
    std::uint64_t regionBytesPerSecond_ = 0; ///< 0 for no limit.
};

/// What a test asks for a pair.
struct PairChange {
    std::string from_;
    std::string to_;
    bool both_ = false; ///< Applies to the opposite direction as well.
    std::optional<microseconds> delay_;
    std::optional<std::uint64_t> bytesPerSecond_; ///< For the pair of regions.
    std::optional<bool> cut_;
    std::optional<bool> silentNew_;
    bool silenceExisting_ = false;
};

/// Parses `{"from","to","both","delayUs","bytesPerSecond","cut","silent"}`; all but the zones may be
/// absent. A zone "*" stands for every zone. `silent` is "none", "existing" or "all".
auto parsePairChange(std::string_view text) -> Result<PairChange>;

/// All pairs that the routes name, in both directions. Pairs and region links keep their addresses.
/// Not thread safe.
class LinkPairs {
public:
    LinkPairs(const LinkRoutes& routes, const LinkDefaults& defaults);
    LinkPairs(const LinkPairs&) = delete;
    auto operator=(const LinkPairs&) -> LinkPairs& = delete;

    /// Returns the pair. Precondition: a route joins these zones in one direction or the other.
    auto at(const std::string& from, const std::string& to) -> ZonePair&;

    /// Returns the pairs that a change concerns; empty if no pair matches.
    auto matching(const PairChange& change) -> std::vector<ZonePair*>;

    /// Returns `{"pairs":[...],"regions":[...]}`.
    auto toJson() const -> nlohmann::json;

private:
    using Names = std::pair<std::string, std::string>;

    auto add(const LinkRoutes& routes, const LinkDefaults& defaults, const Names& zones) -> void;

    std::map<Names, ZonePair> pairs_;
    std::map<Names, RegionLink> regions_;
};

/// Applies everything but `silenceExisting_`, which concerns connections.
auto applyChange(const PairChange& change, ZonePair& pair) -> void;

} // namespace wagtailhead::standin
