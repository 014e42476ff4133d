/// Tables with aligned columns for people. Internal to the program.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace wagtailhead {

/// A table with a heading. Columns whose cells are all numbers are aligned to the right.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> heading);

    /// Adds a row. Precondition: it has as many cells as the heading.
    auto add(std::vector<std::string> row) -> void;

    auto print(std::ostream& out) const -> void;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// Returns the number of characters of a UTF-8 text.
auto textWidth(const std::string& text) -> std::size_t;

} // namespace wagtailhead
