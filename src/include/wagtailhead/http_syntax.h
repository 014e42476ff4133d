/// The syntax of HTTP/1.1 messages (RFC 9110, RFC 9112) where the parsers in use are lenient.
#pragma once

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <strings.h>

namespace wagtailhead {

namespace detail {

constexpr auto fieldNameBytes = [] {
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    std::array<bool, 256> bytes {};
    for (unsigned char byte = '!'; byte < 0x7f; ++byte) {
        bytes[byte] = separators.find(static_cast<char>(byte)) == std::string_view::npos;
    }
    return bytes;
}();

} // namespace detail

/// Returns whether a byte may stand in the name of a header field. Thread safe.
constexpr auto isFieldNameByte(char byte) -> bool
{
    return detail::fieldNameBytes[static_cast<unsigned char>(byte)];
}

/// Returns whether a byte may stand in the value of a header field: any but control bytes other than the tab.
/// Thread safe.
constexpr auto isFieldValueByte(char byte) -> bool
{
    const auto value = static_cast<unsigned char>(byte);
    return (value >= ' ' && value != 0x7f) || value == '\t';
}

/// Returns whether a text is the name of a header field. Thread safe.
constexpr auto isFieldName(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isFieldNameByte);
}

/// Returns whether a text can be the value of a header field. Thread safe.
constexpr auto isFieldValue(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), isFieldValueByte);
}

/// Returns whether a response with this status is the final one. Thread safe.
constexpr auto isFinalStatus(int status) -> bool
{
    return status >= 200 && status < 600;
}

/// Returns whether a response with this status precedes the final one. Not 101 (Switching Protocols): no
/// request asks for another protocol. Thread safe.
constexpr auto isInterimStatus(int status) -> bool
{
    return status >= 100 && status < 200 && status != 101;
}

/// Returns whether a response with this status has no body, whatever its fields say. Thread safe.
constexpr auto isBodilessStatus(int status) -> bool
{
    return (status >= 100 && status < 200) || status == 204 || status == 304;
}

/// Returns whether the value of Content-Length is a number that fits into 63 bits. Thread safe.
inline auto isBodyLength(std::string_view text) -> bool
{
    std::int64_t length = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, length);
    return result.ec == std::errc {} && result.ptr == end && text.front() != '-';
}

/// Returns whether the value of Transfer-Encoding names the chunked coding alone. A body in another coding
/// cannot be passed on: it would have to be decoded, or be announced to a receiver that has not asked for it.
/// Thread safe.
inline auto isChunkedCoding(std::string_view codings) -> bool
{
    constexpr std::string_view chunked = "chunked";
    constexpr std::string_view blanks = " \t";
    codings.remove_prefix(std::min(codings.find_first_not_of(blanks), codings.size()));
    codings = codings.substr(0, codings.find_last_not_of(blanks) + 1);
    return codings.size() == chunked.size()
        && strncasecmp(codings.data(), chunked.data(), chunked.size()) == 0;
}

} // namespace wagtailhead
