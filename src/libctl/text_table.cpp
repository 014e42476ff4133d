#include "text_table.h"

#include <algorithm>
#include <cctype>

namespace wagtailhead {

namespace {

constexpr std::size_t columnGap = 2;

auto isNumber(const std::string& cell) -> bool
{
    return cell == "-" || (!cell.empty() && std::all_of(cell.begin(), cell.end(), [](unsigned char c) {
        return std::isdigit(c) || c == '.';
    }));
}

} // namespace

auto textWidth(const std::string& text) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](unsigned char c) {
        return (c & 0xC0U) != 0x80U;
    }));
}

TextTable::TextTable(std::vector<std::string> heading)
    : rows_ { std::move(heading) }
{
}

auto TextTable::add(std::vector<std::string> row) -> void
{
    rows_.push_back(std::move(row));
}

auto TextTable::print(std::ostream& out) const -> void
{
    const auto columns = rows_.front().size();
    std::vector<std::size_t> widths(columns, 0);
    std::vector<bool> numeric(columns, rows_.size() > 1);
    for (std::size_t i = 0; i < rows_.size(); ++i) {
        for (std::size_t column = 0; column < columns; ++column) {
            widths[column] = std::max(widths[column], textWidth(rows_[i][column]));
            numeric[column] = numeric[column] && (i == 0 || isNumber(rows_[i][column]));
        }
    }
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < columns; ++column) {
            const std::string padding(widths[column] - textWidth(row[column]), ' ');
            line += numeric[column] ? padding + row[column] : row[column] + padding;
            line.append(columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace wagtailhead
