/// The teams of operators, their tokens and the services that each may change.
#pragma once

#include "wagtailhead/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

/// A secret that can only be compared. It has no accessor, so that it cannot reach a log, a dump or an
/// error.
class OperatorToken {
public:
    /// Precondition: `text` is not empty.
    explicit OperatorToken(std::string text);

    /// Returns whether the texts are equal, in a time that depends on the length of `presented` only.
    auto matches(std::string_view presented) const -> bool;

    /// Returns whether the token is so short that it can be guessed.
    auto isShort() const -> bool;

private:
    std::string text_;
};

struct OperatorTeam {
    std::string name_;
    OperatorToken token_;
    std::vector<std::string> services_;
    bool allServices_ = false;

    auto mayChange(std::string_view service) const -> bool;
};

struct OperatorTeams {
    std::vector<OperatorTeam> teams_;

    /// Returns the team with this token, or null. The time does not depend on which token matches.
    auto find(std::string_view token) const -> const OperatorTeam*;
};

/// Parses `team=token:service+service` entries that are separated by commas; `*` stands for all services.
/// An empty text gives no teams. Names consist of lower-case letters, digits and hyphens; tokens consist
/// of visible ASCII characters without commas. Errors name the number of the entry and never its content.
auto parseOperatorTeams(std::string_view text) -> Result<OperatorTeams>;

} // namespace wagtailhead
