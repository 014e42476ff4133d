#include "store_faults.h"

#include "json_fields.h"

namespace wagtailhead::standin {

namespace {

constexpr auto maxDelay = milliseconds(600'000);
constexpr std::int64_t maxLostAnswers = 1'000'000;

} // namespace

auto parseStoreFaults(std::string_view text, StoreFaults current) -> Result<StoreFaults>
{
    JsonFields fields(text);
    std::string mode = current.silent_ ? "silent" : "error";
    fields.readFlag("outage", current.outage_);
    fields.readChoice("mode", mode, { "error", "silent" });
    fields.readMilliseconds("delayMs", current.delay_, maxDelay);
    fields.readInteger("loseAnswers", current.loseAnswers_, 0, maxLostAnswers);
    fields.readFlag("staleReads", current.staleReads_);
    if (auto error = fields.error()) {
        return *error;
    }
    current.silent_ = mode == "silent";
    return current;
}

auto toJson(const StoreFaults& faults) -> nlohmann::json
{
    return { { "outage", faults.outage_ }, { "mode", faults.silent_ ? "silent" : "error" },
        { "delayMs", faults.delay_.count() }, { "loseAnswers", faults.loseAnswers_ },
        { "staleReads", faults.staleReads_ } };
}

} // namespace wagtailhead::standin
