/// The routers behind Router::create. Internal to libcall.
#pragma once

#include "wagtailhead/routing.h"

namespace wagtailhead {

auto createAdaptiveRouter(const RouterOptions& options, std::uint64_t seed) -> std::unique_ptr<Router>;
auto createNaiveRouter() -> std::unique_ptr<Router>;

} // namespace wagtailhead
