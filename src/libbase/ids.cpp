#include "wagtailhead/ids.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace wagtailhead {

auto formatId(std::uint64_t id) -> std::string
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, id);
    return text.data();
}

auto stableHash(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace wagtailhead
