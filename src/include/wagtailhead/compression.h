/// Compression of texts for the way between nodes.
#pragma once

#include "wagtailhead/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace wagtailhead {

/// Returns the text compressed (zlib). Thread safe.
auto compressText(std::string_view text) -> std::string;

/// Returns what compressText was given. Fails for other bytes, and for a text longer than `mostBytes`. Thread
/// safe.
auto decompressText(std::string_view bytes, std::size_t mostBytes) -> Result<std::string>;

} // namespace wagtailhead
