/// The faults that a test can switch on in the store stand-in.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace wagtailhead::standin {

struct StoreFaults {
    bool outage_ = false;
    bool silent_ = false; ///< In an outage, requests are accepted and never answered instead of 503.
    milliseconds delay_ { 0 }; ///< Waiting time before a request takes effect.
    std::int64_t loseAnswers_ = 0; ///< The next writes that take effect without an answer.
    bool staleReads_ = false; ///< Reads come from a snapshot made when this was switched on.
};

/// Returns `current` changed by the fields that the JSON text names.
auto parseStoreFaults(std::string_view text, StoreFaults current) -> Result<StoreFaults>;

auto toJson(const StoreFaults& faults) -> nlohmann::json;

} // namespace wagtailhead::standin
