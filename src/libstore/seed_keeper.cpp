#include "seed_keeper.h"

#include "wagtailhead/ids.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace wagtailhead {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view seedsPrefix = "seeds/";

/// The list is renewed when fewer of its addresses than this are in use (or all of a smaller zone).
constexpr std::size_t leastLiveSeeds = 3;

auto leaseVersionOf(const std::string& value) -> StoreVersion
{
    const auto json = Json::parse(value, nullptr, false);
    const bool named
        = json.is_object() && json.contains("leaseVersion") && json["leaseVersion"].is_number_unsigned();
    return named ? json["leaseVersion"].get<StoreVersion>() : 0;
}

auto seedsText(const std::string& lease, StoreVersion version, const std::vector<Address>& addresses)
    -> std::string
{
    Json json { { "lease", lease }, { "leaseVersion", version }, { "addresses", Json::array() } };
    for (const auto& address : addresses) {
        json["addresses"].push_back(address.text());
    }
    return json.dump();
}

} // namespace

auto parseSeeds(const StoreObject& object) -> std::vector<SeedAddress>
{
    const auto json = Json::parse(object.value_, nullptr, false);
    std::vector<SeedAddress> seeds;
    if (!object.key_.starts_with(seedsPrefix) || !json.is_object() || !json.contains("addresses")) {
        return seeds;
    }
    for (const auto& entry : json["addresses"]) {
        auto address = entry.is_string() ? parseAddress(entry.get<std::string>())
                                         : Error { ErrorCode::InvalidArgument, "no text" };
        if (isOk(address)) {
            seeds.push_back({ valueOf(address), object.key_.substr(seedsPrefix.size()) });
        }
    }
    return seeds;
}

SeedKeeper::SeedKeeper(const StoreAgentOptions& options, const MemberTable& members, std::uint64_t seed)
    : options_(options)
    , members_(members)
    , random_(seed)
    , writePause_(options.retryMin_, options.retryMax_)
    , searchPause_(options.retryMin_, options.retryMax_)
{
}

auto SeedKeeper::ownKey() const -> std::string
{
    return std::string(seedsPrefix) + options_.zone_;
}

/// Returns the addresses of the nodes with the lowest rendezvous ranks, so that the choice is stable.
auto SeedKeeper::desired(const MemberList& list) const -> std::vector<Address>
{
    std::vector<std::pair<std::uint64_t, Address>> ranked;
    for (const auto& [id, member] : list.members_) {
        if (member.zone_ == options_.zone_ && member.state_ == MemberState::Alive) {
            ranked.emplace_back(stableHash(ownKey() + "|" + id), member.gossip_);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), options_.seedCount_));
    std::vector<Address> addresses;
    for (auto& [score, address] : ranked) {
        addresses.push_back(std::move(address));
    }
    return addresses;
}

auto SeedKeeper::isOutdated(const MemberList& list) const -> bool
{
    const auto listed = parseSeeds(current_);
    const auto wanted = desired(list).size();
    const auto isInUse = [&](const SeedAddress& seed) {
        return std::any_of(list.members_.begin(), list.members_.end(), [&](const auto& item) {
            const auto& member = item.second;
            return member.gossip_ == seed.address_ && member.zone_ == options_.zone_
                && member.state_ == MemberState::Alive;
        });
    };
    const auto inUse = static_cast<std::size_t>(std::count_if(listed.begin(), listed.end(), isInUse));
    return inUse < std::min(leastLiveSeeds, wanted) || listed.size() < wanted;
}

auto SeedKeeper::tickWrite(TimePoint now, Lease* lease) -> std::optional<StoreCommand>
{
    if (writing_ || !lease || !lease->isHeld(now) || now < nextCheck_) {
        return std::nullopt;
    }
    const auto list = members_.snapshot();
    const auto version = lease->fencingVersion();
    if (claimed_ == version && !isOutdated(*list)) {
        nextCheck_ = now + options_.seedCheckInterval_;
        return std::nullopt;
    }
    if (leaseVersionOf(current_.value_) > version && lease->confirmedAt() <= currentSeenAt_) {
        // Either a later holder wrote it, or the store was rolled back after it was written.
        lease->verify(now);
        nextCheck_ = now + options_.retryMin_;
        return std::nullopt;
    }
    writing_ = true;
    sentClaim_ = version;
    sentValue_ = seedsText(lease->options().key_, version, desired(*list));
    StoreCommand command;
    command.verb_ = current_.version_ == 0 ? StoreCommand::Verb::Create : StoreCommand::Verb::Replace;
    command.key_ = ownKey();
    command.version_ = current_.version_;
    command.value_ = sentValue_;
    return command;
}

auto SeedKeeper::onWritten(TimePoint now, const StoreAnswer& answer) -> void
{
    writing_ = false;
    if (const auto* version = std::get_if<StoreVersion>(&answer)) {
        ++written_;
        current_ = { ownKey(), *version, sentValue_ };
        currentSeenAt_ = now;
        claimed_ = sentClaim_;
        writePause_.reset();
        nextCheck_ = now + options_.seedCheckInterval_;
        return;
    }
    const auto* failure = std::get_if<StoreFailure>(&answer);
    if (failure && failure->error_.code_ == ErrorCode::Conflict) {
        current_ = failure->current_.value_or(StoreObject { ownKey(), 0, {} });
        currentSeenAt_ = now;
    }
    nextCheck_ = now + writePause_.next(random_);
}

auto SeedKeeper::tickSearch(TimePoint now) -> std::optional<StoreCommand>
{
    const auto list = members_.snapshot();
    const bool alone = std::none_of(list->members_.begin(), list->members_.end(), [&](const auto& item) {
        return item.first != options_.self_.id_ && item.second.state_ != MemberState::Dead;
    });
    if (!alone) {
        searchPause_.reset();
        return std::nullopt;
    }
    if (searching_ || now < nextSearch_) {
        return std::nullopt;
    }
    searching_ = true;
    StoreCommand command;
    command.verb_ = StoreCommand::Verb::List;
    command.key_ = seedsPrefix;
    return command;
}

auto SeedKeeper::onFound(TimePoint now, const StoreAnswer& answer) -> void
{
    searching_ = false;
    nextSearch_ = now + searchPause_.next(random_);
    if (const auto* listing = std::get_if<StoreListing>(&answer)) {
        onListing(now, *listing);
    }
}

auto SeedKeeper::onListing(TimePoint now, const StoreListing& listing) -> void
{
    for (const auto& object : listing.objects_) {
        if (object.key_ == ownKey()) {
            current_ = object;
            currentSeenAt_ = now;
        }
        const auto seeds = parseSeeds(object);
        found_.insert(found_.end(), seeds.begin(), seeds.end());
    }
    if (std::find(listing.deleted_.begin(), listing.deleted_.end(), ownKey()) != listing.deleted_.end()) {
        current_ = { ownKey(), 0, {} };
        currentSeenAt_ = now;
    }
}

auto SeedKeeper::takeSeeds() -> std::vector<SeedAddress>
{
    return std::exchange(found_, {});
}

} // namespace wagtailhead
