/// The syntax of HTTP/1.1 messages (RFC 9110, RFC 9112) where the parsers in use are lenient.
#pragma once

#include <algorithm>
#include <array>
#include <string_view>

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

} // namespace wagtailhead
