#include "wagtailhead/http.h"

#include <algorithm>
#include <array>

namespace wagtailhead {

namespace {

constexpr std::array<std::string_view, 11> hopHeaders { "connection", "content-length", "expect", "host",
    "keep-alive", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding",
    "upgrade" };

auto toLower(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

auto equalNames(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return toLower(a) == toLower(b);
    });
}

/// Returns the header names listed in a Connection header, which concern this hop only.
auto listedNames(std::string_view value) -> std::vector<std::string>
{
    std::vector<std::string> names;
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        auto token = value.substr(0, comma);
        value.remove_prefix(std::min(comma + 1, value.size()));
        token.remove_prefix(std::min(token.find_first_not_of(" \t"), token.size()));
        token = token.substr(0, token.find_last_not_of(" \t") + 1);
        if (!token.empty()) {
            names.emplace_back(token);
        }
    }
    return names;
}

} // namespace

auto findHeader(const HttpHeaders& headers, std::string_view name) -> std::optional<std::string>
{
    for (const auto& [key, value] : headers) {
        if (equalNames(key, name)) {
            return value;
        }
    }
    return std::nullopt;
}

auto removeHopHeaders(HttpHeaders headers) -> HttpHeaders
{
    std::vector<std::string> listed;
    for (const auto& [key, value] : headers) {
        if (equalNames(key, "connection")) {
            auto names = listedNames(value);
            std::move(names.begin(), names.end(), std::back_inserter(listed));
        }
    }
    std::erase_if(headers, [&](const auto& header) {
        const auto isHeader = [&](std::string_view name) {
            return equalNames(header.first, name);
        };
        return std::any_of(hopHeaders.begin(), hopHeaders.end(), isHeader)
            || std::any_of(listed.begin(), listed.end(), isHeader);
    });
    return headers;
}

} // namespace wagtailhead
