#include "membership_core.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto fullMessage() -> GossipMessage
{
    GossipMessage message;
    message.kind_ = GossipKind::SyncDelta;
    auto& member = message.sender_.member_;
    member.ref_ = { "node-17", 1'700'000'000'000'000 };
    member.zone_ = "kurzeme-a";
    member.region_ = "kurzeme";
    member.service_ = "katalogs";
    member.http_ = { "10.1.2.3", 80 };
    member.peer_ = { "10.1.2.3", 7002 };
    member.gossip_ = { "255.255.255.255", 65535 };
    member.state_ = MemberState::Leaving;
    member.sequence_ = 300;
    member.backendUp_ = true;
    member.slots_ = 130;
    member.readySinceMs_ = 1'700'000'000'000;
    message.sender_.departed_ = true;
    message.target_ = { "node-1", 5 };
    message.probeAddress_ = { "10.9.8.7", 1 };
    message.probeZone_ = "riga-a";
    message.reached_ = true;
    message.members_ = { message.sender_, message.sender_ };
    message.statuses_ = { { { "node-2", 7 }, 8, MemberState::Dead } };
    message.items_ = { { "config/classes", 4, std::string("a\0b", 3) } };
    message.itemVersions_ = { { "shards/orders/g/1", 9 } };
    message.wantedItems_ = { "config/links" };
    message.wantedMembers_ = { "node-3" };
    message.digest_ = { 0, UINT64_MAX };
    message.differing_ = { 63 };
    message.memberSummary_ = { { { "node-4", 1 }, 2, MemberState::Suspect } };
    message.itemSummary_ = { { "k", 1 } };
    message.more_ = true;
    return message;
}

} // namespace

/// Guards against a field that is left out of either direction of the codec.
Test(gossip_codec, every_field_survives_the_round_trip)
{
    const auto message = fullMessage();
    const auto decoded = decodeGossip(encodeGossip(message));
    cr_assert(isOk(decoded));
    cr_assert(valueOf(decoded) == message);
}

/// Guards against crashes and huge allocations on truncated, altered or hostile input.
Test(gossip_codec, malformed_input_is_an_error_or_another_message)
{
    const auto bytes = encodeGossip(fullMessage());
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        cr_assert(!isOk(decodeGossip(std::string_view(bytes).substr(0, length))), "length %zu", length);
    }
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        for (const int flip : { 0x01, 0x10, 0x80, 0xff }) {
            auto altered = bytes;
            altered[i] = static_cast<char>(altered[i] ^ flip);
            (void)decodeGossip(altered);
        }
    }
    cr_assert(!isOk(decodeGossip(std::string("\xdd\xff\xff\xff\xff", 5))));
}

/// Guards against estimates that let messages grow beyond the byte budget.
Test(gossip_codec, estimate_is_close_to_the_encoded_size)
{
    GossipMessage message;
    message.sender_ = fullMessage().sender_;
    message.members_ = { message.sender_, message.sender_ };
    message.statuses_ = { { { "node-2", 1'700'000'000'000'000 }, 8, MemberState::Dead } };
    message.items_ = { { "config/classes", 4, "value" } };
    message.itemVersions_ = { { "shards/orders/g/1", 9 } };
    const auto exact = encodeGossip(message).size();
    const auto estimate = estimateBytes(message);
    cr_assert(estimate >= exact && estimate <= exact + 60, "estimate %zu, exact %zu", estimate, exact);
}
