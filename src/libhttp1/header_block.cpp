#include "wagtailhead/header_block.h"

#include "wagtailhead/http_syntax.h"

#include <array>
#include <cctype>
#include <strings.h>

namespace wagtailhead {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames { "Connection", "Keep-Alive", "Proxy-Connection",
    "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect" };

auto equalsIgnoringCase(std::string_view a, std::string_view b) -> bool
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

/// Name and value of the line that starts at `start`; `end` is behind its line break.
struct Field {
    std::string_view name_;
    std::string_view value_;
    std::size_t start_ = 0;
    std::size_t end_ = 0;
};

auto fieldAt(std::string_view lines, std::size_t start) -> Field
{
    Field field;
    field.start_ = start;
    const auto lineEnd = std::min(lines.find("\r\n", start), lines.size());
    const auto colon = std::min(lines.find(':', start), lineEnd);
    field.name_ = lines.substr(start, colon - start);
    const auto valueStart = std::min(colon + 2, lineEnd);
    field.value_ = lines.substr(valueStart, lineEnd - valueStart);
    field.end_ = std::min(lineEnd + 2, lines.size());
    return field;
}

auto trim(std::string_view text) -> std::string_view
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())) != 0) {
        text.remove_prefix(1);
    }
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.remove_suffix(1);
    }
    return text;
}

auto isHopByHop(std::string_view name, std::string_view connection) -> bool
{
    for (const auto& known : hopByHopNames) {
        if (equalsIgnoringCase(name, known)) {
            return true;
        }
    }
    while (!connection.empty()) {
        const auto comma = std::min(connection.find(','), connection.size());
        if (equalsIgnoringCase(name, trim(connection.substr(0, comma)))) {
            return true;
        }
        connection.remove_prefix(std::min(comma + 1, connection.size()));
    }
    return false;
}

/// Returns the lines whose names do not satisfy `drop`.
template <typename Drop> auto keepLines(std::string_view lines, Drop drop) -> std::string
{
    std::string kept;
    kept.reserve(lines.size());
    for (std::size_t at = 0; at < lines.size();) {
        const auto field = fieldAt(lines, at);
        if (!drop(field.name_)) {
            kept.append(lines.substr(field.start_, field.end_ - field.start_));
        }
        at = field.end_;
    }
    return kept;
}

} // namespace

auto areFieldLines(std::string_view text) -> bool
{
    for (std::size_t at = 0; at < text.size();) {
        const auto field = fieldAt(text, at);
        const auto separator = field.start_ + field.name_.size();
        if (text.substr(separator, 2) != ": " || !text.substr(0, field.end_).ends_with("\r\n")
            || !isFieldName(field.name_) || !isFieldValue(field.value_)) {
            return false;
        }
        at = field.end_;
    }
    return true;
}

auto HeaderBlock::add(std::string_view name, std::string_view value) -> void
{
    lines_.append(name).append(": ").append(value).append("\r\n");
}

auto HeaderBlock::find(std::string_view name) const -> std::string_view
{
    const std::string_view lines = lines_;
    for (std::size_t at = 0; at < lines.size();) {
        const auto field = fieldAt(lines, at);
        if (equalsIgnoringCase(field.name_, name)) {
            return field.value_;
        }
        at = field.end_;
    }
    return {};
}

auto HeaderBlock::has(std::string_view name) const -> bool
{
    return find(name).data() != nullptr;
}

auto HeaderBlock::count(std::string_view name) const -> std::size_t
{
    std::size_t fields = 0;
    const std::string_view lines = lines_;
    for (std::size_t at = 0; at < lines.size();) {
        const auto field = fieldAt(lines, at);
        fields += equalsIgnoringCase(field.name_, name) ? 1 : 0;
        at = field.end_;
    }
    return fields;
}

auto HeaderBlock::remove(std::string_view name) -> void
{
    if (has(name)) {
        lines_ = keepLines(lines_, [&](std::string_view candidate) {
            return equalsIgnoringCase(candidate, name);
        });
    }
}

auto HeaderBlock::removeHopByHop() -> void
{
    const std::string connection(find("Connection"));
    lines_ = keepLines(lines_, [&](std::string_view name) {
        return isHopByHop(name, connection);
    });
}

} // namespace wagtailhead
