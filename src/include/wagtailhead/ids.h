/// Identities of nodes and requests.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailhead {

/// The name of a node, unique among all VMs, taken from its settings.
using NodeId = std::string;

/// The start of a node process in microseconds since the Unix epoch. A higher incarnation of the same
/// NodeId replaces the lower one.
using Incarnation = std::uint64_t;

/// One run of one node process.
struct NodeRef {
    NodeId id_;
    Incarnation incarnation_ = 0;

    auto operator<=>(const NodeRef&) const = default; // NOLINT(modernize-use-nullptr): false finding
};

/// The identity of a root request, shared by all calls made for it.
using RootId = std::uint64_t;

/// Returns 16 lower-case hexadecimal digits.
auto formatId(std::uint64_t id) -> std::string;

/// Returns the stable 64-bit hash (xxHash) of a text. The value is the same in every process.
auto stableHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

} // namespace wagtailhead
