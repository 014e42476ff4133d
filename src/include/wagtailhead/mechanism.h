/// Selects between the production mechanisms and the naive versions that serve as baselines in experiments.
#pragma once

#include "wagtailhead/result.h"

#include <cstdint>
#include <string_view>

namespace wagtailhead {

enum class Mechanism : std::uint8_t {
    Adaptive, ///< The version for production.
    Naive, ///< The reference version for experiments; not for production.
};

/// Returns "adaptive" or "naive".
auto mechanismName(Mechanism mechanism) -> const char*;
auto parseMechanism(std::string_view text) -> Result<Mechanism>;

} // namespace wagtailhead
