#include "wagtailhead/mechanism.h"

#include <string>

namespace wagtailhead {

auto mechanismName(Mechanism mechanism) -> const char*
{
    return mechanism == Mechanism::Adaptive ? "adaptive" : "naive";
}

auto parseMechanism(std::string_view text) -> Result<Mechanism>
{
    for (const auto mechanism : { Mechanism::Adaptive, Mechanism::Naive }) {
        if (text == mechanismName(mechanism)) {
            return mechanism;
        }
    }
    return Error { ErrorCode::InvalidArgument,
        "mechanism '" + std::string(text) + "' is not one of adaptive, naive" };
}

} // namespace wagtailhead
