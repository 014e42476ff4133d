/// MessagePack form of gossip messages: an array of version, kind, sender and a map of the fields in use.
#include "membership_core.h"

#include <arpa/inet.h>
#include <array>
#include <msgpack.hpp>
#include <stdexcept>

namespace wagtailhead {

namespace {

constexpr int gossipVersion = 1;

/// Deepest nesting of a message: message, fields, records, record, address.
constexpr std::size_t maxDepth = 8;

/// Keys of the optional fields. Numbers are part of the protocol and never change their meaning.
enum class Field : std::uint8_t {
    Target = 1,
    ProbeAddress = 2,
    ProbeZone = 3,
    Reached = 4,
    Members = 5,
    Statuses = 6,
    Items = 7,
    ItemVersions = 8,
    WantedItems = 9,
    WantedMembers = 10,
    Digest = 11,
    Differing = 12,
    MemberSummary = 13,
    ItemSummary = 14,
    More = 15,
};

using Packer = msgpack::packer<msgpack::sbuffer>;

auto pack(Packer& packer, const std::string& text) -> void
{
    packer.pack(text);
}

auto pack(Packer& packer, std::uint64_t number) -> void
{
    packer.pack(number);
}

auto pack(Packer& packer, const NodeRef& ref) -> void
{
    packer.pack_array(2);
    packer.pack(ref.id_);
    packer.pack(ref.incarnation_);
}

/// Addresses travel as two numbers; a text that is no IPv4 address becomes 0.0.0.0.
auto pack(Packer& packer, const Address& address) -> void
{
    in_addr parsed {};
    inet_pton(AF_INET, address.ip_.c_str(), &parsed);
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(ntohl(parsed.s_addr)));
    packer.pack(address.port_);
}

auto pack(Packer& packer, const MemberRecord& record) -> void
{
    const auto& member = record.member_;
    packer.pack_array(13);
    pack(packer, member.ref_);
    packer.pack(member.zone_);
    packer.pack(member.region_);
    packer.pack(member.service_);
    pack(packer, member.http_);
    pack(packer, member.peer_);
    pack(packer, member.gossip_);
    packer.pack(static_cast<std::uint8_t>(member.state_));
    packer.pack(member.sequence_);
    packer.pack(member.backendUp_);
    packer.pack(member.slots_);
    packer.pack(member.readySinceMs_);
    packer.pack(record.departed_);
}

auto pack(Packer& packer, const MemberStatus& status) -> void
{
    packer.pack_array(3);
    pack(packer, status.ref_);
    packer.pack(status.sequence_);
    packer.pack(static_cast<std::uint8_t>(status.state_));
}

auto pack(Packer& packer, const VersionedItem& item) -> void
{
    packer.pack_array(3);
    packer.pack(item.key_);
    packer.pack(item.generation_);
    packer.pack(item.value_);
}

auto pack(Packer& packer, const ItemVersion& itemVersion) -> void
{
    packer.pack_array(2);
    packer.pack(itemVersion.key_);
    packer.pack(itemVersion.generation_);
}

/// Calls `visit(field, value, used)` for each optional field, in the order of the numbers.
template <typename Message, typename Visit> auto forEachField(Message& message, Visit visit) -> void
{
    visit(Field::Target, message.target_, !message.target_.id_.empty());
    visit(Field::ProbeAddress, message.probeAddress_, message.probeAddress_.port_ != 0);
    visit(Field::ProbeZone, message.probeZone_, !message.probeZone_.empty());
    visit(Field::Reached, message.reached_, message.reached_);
    visit(Field::Members, message.members_, !message.members_.empty());
    visit(Field::Statuses, message.statuses_, !message.statuses_.empty());
    visit(Field::Items, message.items_, !message.items_.empty());
    visit(Field::ItemVersions, message.itemVersions_, !message.itemVersions_.empty());
    visit(Field::WantedItems, message.wantedItems_, !message.wantedItems_.empty());
    visit(Field::WantedMembers, message.wantedMembers_, !message.wantedMembers_.empty());
    visit(Field::Digest, message.digest_, !message.digest_.empty());
    visit(Field::Differing, message.differing_, !message.differing_.empty());
    visit(Field::MemberSummary, message.memberSummary_, !message.memberSummary_.empty());
    visit(Field::ItemSummary, message.itemSummary_, !message.itemSummary_.empty());
    visit(Field::More, message.more_, message.more_);
}

struct FieldWriter {
    Packer& packer_;

