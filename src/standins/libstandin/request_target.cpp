#include "request_target.h"

#include <charconv>
#include <curl/curl.h>
#include <memory>

namespace wagtailhead::standin {

namespace {

auto decode(std::string_view text) -> std::string
{
    if (text.empty()) { // libcurl takes length 0 as "use strlen"
        return {};
    }
    int length = 0;
    const std::unique_ptr<char, decltype(&curl_free)> decoded(
        curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &length), &curl_free);
    return decoded ? std::string(decoded.get(), static_cast<std::size_t>(length)) : std::string();
}

} // namespace

auto parseTarget(std::string_view target) -> RequestTarget
{
    RequestTarget result;
    const auto mark = target.find('?');
    result.path_ = decode(target.substr(0, mark));
    auto rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto item = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        const auto equals = item.find('=');
        if (!item.empty()) {
            result.query_[decode(item.substr(0, equals))]
                = equals == std::string_view::npos ? std::string() : decode(item.substr(equals + 1));
        }
    }
    return result;
}

auto parseUnsigned(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || code != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

auto queryNumber(const RequestTarget& target, const std::string& name, std::uint64_t fallback)
    -> std::optional<std::uint64_t>
{
    const auto found = target.query_.find(name);
    return found == target.query_.end() ? std::optional(fallback) : parseUnsigned(found->second);
}

auto parseEntityTag(std::string_view text) -> std::optional<std::uint64_t>
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    return parseUnsigned(text);
}

} // namespace wagtailhead::standin
