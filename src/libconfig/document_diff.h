/// The difference between two documents of one kind. Internal to the library.
#pragma once

#include "wagtailhead/plan.h"

namespace wagtailhead {

struct DocumentDiff {
    std::vector<PlanChange> changes_;
    std::vector<std::string> warnings_;
};

/// Compares what is in force under `before` (the defaults if it is absent or invalid) with what would be
/// under `after`. Precondition: `after` is a valid document of the kind.
auto diffDocuments(ConfigKind kind, const std::optional<std::string>& before, const std::string& after)
    -> DocumentDiff;

} // namespace wagtailhead
