/// The faults that a test can switch on in a backend server stand-in.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailhead::standin {

struct BackendFaults {
    double serviceTimeFactor_ = 1.0;
    double errorRate_ = 0.0; ///< Share of the executions that fail with status 500.
    milliseconds loadLag_ { 0 }; ///< Age of the load that is reported.
    std::optional<double> fixedLoad_; ///< Reported instead of the true load; 1 means all slots busy.
    std::int64_t loseAnswers_ = 0; ///< The next executions that complete without an answer.
    std::string health_ = "true"; ///< "true" for a truthful report, else "up" or "down".
};

/// Returns `current` changed by the fields that the JSON text names.
auto parseBackendFaults(std::string_view text, BackendFaults current) -> Result<BackendFaults>;

auto toJson(const BackendFaults& faults) -> nlohmann::json;

} // namespace wagtailhead::standin
