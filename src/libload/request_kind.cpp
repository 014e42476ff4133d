#include "request_kind.h"

#include <algorithm>

namespace wagtailhead::load {

namespace {

auto perluKinds() -> RequestKinds
{
    return {
        { "orders", "POST", "pasutijumi", "/orders", true, 10 },
        { "stock-reads", "GET", "krajums", "/stock/{}", false, 25 },
        { "catalogue-reads", "GET", "katalogs", "/items/{}", false, 40 },
        { "lookups", "GET", "katalogs", "/prices/{}", false, 15 },
        { "downloads", "GET", "faili", "/lists/{}", false, 10 },
    };
}

auto lindqvistKinds() -> RequestKinds
{
    return {
        { "bookings", "POST", "dispatch", "/bookings", true, 10 },
        { "unit-histories", "GET", "history-desk", "/units/{}", false, 35 },
        { "diagrams", "GET", "diagrams", "/sheets/{}", false, 25 },
        { "parts-orders", "POST", "library", "/parts-orders", true, 10 },
        { "manuals", "GET", "library", "/manuals/{}", false, 20 },
    };
}

} // namespace

auto kindsOf(std::string_view deployment) -> Result<RequestKinds>
{
    if (deployment == "perlu") {
        return perluKinds();
    }
    if (deployment == "lindqvist") {
        return lindqvistKinds();
    }
    return Error { ErrorCode::InvalidArgument,
        "setting --deployment has value '" + std::string(deployment) + "', allowed is perlu or lindqvist" };
}

auto findKind(const RequestKinds& kinds, std::string_view name) -> int
{
    const auto found = std::find_if(kinds.begin(), kinds.end(), [name](const RequestKind& kind) {
        return kind.name_ == name;
    });
    return found == kinds.end() ? -1 : static_cast<int>(found - kinds.begin());
}

} // namespace wagtailhead::load
