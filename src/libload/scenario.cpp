#include "scenario.h"

#include "json_fields.h"

#include <nlohmann/json.hpp>
#include <numeric>

namespace wagtailhead::load {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t maxPhaseMs = 300'000;
constexpr auto maxTotal = seconds(600);
constexpr std::int64_t maxLoadPercent = 10'000;
constexpr std::int64_t maxPerSecond = 20'000;
constexpr double maxRequests = 1'000'000;
constexpr std::int64_t maxAttempts = 20;
constexpr std::int64_t maxTimeMs = 60'000;
constexpr std::int64_t maxWeight = 1'000;
constexpr std::int64_t defaultCapacity = 100;
constexpr double percent = 100.0;

auto parsePhases(JsonFields& fields, double capacity, Phases& phases) -> void
{
    fields.each("phases", [&](const Json& item, const std::string& path) -> Result<Done> {
        JsonFields phase(item, path);
        Phase parsed;
        parsed.name_ = phase.text("name");
        parsed.length_ = milliseconds(phase.integer("milliseconds", 1, maxPhaseMs));
        parsed.perSecond_
            = static_cast<double>(phase.integer("load_percent", 0, maxLoadPercent)) / percent * capacity;
        phases.push_back(std::move(parsed));
        return phase.finish();
    });
    double expected = 0;
    for (const auto& phase : phases) {
        expected += phase.perSecond_ * toMilliseconds(phase.length_) / 1000;
    }
    if (totalLength(phases) > maxTotal) {
        fields.fail(
            "phases", std::to_string(toMilliseconds(totalLength(phases))) + " ms", "600000 ms in total");
    } else if (expected > maxRequests) {
        fields.fail("phases", std::to_string(expected) + " requests", "1000000 requests in total");
    }
}

auto parseRepeat(JsonFields& fields) -> RepeatThrough
{
    const auto text = fields.text("repeat_through", "other-node");
    if (text == "same-node") {
        return RepeatThrough::SameNode;
    }
    if (text == "other-zone") {
        return RepeatThrough::OtherZone;
    }
    if (text != "other-node") {
        fields.fail("repeat_through", "'" + text + "'", "same-node, other-node or other-zone");
    }
    return RepeatThrough::OtherNode;
}

auto parseCallers(const Json& load, CallerPolicy& callers) -> Result<Done>
{
    if (!load.contains("callers")) {
        return Done {};
    }
    JsonFields fields(load.at("callers"), "load.callers");
    callers.attempts_ = static_cast<int>(fields.integer("attempts", callers.attempts_, 1, maxAttempts));
    callers.timeout_ = milliseconds(fields.integer("timeout_ms", callers.timeout_.count(), 1, maxTimeMs));
    callers.deadline_ = milliseconds(fields.integer("deadline_ms", callers.timeout_.count(), 1, maxTimeMs));
    callers.backoff_ = milliseconds(fields.integer("backoff_ms", callers.backoff_.count(), 0, maxTimeMs));
    callers.repeatThrough_ = parseRepeat(fields);
    return fields.finish();
}

/// Reads the weights of one deployment. Kinds that are not named get the weight 0.
auto parseWeights(const Json& object, const std::string& path, RequestKinds& kinds) -> Result<Done>
{
    JsonFields fields(object, path);
    for (auto& kind : kinds) {
        kind.weight_ = static_cast<int>(fields.integer(kind.name_.c_str(), 0, 0, maxWeight));
    }
    const auto sum = std::accumulate(kinds.begin(), kinds.end(), 0, [](int value, const RequestKind& kind) {
        return value + kind.weight_;
    });
    if (sum == 0) {
        fields.fail("*", "0 in all fields", "a positive weight of at least one kind");
    }
    return fields.finish();
}

auto parseMix(const Json& load, std::string_view deployment, RequestKinds& kinds) -> Result<Done>
{
    if (!load.contains("mix")) {
        return Done {};
    }
    JsonFields fields(load.at("mix"), "load.mix");
    for (const auto* name : { "perlu", "lindqvist" }) {
        if (!fields.has(name)) {
            continue;
        }
        auto all = valueOf(kindsOf(name));
        auto result = parseWeights(load.at("mix").at(name), std::string("load.mix.") + name, all);
        if (!isOk(result)) {
            return result;
        }
        if (name == deployment) {
            kinds = std::move(all);
        }
    }
    return fields.finish();
}

auto parsePairs(const Json& load, std::string_view deployment, PairPlan& pairs) -> Result<Done>
{
    if (!load.contains("pairs")) {
        return Done {};
    }
    JsonFields fields(load.at("pairs"), "load.pairs");
    pairs.perSecond_ = static_cast<double>(fields.integer("per_second", 1, maxPerSecond));
    for (const auto* name : { "perlu", "lindqvist" }) {
        const auto kinds = valueOf(kindsOf(name));
        for (const auto& kind : fields.texts(name)) {
            if (findKind(kinds, kind) < 0) {
                fields.fail(name, "'" + kind + "'", "request kinds of " + std::string(name));
            } else if (name == deployment) {
                pairs.kinds_.push_back(kind);
            }
        }
    }
    return fields.finish();
}

auto parseLoad(const Json& load, std::string_view deployment, double capacity, LoadPlan& plan) -> Result<Done>
{
    JsonFields fields(load, "load");
    const auto ownCapacity = fields.integer("capacity_per_second", defaultCapacity, 1, maxPerSecond);
    parsePhases(fields, capacity > 0 ? capacity : static_cast<double>(ownCapacity), plan.phases_);
    plan.idle_ = milliseconds(fields.integer("idle_ms", 0, 0, maxTimeMs));
    plan.surge_ = fields.text("surge", "");
    if (!plan.surge_.empty() && surgeIndex(plan) < 0) {
        fields.fail("surge", "'" + plan.surge_ + "'", "the name of a phase");
    }
    for (const auto* name : { "callers", "mix", "pairs" }) {
        fields.ignore(name);
    }
    auto result = fields.finish();
    if (isOk(result)) {
        result = parseCallers(load, plan.callers_);
    }
    if (isOk(result)) {
        result = parseMix(load, deployment, plan.kinds_);
    }
    return isOk(result) ? parsePairs(load, deployment, plan.pairs_) : result;
}

} // namespace

auto surgeIndex(const LoadPlan& plan) -> int
{
    for (std::size_t i = 0; i < plan.phases_.size(); ++i) {
        if (!plan.surge_.empty() && plan.phases_[i].name_ == plan.surge_) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

auto parseScenario(std::string_view text, std::string_view deployment, double capacityPerSecond)
    -> Result<LoadPlan>
{
    auto kinds = kindsOf(deployment);
    if (!isOk(kinds)) {
        return errorOf(kinds);
    }
    const auto document = parseJsonObject(text, "scenario");
    if (!isOk(document)) {
        return errorOf(document);
    }
    const auto& root = valueOf(document);
    JsonFields fields(root, "scenario");
    fields.text("description", "-");
    fields.ignore("mesh");
    fields.ignore("faults");
    if (!fields.has("load")) {
        fields.fail("load", "(none)", "an object");
    }
    if (auto result = fields.finish(); !isOk(result)) {
        return errorOf(result);
    }
    LoadPlan plan;
    plan.kinds_ = valueOf(std::move(kinds));
    if (auto result = parseLoad(root.at("load"), deployment, capacityPerSecond, plan); !isOk(result)) {
        return errorOf(result);
    }
    return plan;
}

} // namespace wagtailhead::load
