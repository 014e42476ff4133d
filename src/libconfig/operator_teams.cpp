#include "wagtailhead/operator_teams.h"

#include <algorithm>
#include <cctype>
#include <optional>

namespace wagtailhead {

namespace {

constexpr std::size_t shortTokenLength = 16;
constexpr std::size_t maxTokenLength = 200;
constexpr std::size_t maxNameLength = 64;

auto split(std::string_view text, char separator) -> std::vector<std::string_view>
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    for (std::size_t end = 0; (end = text.find(separator, begin)) != std::string_view::npos;
         begin = end + 1) {
        parts.push_back(text.substr(begin, end - begin));
    }
    parts.push_back(text.substr(begin));
    return parts;
}

auto isName(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= maxNameLength
        && std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::islower(c) || std::isdigit(c) || c == '-';
           });
}

auto isToken(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= maxTokenLength
        && std::all_of(text.begin(), text.end(), [](char c) {
               return c > ' ' && c <= '~';
           });
}

/// Returns the token of an entry. Precondition: its last ':' stands behind its first '='.
auto tokenOf(std::string_view entry) -> std::string_view
{
    const auto begin = entry.find('=') + 1;
    return entry.substr(begin, entry.rfind(':') - begin);
}

/// Parses one entry, or returns what is wrong with it.
auto parseTeam(std::string_view entry, std::string& fault) -> std::optional<OperatorTeam>
{
    // The token may contain '=' and ':', names cannot.
    const auto nameEnd = entry.find('=');
    const auto tokenEnd = entry.rfind(':');
    if (nameEnd == std::string_view::npos || tokenEnd == std::string_view::npos || tokenEnd < nameEnd) {
        fault = "is not of the form team=token:service+service";
        return std::nullopt;
    }
    const auto name = entry.substr(0, nameEnd);
    const auto token = tokenOf(entry);
    const auto services = split(entry.substr(tokenEnd + 1), '+');
    const bool all = services.size() == 1 && services[0] == "*";
    if (!isName(name)) {
        fault = "has a bad team name, allowed are up to 64 lower-case letters, digits and hyphens";
    } else if (!isToken(token)) {
        fault = "has a bad token, allowed are 1 to 200 visible ASCII characters without commas";
    } else if (!all && !std::all_of(services.begin(), services.end(), isName)) {
        fault = "has a bad list of services, allowed are * or names separated by +";
    }
    if (!fault.empty()) {
        return std::nullopt;
    }
    OperatorTeam team { std::string(name), OperatorToken(std::string(token)), {}, all };
    if (!all) {
        team.services_.assign(services.begin(), services.end());
    }
    return team;
}

} // namespace

OperatorToken::OperatorToken(std::string text)
    : text_(std::move(text))
{
}

auto OperatorToken::matches(std::string_view presented) const -> bool
{
    // No early exit: the time must not tell how many characters agree.
    unsigned difference = presented.size() == text_.size() ? 0 : 1;
    for (std::size_t i = 0; i < presented.size(); ++i) {
        difference
            |= static_cast<unsigned char>(presented[i]) ^ static_cast<unsigned char>(text_[i % text_.size()]);
    }
    return difference == 0;
}

auto OperatorToken::isShort() const -> bool
{
    return text_.size() < shortTokenLength;
}

auto OperatorTeam::mayChange(std::string_view service) const -> bool
{
    return allServices_ || std::find(services_.begin(), services_.end(), service) != services_.end();
}

auto OperatorTeams::find(std::string_view token) const -> const OperatorTeam*
{
    const OperatorTeam* found = nullptr;
    for (const auto& team : teams_) {
        if (team.token_.matches(token)) {
            found = &team;
        }
    }
    return found;
}

auto parseOperatorTeams(std::string_view text) -> Result<OperatorTeams>
{
    OperatorTeams teams;
    if (text.empty()) {
        return teams;
    }
    std::size_t number = 0;
    for (const auto entry : split(text, ',')) {
        ++number;
        std::string fault;
        auto team = parseTeam(entry, fault);
        const auto isSame = [&](const OperatorTeam& other) {
            return other.name_ == team->name_;
        };
        if (team && std::any_of(teams.teams_.begin(), teams.teams_.end(), isSame)) {
            fault = "repeats the team of an earlier entry";
        }
        const auto isKnown = [&](const OperatorTeam& other) {
            return other.token_.matches(tokenOf(entry));
        };
        if (team && std::any_of(teams.teams_.begin(), teams.teams_.end(), isKnown)) {
            fault = "repeats the token of an earlier entry";
        }
        if (!fault.empty()) {
            return Error { ErrorCode::InvalidArgument,
                "entry " + std::to_string(number) + " of the operator tokens " + fault };
        }
        teams.teams_.push_back(std::move(*team));
    }
    return teams;
}

} // namespace wagtailhead
