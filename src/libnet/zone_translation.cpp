#include "wagtailhead/peer_transport.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace wagtailhead {

namespace {

constexpr int addressBits = 32;

auto networkMask(int bits) -> std::uint32_t
{
    return bits == 0 ? 0 : ~std::uint32_t { 0 } << (addressBits - bits);
}

auto parseIp(const std::string& text, std::uint32_t& ip) -> bool
{
    in_addr parsed {};
    if (inet_pton(AF_INET, text.c_str(), &parsed) != 1) {
        return false;
    }
    ip = ntohl(parsed.s_addr);
    return true;
}

auto formatIp(std::uint32_t ip) -> std::string
{
    const in_addr address { htonl(ip) };
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &address, text.data(), text.size());
    return text.data();
}

} // namespace

auto parseZoneTranslation(std::string_view text) -> Result<ZoneTranslation>
{
    const Error failure { ErrorCode::InvalidArgument,
        "zone translation '" + std::string(text)
            + "' is not of the form ZONE=a.b.c.d/bits with bits from 0 to 32" };
    const auto equals = text.find('=');
    const auto slash = text.rfind('/');
    if (equals == std::string_view::npos || equals == 0 || slash == std::string_view::npos
        || slash < equals) {
        return failure;
    }
    ZoneTranslation translation;
    translation.zone_ = text.substr(0, equals);
    const auto bits = text.substr(slash + 1);
    const auto [end, code] = std::from_chars(bits.data(), bits.data() + bits.size(), translation.bits_);
    if (code != std::errc() || end != bits.data() + bits.size() || translation.bits_ < 0
        || translation.bits_ > addressBits) {
        return failure;
    }
    if (!parseIp(std::string(text.substr(equals + 1, slash - equals - 1)), translation.prefix_)) {
        return failure;
    }
    return translation;
}

auto translateAddress(
    const Address& announced, const std::string& zone, const std::vector<ZoneTranslation>& table) -> Address
{
    for (const auto& entry : table) {
        std::uint32_t ip = 0;
        if (entry.zone_ == zone && parseIp(announced.ip_, ip)) {
            const auto mask = networkMask(entry.bits_);
            return { formatIp((entry.prefix_ & mask) | (ip & ~mask)), announced.port_ };
        }
    }
    return announced;
}

} // namespace wagtailhead