    template <typename T> auto operator()(Field field, const T& value, bool used) const -> void
    {
        if (used) {
            packer_.pack(static_cast<std::uint8_t>(field));
            write(value);
        }
    }

    template <typename T> auto write(const std::vector<T>& values) const -> void
    {
        packer_.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const auto& value : values) {
            write(value);
        }
    }
    auto write(bool value) const -> void
    {
        packer_.pack(value);
    }
    template <typename T> auto write(const T& value) const -> void
    {
        pack(packer_, value);
    }
};

/// Thrown inside the decoder only; msgpack's own type errors share its base.
struct MalformedMessage : msgpack::type_error { };

auto elements(const msgpack::object& object, std::size_t least) -> const msgpack::object*
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size < least) {
        throw MalformedMessage();
    }
    return object.via.array.ptr;
}

auto read(const msgpack::object& object, std::string& text) -> void
{
    text = object.as<std::string>();
}

auto read(const msgpack::object& object, std::uint64_t& number) -> void
{
    number = object.as<std::uint64_t>();
}

auto read(const msgpack::object& object, bool& value) -> void
{
    value = object.as<bool>();
}

auto read(const msgpack::object& object, NodeRef& ref) -> void
{
    const auto* parts = elements(object, 2);
    ref = { parts[0].as<std::string>(), parts[1].as<std::uint64_t>() };
}

auto read(const msgpack::object& object, Address& address) -> void
{
    const auto* parts = elements(object, 2);
    const in_addr ip { htonl(parts[0].as<std::uint32_t>()) };
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &ip, text.data(), text.size());
    address = { text.data(), parts[1].as<std::uint16_t>() };
}

auto readState(const msgpack::object& object) -> MemberState
{
    const auto number = object.as<std::uint8_t>();
    if (number > static_cast<std::uint8_t>(MemberState::Dead)) {
        throw MalformedMessage();
    }
    return static_cast<MemberState>(number);
}

auto read(const msgpack::object& object, MemberRecord& record) -> void
{
    const auto* parts = elements(object, 13);
    auto& member = record.member_;
    read(parts[0], member.ref_);
    read(parts[1], member.zone_);
    read(parts[2], member.region_);
    read(parts[3], member.service_);
    read(parts[4], member.http_);
    read(parts[5], member.peer_);
    read(parts[6], member.gossip_);
    member.state_ = readState(parts[7]);
    member.sequence_ = parts[8].as<std::uint64_t>();
    member.backendUp_ = parts[9].as<bool>();
    member.slots_ = parts[10].as<int>();
    member.readySinceMs_ = parts[11].as<std::uint64_t>();
    record.departed_ = parts[12].as<bool>();
    if (member.ref_.id_.empty()) {
        throw MalformedMessage();
    }
}

auto read(const msgpack::object& object, MemberStatus& status) -> void
{
    const auto* parts = elements(object, 3);
    read(parts[0], status.ref_);
    status.sequence_ = parts[1].as<std::uint64_t>();
    status.state_ = readState(parts[2]);
}

auto read(const msgpack::object& object, VersionedItem& item) -> void
{
    const auto* parts = elements(object, 3);
    item = { parts[0].as<std::string>(), parts[1].as<std::uint64_t>(), parts[2].as<std::string>() };
}

