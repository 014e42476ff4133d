#include "link_routes.h"

#include <set>
#include <sstream>

namespace wagtailhead::standin {

namespace {

auto words(const std::string& line) -> std::vector<std::string>
{
    std::istringstream stream(line);
    std::vector<std::string> result;
    for (std::string word; stream >> word;) {
        result.push_back(word);
    }
    return result;
}

auto parseRoute(const std::vector<std::string>& row) -> Result<LinkRoute>
{
    auto listen = parseAddress(row[1]);
    if (!isOk(listen)) {
        return errorOf(listen);
    }
    auto target = parseAddress(row[2]);
    if (!isOk(target)) {
        return errorOf(target);
    }
    return LinkRoute { valueOf(listen), valueOf(target), row[3], row[4] };
}

} // namespace

auto LinkRoutes::regionOf(const std::string& zone) const -> std::string
{
    const auto found = regions_.find(zone);
    return found == regions_.end() ? zone : found->second;
}

auto parseLinkRoutes(std::string_view text) -> Result<LinkRoutes>
{
    constexpr std::size_t routeWords = 5;
    constexpr std::size_t zoneWords = 3;
    LinkRoutes result;
    std::set<std::string> listening;
    std::istringstream lines { std::string(text) };
    int number = 0;
    const auto failure = [&number](const std::string& reason) {
        return Error { ErrorCode::InvalidArgument,
            "line " + std::to_string(number) + " of the routes: " + reason };
    };
    for (std::string line; std::getline(lines, line);) {
        ++number;
        const auto row = words(line);
        if (row.empty() || row.front().starts_with('#')) {
            continue;
        }
        if (row.front() == "zone" && row.size() == zoneWords) {
            result.regions_[row[1]] = row[2];
            continue;
        }
        if (row.front() != "route" || row.size() != routeWords) {
            return failure("'" + line + "' is neither 'route LISTEN TARGET FROM TO' nor 'zone ZONE REGION'");
        }
        auto route = parseRoute(row);
        if (!isOk(route)) {
            return failure(errorOf(route).text_);
        }
        if (!listening.insert(valueOf(route).listen_.text()).second) {
            return failure("address " + row[1] + " is listed twice");
        }
        result.routes_.push_back(valueOf(std::move(route)));
    }
    return result;
}

} // namespace wagtailhead::standin
