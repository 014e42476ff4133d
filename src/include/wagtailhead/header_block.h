/// Header fields of an HTTP message, kept as the text that goes on the wire.
#pragma once

#include <string>
#include <string_view>

namespace wagtailhead {

/// Returns whether a text consists of lines `Name: value\r\n` with valid names and values. Thread safe.
auto areFieldLines(std::string_view text) -> bool;

/// The fields of one message as lines `Name: value\r\n`. A message passes a node with few changes, so the
/// block is searched in place and copied as a whole. Not thread safe.
class HeaderBlock {
public:
    HeaderBlock() = default;

    /// Takes lines for which areFieldLines() holds.
    explicit HeaderBlock(std::string lines)
        : lines_(std::move(lines))
    {
    }

    /// Appends a field. Precondition: neither argument contains a line break.
    auto add(std::string_view name, std::string_view value) -> void;

    /// Returns the value of the first field with this name (case does not matter), or an empty text.
    auto find(std::string_view name) const -> std::string_view;

    /// Returns whether a field with this name exists.
    auto has(std::string_view name) const -> bool;

    /// Returns how many fields have this name.
    auto count(std::string_view name) const -> std::size_t;

    /// Removes all fields with this name.
    auto remove(std::string_view name) -> void;

    /// Removes the fields that concern one connection only (RFC 9110, section 7.6.1), those that the
    /// Connection field names, and Content-Length.
    auto removeHopByHop() -> void;

    auto lines() const -> const std::string&
    {
        return lines_;
    }

private:
    std::string lines_;
};

} // namespace wagtailhead
