/// Checks of answers that a caller gets.
#pragma once

#include "records.h"
#include "wagtailhead/http.h"

#include <string_view>

namespace wagtailhead::load {

/// Returns what became of an attempt, with the times unset.
auto readAnswer(const HttpResult& result) -> AttemptRecord;

/// Returns whether the body of a backend server stand-in is complete and echoes this key and path.
auto belongsTo(std::string_view body, std::string_view key, std::string_view path) -> bool;

/// Parses 16 hexadecimal digits; returns 0 for anything else.
auto parseRequestId(std::string_view text) -> std::uint64_t;

} // namespace wagtailhead::load
