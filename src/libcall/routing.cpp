#include "wagtailhead/routing.h"

#include "adaptive_router.h"

#include <array>

namespace wagtailhead {

auto routeFailureName(RouteFailure failure) -> const char*
{
    static constexpr std::array names { "unknown-service", "no-backend", "link-budget" };
    return names.at(static_cast<std::size_t>(failure));
}

auto Router::create(const RouterOptions& options, std::uint64_t seed) -> std::unique_ptr<Router>
{
    return options.mechanism_ == Mechanism::Naive ? createNaiveRouter() : createAdaptiveRouter(options, seed);
}

} // namespace wagtailhead
