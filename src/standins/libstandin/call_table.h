/// The sub-calls and body sizes of a backend server stand-in, read from its settings.
#pragma once

#include "operation_table.h"
#include "wagtailhead/result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead::standin {

struct SubCall {
    std::string method_;
    std::string service_;
    std::string path_;

    auto operator==(const SubCall&) const -> bool = default;
};

using CallTable = OperationTable<std::vector<SubCall>>;
using BodySizes = OperationTable<std::size_t>;

/// Parses rows `METHOD:PATH=METHOD:SERVICE:PATH,...`, separated by commas. The list of sub-calls of a
/// row may be empty, which excepts a path from a shorter prefix. Paths contain neither ',' nor '='.
auto parseCallTable(const std::vector<std::string>& items) -> Result<CallTable>;

/// Parses rows `METHOD:PATH=BYTES`.
auto parseBodySizes(const std::vector<std::string>& items) -> Result<BodySizes>;

/// Returns the path behind the service name: `/orders` for `/pasutijumi/orders` at service pasutijumi.
/// A path without the service name is returned as it is.
auto pathInService(std::string_view service, std::string_view path) -> std::string_view;

} // namespace wagtailhead::standin