auto read(const msgpack::object& object, ItemVersion& itemVersion) -> void
{
    const auto* parts = elements(object, 2);
    itemVersion = { parts[0].as<std::string>(), parts[1].as<std::uint64_t>() };
}

template <typename T> auto read(const msgpack::object& object, std::vector<T>& values) -> void
{
    const auto* parts = elements(object, 0);
    values.resize(object.via.array.size);
    for (std::size_t i = 0; i < values.size(); ++i) {
        read(parts[i], values[i]);
    }
}

auto readMessage(const msgpack::object& object) -> GossipMessage
{
    const auto* parts = elements(object, 4);
    const auto kind = parts[1].as<std::uint8_t>();
    if (parts[0].as<int>() != gossipVersion || kind > static_cast<std::uint8_t>(GossipKind::Reply)
        || parts[3].type != msgpack::type::MAP) {
        throw MalformedMessage();
    }
    GossipMessage message;
    message.kind_ = static_cast<GossipKind>(kind);
    read(parts[2], message.sender_);
    for (std::uint32_t i = 0; i < parts[3].via.map.size; ++i) {
        const auto& pair = parts[3].via.map.ptr[i];
        const auto number = pair.key.as<std::uint8_t>();
        forEachField(message, [&](Field field, auto& target, bool) {
            if (static_cast<std::uint8_t>(field) == number) {
                read(pair.val, target);
            }
        });
    }
    return message;
}

/// Bytes of numbers and framing: an incarnation and a Unix time take nine bytes each, an address eight.
constexpr std::size_t recordOverhead = 60;
constexpr std::size_t statusOverhead = 17;
constexpr std::size_t itemOverhead = 11;
constexpr std::size_t itemVersionOverhead = 7;
constexpr std::size_t messageOverhead = 24;

template <typename T> auto sumOf(const std::vector<T>& values) -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto& value : values) {
        bytes += estimateBytes(value);
    }
    return bytes;
}

} // namespace

auto estimateBytes(const MemberRecord& record) -> std::size_t
{
    const auto& member = record.member_;
    return recordOverhead + member.ref_.id_.size() + member.zone_.size() + member.region_.size()
        + member.service_.size();
}

auto estimateBytes(const MemberStatus& status) -> std::size_t
{
    return statusOverhead + status.ref_.id_.size();
}

auto estimateBytes(const VersionedItem& item) -> std::size_t
{
    return itemOverhead + item.key_.size() + item.value_.size();
}

auto estimateBytes(const ItemVersion& itemVersion) -> std::size_t
{
    return itemVersionOverhead + itemVersion.key_.size();
}

auto estimateBytes(const GossipMessage& message) -> std::size_t
{
    auto bytes = messageOverhead + estimateBytes(message.sender_) + message.target_.id_.size()
        + sumOf(message.members_) + sumOf(message.statuses_) + sumOf(message.items_)
        + sumOf(message.itemVersions_);
    for (const auto& key : message.wantedItems_) {
        bytes += key.size() + 2;
    }
    return bytes;
}

auto encodeGossip(const GossipMessage& message) -> std::string
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(4);
    packer.pack(gossipVersion);
    packer.pack(static_cast<std::uint8_t>(message.kind_));
    pack(packer, message.sender_);
    std::uint32_t fields = 0;
    forEachField(message, [&](Field, const auto&, bool used) {
        fields += used ? 1 : 0;
    });
    packer.pack_map(fields);
    forEachField(message, FieldWriter { packer });
    return { buffer.data(), buffer.size() };
}

auto decodeGossip(std::string_view bytes) -> Result<GossipMessage>
{
    try {
        // No array, map or text can have more elements than the message has bytes, whatever it claims.
        const msgpack::unpack_limit limit(
            bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size(), maxDepth);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        return readMessage(handle.get());
    } catch (const std::exception& error) {
        return Error { ErrorCode::InvalidArgument,
            "gossip message of " + std::to_string(bytes.size()) + " bytes is malformed: " + error.what() };
    }
}

} // namespace wagtailhead
