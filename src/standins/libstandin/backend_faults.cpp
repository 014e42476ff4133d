#include "backend_faults.h"

#include "json_fields.h"

namespace wagtailhead::standin {

namespace {

constexpr double maxServiceTimeFactor = 10'000.0;
constexpr double maxReportedLoad = 1'000.0;
constexpr auto maxLoadLag = milliseconds(600'000);
constexpr std::int64_t maxLostAnswers = 1'000'000;

} // namespace

auto parseBackendFaults(std::string_view text, BackendFaults current) -> Result<BackendFaults>
{
    JsonFields fields(text);
    fields.readNumber("serviceTimeFactor", current.serviceTimeFactor_, 0.0, maxServiceTimeFactor);
    fields.readNumber("errorRate", current.errorRate_, 0.0, 1.0);
    fields.readMilliseconds("loadLagMs", current.loadLag_, maxLoadLag);
    fields.readOptionalNumber("fixedLoad", current.fixedLoad_, 0.0, maxReportedLoad);
    fields.readInteger("loseAnswers", current.loseAnswers_, 0, maxLostAnswers);
    fields.readChoice("health", current.health_, { "true", "up", "down" });
    if (auto error = fields.error()) {
        return *error;
    }
    return current;
}

auto toJson(const BackendFaults& faults) -> nlohmann::json
{
    return { { "serviceTimeFactor", faults.serviceTimeFactor_ }, { "errorRate", faults.errorRate_ },
        { "loadLagMs", faults.loadLag_.count() },
        { "fixedLoad", faults.fixedLoad_ ? nlohmann::json(*faults.fixedLoad_) : nlohmann::json() },
        { "loseAnswers", faults.loseAnswers_ }, { "health", faults.health_ } };
}

} // namespace wagtailhead::standin
