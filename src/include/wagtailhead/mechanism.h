/// Selects between the product's mechanisms and the naive versions that experiments compare them with.
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
