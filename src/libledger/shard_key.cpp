#include "wagtailhead/shard_map.h"

#include <charconv>

namespace wagtailhead {

namespace {

/// Keeps the shard number independent of other uses of the same hash.
constexpr std::uint64_t shardHashSeed = 0x7368617264;

auto numbered(const std::string& prefix, std::string_view key, std::uint64_t count) -> std::string
{
    return prefix + std::to_string(stableHash(key, shardHashSeed) % count);
}

auto isZone(const Topology& topology, const std::string& name) -> bool
{
    for (const auto& [region, zones] : topology) {
        if (zones.contains(name)) {
            return true;
        }
    }
    return false;
}

auto countOf(ShardScope scope) -> std::uint64_t
{
    switch (scope) {
    case ShardScope::Global:
        return globalShardCount;
    case ShardScope::Region:
        return regionShardCount;
    case ShardScope::Zone:
        return zoneShardCount;
    }
    return 0;
}

auto malformed(std::string_view text) -> Error
{
    return { ErrorCode::InvalidArgument,
        "shard '" + std::string(text) + "' is not g/<n>, r/<region>/<n> or z/<zone>/<n> with n below "
            + std::to_string(globalShardCount) + ", " + std::to_string(regionShardCount) + ", "
            + std::to_string(zoneShardCount) };
}

} // namespace

auto shardOfKey(std::string_view key, const Topology& topology) -> std::string
{
    const auto colon = key.find(':');
    if (colon != std::string_view::npos) {
        const std::string place(key.substr(0, colon));
        if (topology.contains(place)) {
            return numbered("r/" + place + "/", key, regionShardCount);
        }
        if (isZone(topology, place)) {
            return numbered("z/" + place + "/", key, zoneShardCount);
        }
    }
    return numbered("g/", key, globalShardCount);
}

auto allShards(const Topology& topology) -> std::vector<std::string>
{
    std::vector<std::string> names;
    const auto add = [&names](const std::string& prefix, std::uint64_t count) {
        for (std::uint64_t number = 0; number < count; ++number) {
            names.push_back(prefix + std::to_string(number));
        }
    };
    add("g/", globalShardCount);
    for (const auto& [region, zones] : topology) {
        add("r/" + region + "/", regionShardCount);
        for (const auto& zone : zones) {
            if (!topology.contains(zone)) {
                add("z/" + zone + "/", zoneShardCount);
            }
        }
    }
    return names;
}

auto parseShardName(std::string_view text) -> Result<ShardName>
{
    const auto last = text.rfind('/');
    if (text.size() < 3 || text[1] != '/' || last == std::string_view::npos) {
        return malformed(text);
    }
    ShardName name;
    switch (text[0]) {
    case 'g':
        name.scope_ = ShardScope::Global;
        break;
    case 'r':
        name.scope_ = ShardScope::Region;
        break;
    case 'z':
        name.scope_ = ShardScope::Zone;
        break;
    default:
        return malformed(text);
    }
    if (last > 1) {
        name.place_ = std::string(text.substr(2, last - 2));
    }
    const auto digits = text.substr(last + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), name.number_);
    const auto leadingZero = digits.size() > 1 && digits.front() == '0';
    const auto hasPlace = !name.place_.empty() && name.place_.find('/') == std::string::npos;
    if (digits.empty() || error != std::errc() || end != digits.data() + digits.size() || leadingZero
        || name.number_ >= countOf(name.scope_) || hasPlace == (name.scope_ == ShardScope::Global)
        || (name.scope_ == ShardScope::Global && last != 1)) {
        return malformed(text);
    }
    return name;
}

} // namespace wagtailhead
