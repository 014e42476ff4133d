/// The path and query of an HTTP request target.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhead::standin {

struct RequestTarget {
    std::string path_; ///< Percent-decoded.
    std::map<std::string, std::string> query_; ///< Percent-decoded; the last of equal names counts.
};

/// Splits a target such as `/v1/watch?prefix=a%2Fb&since=3`.
auto parseTarget(std::string_view target) -> RequestTarget;

/// Returns the number of a text that consists of decimal digits only and fits 64 bits.
auto parseUnsigned(std::string_view text) -> std::optional<std::uint64_t>;

/// Returns a query parameter as a number, `fallback` if it is absent, or nothing if it is malformed.
auto queryNumber(const RequestTarget& target, const std::string& name, std::uint64_t fallback)
    -> std::optional<std::uint64_t>;

/// Returns a version that stands in an If-Match header, with or without quotes.
auto parseEntityTag(std::string_view text) -> std::optional<std::uint64_t>;

} // namespace wagtailhead::standin
