#include "call_table.h"

#include "request_target.h"

#include <optional>

namespace wagtailhead::standin {

namespace {

/// Bounds the answer of a stand-in; the product's own limit is 1 MiB.
constexpr std::uint64_t maxBodyBytes = std::uint64_t { 64 } << 20;

auto malformed(std::string_view item, const char* form) -> Error
{
    return Error { ErrorCode::InvalidArgument, "'" + std::string(item) + "' is not of the form " + form };
}

struct Operation {
    std::string method_;
    std::string path_;
};

auto parseOperation(std::string_view text) -> std::optional<Operation>
{
    const auto colon = text.find(':');
    if (colon == 0 || colon == std::string_view::npos || text.substr(colon + 1, 1) != "/") {
        return std::nullopt;
    }
    return Operation { std::string(text.substr(0, colon)), std::string(text.substr(colon + 1)) };
}

auto parseSubCall(std::string_view text) -> std::optional<SubCall>
{
    const auto first = text.find(':');
    const auto second = first == std::string_view::npos ? first : text.find(':', first + 1);
    if (first == 0 || second == std::string_view::npos || second == first + 1
        || text.substr(second + 1, 1) != "/") {
        return std::nullopt;
    }
    return SubCall { std::string(text.substr(0, first)),
        std::string(text.substr(first + 1, second - first - 1)), std::string(text.substr(second + 1)) };
}

} // namespace

auto isUnderPath(std::string_view prefix, std::string_view path) -> bool
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    const auto rest = path.substr(prefix.size());
    return rest.empty() || prefix.ends_with('/') || rest.front() == '/' || rest.front() == '?';
}

auto parseCallTable(const std::vector<std::string>& items) -> Result<CallTable>
{
    constexpr auto form = "METHOD:PATH=METHOD:SERVICE:PATH,...";
    CallTable table;
    std::optional<Operation> row;
    std::vector<SubCall> calls;
    for (const std::string_view item : items) {
        auto callText = item;
        if (const auto equals = item.find('='); equals != std::string_view::npos) {
            if (row) {
                table.add(row->method_, row->path_, std::move(calls));
            }
            row = parseOperation(item.substr(0, equals));
            calls.clear();
            callText = item.substr(equals + 1);
            if (row && callText.empty()) {
                continue;
            }
        }
        const auto call = parseSubCall(callText);
        if (!row || !call) {
            return malformed(item, form);
        }
        calls.push_back(*call);
    }
    if (row) {
        table.add(row->method_, row->path_, std::move(calls));
    }
    return table;
}

auto parseBodySizes(const std::vector<std::string>& items) -> Result<BodySizes>
{
    BodySizes sizes;
    for (const std::string_view item : items) {
        const auto equals = item.find('=');
        const auto operation = parseOperation(item.substr(0, equals));
        const auto bytes
            = equals == std::string_view::npos ? std::nullopt : parseUnsigned(item.substr(equals + 1));
        if (!operation || !bytes || *bytes > maxBodyBytes) {
            return malformed(item, "METHOD:PATH=BYTES with at most 67108864 bytes");
        }
        sizes.add(operation->method_, operation->path_, static_cast<std::size_t>(*bytes));
    }
    return sizes;
}

auto pathInService(std::string_view service, std::string_view path) -> std::string_view
{
    if (path.size() <= service.size() || path.front() != '/' || path.substr(1, service.size()) != service) {
        return path;
    }
    const auto rest = path.substr(service.size() + 1);
    if (rest.empty()) {
        return "/";
    }
    return rest.front() == '/' ? rest : path;
}

} // namespace wagtailhead::standin
