#include "wagtailhead/node_settings.h"

#include <algorithm>
#include <cctype>
#include <random>

namespace wagtailhead {

namespace {

constexpr std::int64_t maxSlots = 100000;
constexpr std::int64_t maxWorkers = 64;
constexpr std::size_t maxNameLength = 64;

/// Collects the first error while settings are read one after the other.
class Reader {
public:
    explicit Reader(const Settings& settings)
        : settings_(settings)
    {
    }

    template <typename T> auto take(Result<T> result, T fallback = {}) -> T
    {
        if (isOk(result)) {
            return valueOf(std::move(result));
        }
        if (!error_) {
            error_ = errorOf(result);
        }
        return fallback;
    }

    /// Reads a required name of lower-case letters, digits and hyphens.
    auto name(std::string_view setting) -> std::string
    {
        auto text = take(settings_.text(setting));
        const bool valid
            = text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                  return std::islower(c) || std::isdigit(c) || c == '-';
              });
        if (!valid) {
            fail(setting, text, "up to 64 lower-case letters, digits and hyphens");
        }
        return text;
    }

    auto address(std::string_view setting) -> Address
    {
        const auto text = take(settings_.text(setting));
        return text.empty() ? Address {} : address(setting, text);
    }

    auto address(std::string_view setting, const std::string& text) -> Address
    {
        auto parsed = parseAddress(text);
        if (!isOk(parsed)) {
            fail(setting, text, "an address of the form a.b.c.d:port");
            return {};
        }
        return valueOf(parsed);
    }

    auto mechanism(std::string_view setting) -> Mechanism
    {
        const auto text = settings_.text(setting, "adaptive");
        const auto parsed = parseMechanism(text);
        if (!isOk(parsed)) {
            fail(setting, text, "adaptive or naive");
            return Mechanism::Adaptive;
        }
        return valueOf(parsed);
    }

    auto fail(std::string_view setting, const std::string& value, const std::string& allowed) -> void
    {
        if (!error_) {
            error_ = Error { ErrorCode::InvalidArgument,
                "setting --" + std::string(setting) + " has value '" + value + "', allowed is " + allowed };
        }
    }

    auto error() const -> const std::optional<Error>&
    {
        return error_;
    }

private:
    const Settings& settings_;
    std::optional<Error> error_;
};

auto startTime() -> Incarnation
{
    const auto sinceEpoch = WallClock::now().time_since_epoch();
    return static_cast<Incarnation>(std::chrono::duration_cast<microseconds>(sinceEpoch).count());
}

auto checkDistinct(Reader& reader, const NodeSettings& node) -> void
{
    std::vector<Address> all { node.listen_, node.subcallListen_, node.peerListen_, node.gossipListen_,
        node.backend_ };
    std::sort(all.begin(), all.end());
    const auto twice = std::adjacent_find(all.begin(), all.end());
    if (twice != all.end()) {
        reader.fail("listen", twice->text(), "an address that no other setting of the node uses");
    }
}

} // namespace

auto parseNodeSettings(const Settings& settings) -> Result<NodeSettings>
{
    Reader reader(settings);
    NodeSettings node;
    node.self_ = { reader.name("node-id"), startTime() };
    node.zone_ = reader.name("zone");
    node.region_ = reader.name("region");
    node.service_ = reader.name("service");
    node.listen_ = reader.address("listen");
    node.subcallListen_ = reader.address("subcall-listen");
    node.peerListen_ = reader.address("peer-listen");
    node.gossipListen_ = reader.address("gossip-listen");
    node.backend_ = reader.address("backend");
    node.store_ = reader.address("store");
    for (const auto& peer : settings.list("peers")) {
        node.peers_.push_back(reader.address("peers", peer));
    }
    for (const auto& entry : settings.list("zone-translate")) {
        node.translations_.push_back(reader.take(parseZoneTranslation(entry)));
    }
    node.slots_ = static_cast<int>(reader.take(settings.integer("slots", 0, 1, maxSlots)));
    if (!reader.error() && node.slots_ == 0) {
        reader.fail("slots", "", "an integer from 1 to 100000");
    }
    node.connections_ = static_cast<int>(reader.take(settings.integer("connections", 0, 0, maxSlots)));
    node.workers_ = static_cast<int>(reader.take(settings.integer("workers", 1, 1, maxWorkers)));
    node.seed_ = static_cast<std::uint64_t>(reader.take(settings.integer("seed", 0, 0, INT64_MAX)));
    if (node.seed_ == 0) {
        node.seed_ = std::random_device {}() ^ node.self_.incarnation_;
    }
    node.admission_ = reader.mechanism("admission");
    node.shedding_ = reader.mechanism("shedding");
    node.routing_ = reader.mechanism("routing");
    node.retries_ = reader.mechanism("retries");
    node.operatorTeams_ = reader.take(parseOperatorTeams(settings.text("operator-tokens", "")));
    if (!reader.error()) {
        checkDistinct(reader, node);
    }
    if (reader.error()) {
        return *reader.error();
    }
    return node;
}

auto memberOf(const NodeSettings& settings) -> Member
{
    Member member;
    member.ref_ = settings.self_;
    member.zone_ = settings.zone_;
    member.region_ = settings.region_;
    member.service_ = settings.service_;
    member.http_ = settings.listen_;
    member.peer_ = settings.peerListen_;
    member.gossip_ = settings.gossipListen_;
    member.slots_ = settings.slots_;
    return member;
}

} // namespace wagtailhead
