/// A table from operations (method and path prefix) to values; the longest matching prefix wins.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wagtailhead::standin {

/// Returns whether `path` is `prefix` or lies under it. A prefix ends at a path segment: `/orders`
/// covers `/orders/7` and `/orders?x=1`, not `/orders-old`.
auto isUnderPath(std::string_view prefix, std::string_view path) -> bool;

template <typename Value> class OperationTable {
public:
    auto add(std::string method, std::string prefix, Value value) -> void
    {
        rows_.push_back({ std::move(method), std::move(prefix), std::move(value) });
    }

    /// Returns the value of the row with the longest prefix, or null. Valid until the next add.
    auto find(std::string_view method, std::string_view path) const -> const Value*
    {
        const Row* best = nullptr;
        for (const auto& row : rows_) {
            if (row.method_ == method && isUnderPath(row.prefix_, path)
                && (best == nullptr || row.prefix_.size() > best->prefix_.size())) {
                best = &row;
            }
        }
        return best == nullptr ? nullptr : &best->value_;
    }

private:
    struct Row {
        std::string method_;
        std::string prefix_;
        Value value_;
    };

    std::vector<Row> rows_;
};

} // namespace wagtailhead::standin
