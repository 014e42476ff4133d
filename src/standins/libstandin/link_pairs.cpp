#include "link_pairs.h"

#include "json_fields.h"

namespace wagtailhead::standin {

namespace {

constexpr auto maxDelay = std::chrono::seconds(60);
constexpr std::int64_t maxBytesPerSecond = 10'000'000'000;
constexpr std::string_view anyZone = "*";

auto matches(const std::string& wanted, const std::string& zone) -> bool
{
    return wanted == anyZone || wanted == zone;
}

} // namespace

auto parsePairChange(std::string_view text) -> Result<PairChange>
{
    PairChange change;
    JsonFields fields(text);
    std::int64_t delay = 0;
    std::int64_t rate = 0;
    bool cut = false;
    std::string silent = "none";
    fields.readText("from", change.from_);
    fields.readText("to", change.to_);
    fields.readFlag("both", change.both_);
    fields.readInteger("delayUs", delay, 0, microseconds(maxDelay).count());
    fields.readInteger("bytesPerSecond", rate, 0, maxBytesPerSecond);
    fields.readFlag("cut", cut);
    fields.readChoice("silent", silent, { "none", "existing", "all" });
    if (auto error = fields.error()) {
        return *error;
    }
    if (change.from_.empty() || change.to_.empty()) {
        return Error { ErrorCode::InvalidArgument, "fields 'from' and 'to' are required" };
    }
    if (fields.has("delayUs")) {
        change.delay_ = microseconds(delay);
    }
    if (fields.has("bytesPerSecond")) {
        change.bytesPerSecond_ = static_cast<std::uint64_t>(rate);
    }
    if (fields.has("cut")) {
        change.cut_ = cut;
    }
    if (fields.has("silent")) {
        change.silentNew_ = silent == "all";
        change.silenceExisting_ = silent != "none";
    }
    return change;
}

auto applyChange(const PairChange& change, ZonePair& pair) -> void
{
    pair.delay_ = change.delay_.value_or(pair.delay_);
    pair.cut_ = change.cut_.value_or(pair.cut_);
    pair.silent_ = change.silentNew_.value_or(pair.silent_);
    if (change.bytesPerSecond_) {
        pair.region_->rate_.setBytesPerSecond(*change.bytesPerSecond_);
    }
}

LinkPairs::LinkPairs(const LinkRoutes& routes, const LinkDefaults& defaults)
{
    for (const auto& route : routes.routes_) {
        add(routes, defaults, { route.from_, route.to_ });
        add(routes, defaults, { route.to_, route.from_ });
    }
}

auto LinkPairs::add(const LinkRoutes& routes, const LinkDefaults& defaults, const Names& zones) -> void
{
    const auto [entry, isNew] = pairs_.try_emplace(zones);
    if (!isNew) {
        return;
    }
    auto& pair = entry->second;
    pair.from_ = zones.first;
    pair.to_ = zones.second;
    const Names regions { routes.regionOf(zones.first), routes.regionOf(zones.second) };
    const bool isLocal = regions.first == regions.second;
    const auto [region, isNewRegion] = regions_.try_emplace(regions);
    if (isNewRegion && !isLocal) {
        region->second.rate_.setBytesPerSecond(defaults.regionBytesPerSecond_);
    }
    pair.region_ = &region->second;
    if (zones.first != zones.second) {
        pair.delay_ = isLocal ? defaults.zoneDelay_ : defaults.regionDelay_;
    }
}

auto LinkPairs::at(const std::string& from, const std::string& to) -> ZonePair&
{
    return pairs_.at({ from, to });
}

auto LinkPairs::matching(const PairChange& change) -> std::vector<ZonePair*>
{
    std::vector<ZonePair*> found;
    for (auto& [names, pair] : pairs_) {
        const bool forward = matches(change.from_, pair.from_) && matches(change.to_, pair.to_);
        const bool backward = matches(change.from_, pair.to_) && matches(change.to_, pair.from_);
        if (forward || (change.both_ && backward)) {
            found.push_back(&pair);
        }
    }
    return found;
}

auto LinkPairs::toJson() const -> nlohmann::json
{
    auto pairs = nlohmann::json::array();
    for (const auto& [names, pair] : pairs_) {
        pairs.push_back({ { "from", pair.from_ }, { "to", pair.to_ }, { "delayUs", pair.delay_.count() },
            { "cut", pair.cut_ }, { "silent", pair.silent_ ? "all" : "none" }, { "bytes", pair.bytes_ },
            { "opened", pair.opened_ }, { "open", pair.open_ } });
    }
    auto regions = nlohmann::json::array();
    for (const auto& [names, region] : regions_) {
        regions.push_back({ { "from", names.first }, { "to", names.second },
            { "bytesPerSecond", region.rate_.bytesPerSecond() }, { "bytes", region.bytes_ } });
    }
    return { { "pairs", std::move(pairs) }, { "regions", std::move(regions) } };
}

} // namespace wagtailhead::standin
